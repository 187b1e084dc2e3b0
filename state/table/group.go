// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package table

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"runridge.example/runridge/state/locality"
)

const (
	// MaxGroup is the most endpoints of a service in a region that are one group
	// whatever their zones. A group is scheduled as a whole by one box, so it is the
	// largest piece whose limits are counted exactly.
	MaxGroup = 16
	// MaxZoneGroup bounds the endpoints of a group that is a zone's, or a part
	// of one. Larger groups place better and cost their home more: messages with
	// the requests of the group, and time with its engines.
	MaxZoneGroup = 64
	// leastZoneGroup is the bound for the largest services: a home of seven
	// engines of 700 stays within its bytes a second (docs/CAPACITY.md).
	leastZoneGroup = 8
	// largestWhole is up to how many endpoints of a service its groups may have
	// MaxZoneGroup. Beyond it the bound falls as the service grows, since there
	// are more boxes then to share it out among.
	largestWhole = 100
)

// zoneGroupBound is the most endpoints of a zone's group, for a service of so
// many endpoints.
func zoneGroupBound(endpoints int) int {
	bound := MaxZoneGroup * largestWhole / max(endpoints, 1)
	return min(max(bound, leastZoneGroup), MaxZoneGroup)
}

// Group is the engines of one service that one home schedules together.
type Group struct {
	// Key names the group: the service, and the zone and part where there is
	// more than one.
	Key     string
	Service string
	Members []Member
}

// Has says whether an endpoint is in the group.
func (g *Group) Has(endpoint string) bool {
	return slices.ContainsFunc(g.Members, func(m Member) bool { return m.Endpoint.Name == endpoint })
}

// Member is an endpoint in a group with what the rows say of it.
type Member struct {
	Endpoint Endpoint
	Prefill  bool
	Decode   bool
	// Model says that the endpoint is an engine, not a plain service.
	Model bool
	// Holds bounds the requests on it.
	Holds int
	// Weight is its zone's weight in the row.
	Weight int
	// ColdUntil is until when the endpoint is cold; zero is not.
	ColdUntil time.Time
}

// Groups cuts every service's endpoints into groups, for a fleet in one region.
func (t Table) Groups() []Group { return t.GroupsByRegion(locality.Map{}) }

// GroupsByRegion cuts every service's endpoints into groups, by region before
// anything else. The endpoints of a service in a region are one group up to
// MaxGroup; more are cut by zone, and a zone that is still too large into parts.
// The result depends on the table and the regions alone, so all boxes agree on it.
func (t Table) GroupsByRegion(regions locality.Map) []Group {
	var out []Group
	for _, s := range t.Services {
		members := t.members(s.Name)
		if !regions.Several() {
			out = append(out, t.regionGroups(s.Name, s.Name, members, len(members))...)
			continue
		}
		for _, region := range regions.RegionsOf(zonesOf(members)) {
			here := slices.DeleteFunc(slices.Clone(members), func(m Member) bool {
				return regions.Region(m.Endpoint.Zone) != region
			})
			out = append(out, t.regionGroups(s.Name, RegionGroupKey(s.Name, region), here, len(members))...)
		}
	}
	return out
}

// zonesOf are the zones of some members.
func zonesOf(members []Member) []string {
	zones := make([]string, 0, len(members))
	for _, m := range members {
		zones = append(zones, m.Endpoint.Zone)
	}
	return zones
}

// regionGroups cuts the members of one region, of a service with so many in all.
// Key is for the group that they are if they are few.
func (t Table) regionGroups(service, key string, members []Member, all int) []Group {
	if len(members) <= MaxGroup {
		return []Group{{Key: key, Service: service, Members: members}}
	}
	var out []Group
	for _, z := range t.Zones {
		out = append(out, zoneGroups(service, z.Name, members, all)...)
	}
	return out
}

// GroupsOf lists the groups of one service, for a fleet in one region.
func (t Table) GroupsOf(service string) []Group {
	return slices.DeleteFunc(t.Groups(), func(g Group) bool { return g.Service != service })
}

// zoneGroups cuts one zone's members into parts, those of a service with so many
// in all. Each member's part follows
// from its own name, so that one that comes or goes moves no other: a home knows
// only what it granted itself. The number of parts is a power of two; where it
// changes, half of the members move.
func zoneGroups(service, zone string, members []Member, all int) []Group {
	var here []Member
	for _, m := range members {
		if m.Endpoint.Zone == zone {
			here = append(here, m)
		}
	}
	if len(here) == 0 {
		return nil
	}
	parts := ZoneParts(len(here), all)
	out := make([]Group, parts)
	for i := range out {
		out[i] = Group{Key: ZoneGroupKey(service, zone, uint64(i), parts), Service: service}
	}
	for _, m := range here {
		part := &out[PartOf(m.Endpoint.Name, parts)]
		part.Members = append(part.Members, m)
	}
	return out
}

// ZoneParts is into how many groups a zone's endpoints are cut, where the service
// has so many in all.
func ZoneParts(here, all int) uint64 {
	parts := uint64(1)
	for here > zoneGroupBound(all)*int(parts) {
		parts *= 2
	}
	return parts
}

// RegionGroupKey names the group of a region's endpoints. A zone may have its
// region's name, so the two kinds of keys differ in form.
func RegionGroupKey(service, region string) string { return service + "@" + region }

// ZoneGroupKey names a part of a zone.
func ZoneGroupKey(service, zone string, part, parts uint64) string {
	key := service + "/" + zone
	if parts > 1 {
		key += partMark + strconv.FormatUint(part, 10)
	}
	return key
}

// partMark stands before the number of a zone's part in its group's key.
const partMark = "#"

// WholeZoneKey is the key that the group of a zone's part would have if the zone were
// one group. Other keys are their own.
func WholeZoneKey(key string) string {
	if i := strings.LastIndex(key, partMark); i >= 0 {
		return key[:i]
	}
	return key
}

// PartOf is the part of its zone that an endpoint belongs to.
func PartOf(endpoint string, parts uint64) uint64 { return xxhash.Sum64String(endpoint) % parts }

// ServicesOf counts the services that an endpoint of the table serves; 0 is none.
func (t Table) ServicesOf(e Endpoint) int {
	services := make(map[string]bool)
	for _, r := range t.Rows {
		if r.Pool == e.Pool && r.Weights[e.Zone] > 0 {
			services[r.Service] = true
		}
	}
	return len(services)
}

// members lists a service's endpoints, pool by pool, each once.
func (t Table) members(service string) []Member {
	var out []Member
	at := make(map[string]int)
	for _, r := range t.Rows {
		if r.Service != service {
			continue
		}
		p, ok := t.Pool(r.Pool)
		if !ok {
			continue
		}
		for _, e := range t.Endpoints {
			if e.Pool != r.Pool || r.Weights[e.Zone] <= 0 {
				continue
			}
			i, seen := at[e.Name]
			if !seen {
				i = len(out)
				at[e.Name] = i
				out = append(out, Member{Endpoint: e, Holds: e.Slots, Weight: r.Weights[e.Zone]})
			}
			m := &out[i]
			m.Prefill = m.Prefill || p.Role == RolePrefill
			m.Decode = m.Decode || p.Role != RolePrefill
			m.Model = p.Role != RolePlain
			if r.HoldsPerEngine > 0 {
				m.Holds = min(m.Holds, r.HoldsPerEngine)
			}
		}
	}
	return out
}
