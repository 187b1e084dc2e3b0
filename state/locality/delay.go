// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package locality

import (
	"maps"
	"time"
)

// delayWindow is how long the minimum round trip of a window is collected; the minimum of the
// previous window also counts. That covers some tens of probes, so a probe that waited for a
// busy box does not count, and a link that has become longer is noticed within a minute.
const delayWindow = 30 * time.Second

// Delays holds the recent minimum round trips to other zones. It is an immutable value; the
// zero value holds none.
type Delays struct {
	zones map[string]minDelay
}

// minDelay is the minimum round trip in the window that started at since, and in the previous
// window; 0 means none.
type minDelay struct {
	since             time.Time
	current, previous time.Duration
}

// With returns the delays after a round trip to a zone was measured.
func (d Delays) With(zone string, at time.Time, roundTrip time.Duration) Delays {
	if zone == "" || roundTrip <= 0 {
		return d
	}
	shortest, known := d.zones[zone]
	switch {
	case !known:
		shortest = minDelay{since: at, current: roundTrip}
	case at.Sub(shortest.since) >= delayWindow:
		shortest = minDelay{since: at, current: roundTrip, previous: shortest.current}
	case roundTrip < shortest.current:
		shortest.current = roundTrip
	default:
		return d
	}
	zones := maps.Clone(d.zones)
	if zones == nil {
		zones = make(map[string]minDelay)
	}
	zones[zone] = shortest
	return Delays{zones: zones}
}

// RoundTrip returns the minimum round trip to a zone; 0 if unknown.
func (d Delays) RoundTrip(zone string) time.Duration {
	shortest := d.zones[zone]
	if shortest.previous > 0 {
		return min(shortest.current, shortest.previous)
	}
	return shortest.current
}

// ToRegion returns the minimum round trip to the zones of a region; 0 if unknown.
func (d Delays) ToRegion(m Map, region string) time.Duration {
	shortest := time.Duration(0)
	for zone := range d.zones {
		if m.Region(zone) != region {
			continue
		}
		if found := d.RoundTrip(zone); shortest == 0 || found < shortest {
			shortest = found
		}
	}
	return shortest
}

// All returns the minimum round trips by zone.
func (d Delays) All() map[string]time.Duration {
	out := make(map[string]time.Duration, len(d.zones))
	for zone := range d.zones {
		out[zone] = d.RoundTrip(zone)
	}
	return out
}
