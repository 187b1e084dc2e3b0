// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package group

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"

	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/table"
)

// Prefixes of the members' sort keys: a group lists its prefill members first.
const (
	prefillPrefix = "0"
	otherPrefix   = "1"
)

// sortKey returns the key that orders a member within its group.
func sortKey(m table.Member) string {
	if m.Prefill {
		return prefillPrefix + m.Endpoint.Name
	}
	return otherPrefix + m.Endpoint.Name
}

// newMember returns an endpoint of a routed service as a member of its group.
func newMember(spec table.Service, status directory.Status) table.Member {
	e := directory.EndpointOf(spec, status)
	m := table.Member{Endpoint: e, Holds: e.Slots, Weight: 1, Model: spec.Engine != nil}
	m.Prefill = m.Model && status.Stage == directory.StagePrefill
	m.Decode = !m.Prefill
	if spec.ColdPace > 0 {
		m.ColdUntil = status.ColdEnd(time.Duration(spec.ColdMS) * time.Millisecond)
	}
	return m
}

func newService(spec table.Service, regions locality.Map, statuses []directory.Status) service {
	s := service{spec: spec, regions: regions, zones: make(map[string]int)}
	members := immutable.NewSortedMapBuilder[string, table.Member](nil)
	for _, status := range statuses {
		if status.Gone || status.Replaced {
			continue
		}
		m := newMember(spec, status)
		members.Set(sortKey(m), m)
		s.zones[m.Endpoint.Zone]++
	}
	s.members = members.Map()
	s.groups = s.buildGroups()
	return s
}

// find returns the member with an ID.
func (s service) find(id string) (table.Member, bool) {
	if m, ok := s.members.Get(prefillPrefix + id); ok {
		return m, true
	}
	return s.members.Get(otherPrefix + id)
}

// change is an endpoint that has changed. belongs reports whether it is now an endpoint of the
// service.
type change struct {
	id      string
	status  directory.Status
	belongs bool
}

// groupChanges holds the members that a group gains and the names of those that it loses.
type groupChanges struct {
	added   []table.Member
	removed []string
}

// with returns the service after changes to endpoints, at most one per endpoint, and reports
// whether the set of its groups has changed. However many endpoints change at once, the groups
// are computed once.
func (s service) with(changes []change) (service, bool) {
	before := s
	s.zones = maps.Clone(s.zones)
	members := s.editor(len(changes))
	removed, added := s.apply(changes, members)
	if len(removed)+len(added) == 0 {
		return before, false
	}
	s.members = members.result()
	if !s.sameGroups(before) {
		s.groups = s.buildGroups()
		return s, true
	}
	changed := make(map[string]groupChanges)
	for _, m := range removed {
		key := s.groupOf(m)
		c := changed[key]
		c.removed = append(c.removed, m.Endpoint.Name)
		changed[key] = c
	}
	for _, m := range added {
		key := s.groupOf(m)
		c := changed[key]
		c.added = append(c.added, m)
		changed[key] = c
	}
	for key, c := range changed {
		s.groups = s.groups.Set(key, s.updatedGroup(key, c))
	}
	return s, false
}

// apply updates the members and the counts of zones, and returns the members that were removed
// and added; a member that has changed is in both.
func (s service) apply(changes []change, members *editor) (removed, added []table.Member) {
	for _, c := range changes {
		old, had := s.find(c.id)
		if had {
			members.remove(old)
			removed = append(removed, old)
			if s.zones[old.Endpoint.Zone]--; s.zones[old.Endpoint.Zone] == 0 {
				delete(s.zones, old.Endpoint.Zone)
			}
		}
		if c.belongs {
			m := newMember(s.spec, c.status)
			members.set(m)
			added = append(added, m)
			s.zones[m.Endpoint.Zone]++
		}
	}
	return removed, added
}

// editor modifies the members of a service: one at a time, sharing the unchanged part of the
// map, or by rebuilding the map if most members change.
type editor struct {
	shared  *immutable.SortedMap[string, table.Member]
	rebuilt map[string]table.Member
}

// editor returns an editor of the members that is suited to the number of changes.
func (s service) editor(changes int) *editor {
	e := &editor{shared: s.members}
	if changes*2 < s.members.Len() || changes < minRebuildChanges {
		return e
	}
	e.rebuilt = make(map[string]table.Member, s.members.Len()+changes)
	for i := s.members.Iterator(); !i.Done(); {
		key, m, _ := i.Next()
		e.rebuilt[key] = m
	}
	return e
}

// minRebuildChanges is the number of changes below which rebuilding the map never pays off.
const minRebuildChanges = 32

func (e *editor) remove(m table.Member) {
	if e.rebuilt != nil {
		delete(e.rebuilt, sortKey(m))
		return
	}
	e.shared = e.shared.Delete(sortKey(m))
}

func (e *editor) set(m table.Member) {
	if e.rebuilt != nil {
		e.rebuilt[sortKey(m)] = m
		return
	}
	e.shared = e.shared.Set(sortKey(m), m)
}

// result returns the members after the changes.
func (e *editor) result() *immutable.SortedMap[string, table.Member] {
	if e.rebuilt == nil {
		return e.shared
	}
	members := immutable.NewSortedMapBuilder[string, table.Member](nil)
	for _, key := range slices.Sorted(maps.Keys(e.rebuilt)) {
		members.Set(key, e.rebuilt[key])
	}
	return members.Map()
}

// region returns the region of a zone, as the endpoints are split by it.
func (s service) region(zone string) string { return s.regions.Of(zone) }

// isSingleGroup reports whether all endpoints of a region form one group.
func (s service) isSingleGroup(region string) bool {
	count := 0
	for zone, n := range s.zones {
		if s.region(zone) == region {
			count += n
		}
	}
	return count <= table.MaxGroup
}

// regionKey returns the key of the group of a region whose endpoints form one group.
func (s service) regionKey(region string) string {
	if !s.regions.Several() {
		return s.spec.Name
	}
	return table.RegionGroupKey(s.spec.Name, region)
}

// parts returns the number of groups that a zone is split into.
func (s service) parts(zone string) uint64 {
	return table.ZoneParts(s.zones[zone], s.members.Len())
}

// sameGroups reports whether the service is split into the same groups as before.
func (s service) sameGroups(before service) bool {
	return s.groupsWithin(before) && before.groupsWithin(s)
}

// groupsWithin reports whether each group of the service also exists in other.
func (s service) groupsWithin(other service) bool {
	for zone := range s.zones {
		region := s.region(zone)
		single := s.isSingleGroup(region)
		switch {
		case single != other.isSingleGroup(region):
			return false
		case single:
			if s.regions.Several() && !other.hasRegion(region) {
				return false
			}
		case other.zones[zone] == 0, s.parts(zone) != other.parts(zone):
			return false
		}
	}
	return true
}

// hasRegion reports whether the service has endpoints in a region.
func (s service) hasRegion(region string) bool {
	for zone := range s.zones {
		if s.region(zone) == region {
			return true
		}
	}
	return false
}

// groupOf returns the key of the group that a member belongs to.
func (s service) groupOf(m table.Member) string {
	zone := m.Endpoint.Zone
	if region := s.region(zone); s.isSingleGroup(region) {
		return s.regionKey(region)
	}
	parts := s.parts(zone)
	return table.ZoneGroupKey(s.spec.Name, zone, table.PartOf(m.Endpoint.Name, parts), parts)
}

// places lists the groups of the service, region by region. In a fleet with one region, a
// service without endpoints has one empty group.
func (s service) places() []Place {
	zones := slices.Sorted(maps.Keys(s.zones))
	if !s.regions.Several() {
		return s.placesIn(s.regions.Only(), zones)
	}
	var out []Place
	for _, region := range s.regions.RegionsOf(zones) {
		out = append(out, s.placesIn(region, zones)...)
	}
	return out
}

// placesIn lists the groups of those given zones that are in the region.
func (s service) placesIn(region string, zones []string) []Place {
	if s.isSingleGroup(region) {
		return []Place{{Key: s.regionKey(region), Region: region}}
	}
	var out []Place
	for _, zone := range zones {
		if s.region(zone) != region {
			continue
		}
		parts := s.parts(zone)
		for part := range parts {
			out = append(out, Place{
				Key:    table.ZoneGroupKey(s.spec.Name, zone, part, parts),
				Zone:   zone,
				Region: region,
			})
		}
	}
	return out
}

// buildGroups builds all groups of the service.
func (s service) buildGroups() *immutable.Map[string, *table.Group] {
	groups := make(map[string]*table.Group)
	for _, p := range s.places() {
		groups[p.Key] = &table.Group{Key: p.Key, Service: s.spec.Name}
	}
	for i := s.members.Iterator(); !i.Done(); {
		_, m, _ := i.Next()
		g := groups[s.groupOf(m)]
		g.Members = append(g.Members, m)
	}
	out := immutable.NewMapBuilder[string, *table.Group](nil)
	for key, g := range groups {
		out.Set(key, g)
	}
	return out.Map()
}

// updatedGroup returns a group after members were removed and added.
func (s service) updatedGroup(key string, c groupChanges) *table.Group {
	out := &table.Group{Key: key, Service: s.spec.Name}
	if g, ok := s.groups.Get(key); ok {
		out.Members = append(make([]table.Member, 0, len(g.Members)+len(c.added)), g.Members...)
	}
	out.Members = slices.DeleteFunc(out.Members, func(m table.Member) bool { return slices.Contains(c.removed, m.Endpoint.Name) })
	out.Members = append(out.Members, c.added...)
	slices.SortFunc(out.Members, func(a, b table.Member) int { return strings.Compare(sortKey(a), sortKey(b)) })
	return out
}
