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
	// MaxGroup is the maximum number of endpoints of a service in a region that form
	// one group regardless of their zones. One box schedules a group as a whole, so a
	// group is the largest unit whose limits are counted exactly.
	MaxGroup = 16
	// MaxZoneGroup is the maximum number of endpoints of a group within a zone. Larger
	// groups allow better placement but cost their home more: messages for each request
	// of the group, and time for each of its engines.
	MaxZoneGroup = 64
	// minZoneGroup is the limit for the largest services: a home with seven of 700
	// engines stays within its budget of bytes per second (docs/CAPACITY.md).
	minZoneGroup = 8
	// maxUnscaled is the number of endpoints of a service up to which its groups may have
	// MaxZoneGroup endpoints. Above it the limit falls as the service grows, since there
	// are more boxes then to distribute the groups to.
	maxUnscaled = 100
)

// zoneGroupLimit returns the maximum number of endpoints of a group within a zone,
// for a service with the given number of endpoints.
func zoneGroupLimit(endpoints int) int {
	limit := MaxZoneGroup * maxUnscaled / max(endpoints, 1)
	return min(max(limit, minZoneGroup), MaxZoneGroup)
}

// Group is the endpoints of one service that one home schedules together.
type Group struct {
	// Key identifies the group: the service, and the region, or the zone and part, if
	// the service has several groups.
	Key     string
	Service string
	Members []Member
}

// Has reports whether an endpoint is in the group.
func (g *Group) Has(endpoint string) bool {
	return slices.ContainsFunc(g.Members, func(m Member) bool { return m.Endpoint.Name == endpoint })
}

// Member is an endpoint in a group with the settings of its rows.
type Member struct {
	Endpoint Endpoint
	Prefill  bool
	Decode   bool
	// Model means that the endpoint is an engine, not an endpoint of a plain service.
	Model bool
	// Holds is the maximum number of requests on it.
	Holds int
	// Weight is its zone's weight in the row.
	Weight int
	// ColdUntil is the time until which the endpoint is cold; zero means not cold.
	ColdUntil time.Time
}

// Groups divides every service's endpoints into groups, for a fleet in one region.
func (t Table) Groups() []Group { return t.GroupsByRegion(locality.Map{}) }

// GroupsByRegion divides every service's endpoints into groups, first by region. Up
// to MaxGroup endpoints of a service in a region form one group; more are divided by
// zone, and a zone that is still too large into parts. The result depends only on the
// table and the regions, so all boxes agree on it.
func (t Table) GroupsByRegion(regions locality.Map) []Group {
	var out []Group
	for _, s := range t.Services {
		members := t.serviceMembers(s.Name)
		if !regions.Several() {
			out = append(out, t.regionGroups(s.Name, s.Name, members, len(members))...)
			continue
		}
		for _, region := range regions.RegionsOf(zonesOf(members)) {
			inRegion := slices.DeleteFunc(slices.Clone(members), func(m Member) bool {
				return regions.Region(m.Endpoint.Zone) != region
			})
			out = append(out, t.regionGroups(s.Name, RegionGroupKey(s.Name, region), inRegion, len(members))...)
		}
	}
	return out
}

// zonesOf lists the members' zones, with duplicates.
func zonesOf(members []Member) []string {
	zones := make([]string, 0, len(members))
	for _, m := range members {
		zones = append(zones, m.Endpoint.Zone)
	}
	return zones
}

// regionGroups divides the members of one region into groups. key is the key of the
// single group that few members form, and all the number of the service's members in
// all regions.
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

// zoneGroups divides one zone's members into groups. all is the number of the
// service's members in all zones. A member's part depends only on its own name, so a
// member that is added or removed moves no other one: this matters because a home
// knows only the grants that it gave itself. The number of parts is a power of two;
// when it changes, half of the members move.
func zoneGroups(service, zone string, members []Member, all int) []Group {
	var inZone []Member
	for _, m := range members {
		if m.Endpoint.Zone == zone {
			inZone = append(inZone, m)
		}
	}
	if len(inZone) == 0 {
		return nil
	}
	parts := ZoneParts(len(inZone), all)
	out := make([]Group, parts)
	for i := range out {
		out[i] = Group{Key: ZoneGroupKey(service, zone, uint64(i), parts), Service: service}
	}
	for _, m := range inZone {
		part := &out[PartOf(m.Endpoint.Name, parts)]
		part.Members = append(part.Members, m)
	}
	return out
}

// ZoneParts returns the number of groups into which a zone's endpoints are divided.
// here is the number of endpoints in the zone, and all that of the whole service.
func ZoneParts(here, all int) uint64 {
	parts := uint64(1)
	for here > zoneGroupLimit(all)*int(parts) {
		parts *= 2
	}
	return parts
}

// RegionGroupKey returns the key of the group of a region's endpoints. Its form differs
// from that of ZoneGroupKey, since a zone may have the same name as a region.
func RegionGroupKey(service, region string) string { return service + "@" + region }

// ZoneGroupKey returns the key of the group of one part of a zone.
func ZoneGroupKey(service, zone string, part, parts uint64) string {
	key := service + "/" + zone
	if parts > 1 {
		key += partSeparator + strconv.FormatUint(part, 10)
	}
	return key
}

// partSeparator precedes the number of a zone's part in its group's key.
const partSeparator = "#"

// WholeZoneKey returns the key that the group of a zone's part would have if the zone
// were one group. It returns other keys unchanged.
func WholeZoneKey(key string) string {
	if i := strings.LastIndex(key, partSeparator); i >= 0 {
		return key[:i]
	}
	return key
}

// PartOf returns the part of its zone that an endpoint belongs to.
func PartOf(endpoint string, parts uint64) uint64 { return xxhash.Sum64String(endpoint) % parts }

// CountServices returns the number of services that an endpoint of the table serves.
func (t Table) CountServices(e Endpoint) int {
	services := make(map[string]bool)
	for _, r := range t.Rows {
		if r.Pool == e.Pool && r.Weights[e.Zone] > 0 {
			services[r.Service] = true
		}
	}
	return len(services)
}

// serviceMembers lists a service's endpoints by pool, each endpoint once.
func (t Table) serviceMembers(service string) []Member {
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
