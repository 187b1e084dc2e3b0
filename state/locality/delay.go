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
	zones map[string]Shortest
}

// Shortest is the recent minimum of round trips. It is an immutable value; the zero value has none.
type Shortest struct {
	// current is the minimum in the window that started at since, and previous that in the window
	// before; 0 means none.
	since             time.Time
	current, previous time.Duration
}

// With returns the minimum after a round trip was measured.
func (s Shortest) With(at time.Time, roundTrip time.Duration) Shortest {
	switch {
	case s.current == 0:
		return Shortest{since: at, current: roundTrip}
	case at.Sub(s.since) >= delayWindow:
		return Shortest{since: at, current: roundTrip, previous: s.current}
	default:
		s.current = min(s.current, roundTrip)
		return s
	}
}

// RoundTrip returns the minimum; 0 if no round trip was measured.
func (s Shortest) RoundTrip() time.Duration {
	if s.previous > 0 {
		return min(s.current, s.previous)
	}
	return s.current
}

// With returns the delays after a round trip to a zone was measured.
func (d Delays) With(zone string, at time.Time, roundTrip time.Duration) Delays {
	if zone == "" || roundTrip <= 0 {
		return d
	}
	old := d.zones[zone]
	shortest := old.With(at, roundTrip)
	if shortest == old {
		return d
	}
	zones := maps.Clone(d.zones)
	if zones == nil {
		zones = make(map[string]Shortest)
	}
	zones[zone] = shortest
	return Delays{zones: zones}
}

// RoundTrip returns the minimum round trip to a zone; 0 if unknown.
func (d Delays) RoundTrip(zone string) time.Duration {
	return d.zones[zone].RoundTrip()
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
