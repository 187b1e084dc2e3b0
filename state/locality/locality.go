// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package locality maps availability zones to regions, and computes the distance between zones
// and the regions that a request is allowed in. It does no I/O, and its values are immutable.
package locality

import (
	"maps"
	"slices"
	"strings"
)

// Distance is how far two availability zones are from each other.
type Distance uint8

// Distances in ascending order.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Distances is the number of distances.
const Distances = int(OtherRegion) + 1

var distanceNames = [...]string{"same_zone", "same_region", "other_region"}

// String returns the name of the distance.
func (d Distance) String() string { return distanceNames[d] }

// Map maps each zone to its region. The zero value knows no zone. Unknown zones are in the only
// named region if there is exactly one, else together in a region without a name. So if no
// region or only one is named, all zones are in the same region.
type Map struct {
	regions map[string]string
	// names lists the regions in ascending order.
	names []string
}

// New returns a map of zones to regions.
func New(regions map[string]string) Map {
	return Map{
		regions: maps.Clone(regions),
		names:   slices.Compact(slices.Sorted(maps.Values(regions))),
	}
}

// Region returns the region that is named for a zone, or an empty string. Rules that bind a
// request to regions use it, because an unnamed zone may be anywhere.
func (m Map) Region(zone string) string { return m.regions[zone] }

// Regions lists the named regions in ascending order.
func (m Map) Regions() []string { return m.names }

// Several reports whether more than one region is named.
func (m Map) Several() bool { return len(m.names) > 1 }

// RegionsOf lists the regions of the given zones.
func (m Map) RegionsOf(zones []string) []string {
	out := make([]string, 0, len(zones))
	for _, zone := range zones {
		out = append(out, m.Region(zone))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Only returns the region of a fleet with a single named region, or an empty string.
func (m Map) Only() string {
	if len(m.names) == 1 {
		return m.names[0]
	}
	return ""
}

// Of returns the region of a zone for distances and duties: the one named for it, or the only
// one there is.
func (m Map) Of(zone string) string {
	if m.Several() {
		return m.Region(zone)
	}
	return m.Only()
}

// Distance returns how far two zones are from each other.
func (m Map) Distance(from, to string) Distance {
	switch {
	case from == to:
		return SameZone
	case m.Of(from) == m.Of(to):
		return SameRegion
	default:
		return OtherRegion
	}
}

// Allowed is the set of regions that a request is allowed in. The zero value allows all.
type Allowed struct {
	// bound means that only the listed regions are allowed.
	bound   bool
	regions []string
}

// AllowedBy returns the intersection of several lists of allowed regions, such as those of a
// route and of a client account. An empty list imposes no restriction.
func AllowedBy(lists ...[]string) Allowed {
	var out Allowed
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !out.bound:
			out = Allowed{bound: true, regions: slices.Clone(list)}
		default:
			out.regions = slices.DeleteFunc(out.regions, func(r string) bool { return !slices.Contains(list, r) })
		}
	}
	return out
}

// Permits reports whether the request may go to a region.
func (a Allowed) Permits(region string) bool {
	return !a.bound || slices.Contains(a.regions, region)
}

// Bound reports whether the request is restricted to certain regions.
func (a Allowed) Bound() bool { return a.bound }

// Key identifies the set; the key of a set that allows all regions is empty.
func (a Allowed) Key() string {
	if !a.bound {
		return ""
	}
	return "regions:" + strings.Join(slices.Sorted(slices.Values(a.regions)), ",")
}
