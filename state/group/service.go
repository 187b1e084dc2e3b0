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

// Prefixes of the members' places: a group lists those that prefill first.
const (
	prefillFirst = "0"
	othersAfter  = "1"
)

// placeOf is where a member stands in the order of its group.
func placeOf(m table.Member) string {
	if m.Prefill {
		return prefillFirst + m.Endpoint.Name
	}
	return othersAfter + m.Endpoint.Name
}

// memberOf is an endpoint of a routed service as a member of its group.
func memberOf(spec table.Service, w directory.Status) table.Member {
	e := directory.EndpointOf(spec, w)
	m := table.Member{Endpoint: e, Holds: e.Slots, Weight: 1, Model: spec.Engine != nil}
	m.Prefill = m.Model && w.Stage == directory.StagePrefill
	m.Decode = !m.Prefill
	if spec.ColdPace > 0 {
		m.ColdUntil = w.ColdEnd(time.Duration(spec.ColdMS) * time.Millisecond)
	}
	return m
}

func newService(spec table.Service, regions locality.Map, statuses []directory.Status) service {
	s := service{spec: spec, regions: regions, zones: make(map[string]int)}
	members := immutable.NewSortedMapBuilder[string, table.Member](nil)
	for _, w := range statuses {
		if w.Gone || w.Left {
			continue
		}
		m := memberOf(spec, w)
		members.Set(placeOf(m), m)
		s.zones[m.Endpoint.Zone]++
	}
	s.members = members.Map()
	s.groups = s.cut()
	return s
}

// find is the member with an id.
func (s service) find(id string) (table.Member, bool) {
	if m, ok := s.members.Get(prefillFirst + id); ok {
		return m, true
	}
	return s.members.Get(othersAfter + id)
}

// change is an endpoint that has changed. Belongs says whether it is one of the service now.
type change struct {
	id      string
	status  directory.Status
	belongs bool
}

// moves are the members that come into a group and go out of it, the latter by name.
type moves struct {
	in  []table.Member
	out []string
}

// with returns the service after changes of endpoints, each of another one, and says whether
// it is cut into other groups now. However many change at once, groups are worked out once.
func (s service) with(changes []change) (service, bool) {
	before := s
	s.zones = maps.Clone(s.zones)
	members := s.editor(len(changes))
	gone, come := s.apply(changes, members)
	if len(gone)+len(come) == 0 {
		return before, false
	}
	s.members = members.done()
	if !s.sameCut(before) {
		s.groups = s.cut()
		return s, true
	}
	touched := make(map[string]moves)
	for _, m := range gone {
		key := s.groupOf(m)
		t := touched[key]
		t.out = append(t.out, m.Endpoint.Name)
		touched[key] = t
	}
	for _, m := range come {
		key := s.groupOf(m)
		t := touched[key]
		t.in = append(t.in, m)
		touched[key] = t
	}
	for key, t := range touched {
		s.groups = s.groups.Set(key, s.moved(key, t))
	}
	return s, false
}

// apply changes the members and the counts of zones, and returns the members that have gone
// and those that have come; one that has changed is among both.
func (s service) apply(changes []change, members *editor) (gone, come []table.Member) {
	for _, c := range changes {
		old, had := s.find(c.id)
		if had {
			members.remove(old)
			gone = append(gone, old)
			if s.zones[old.Endpoint.Zone]--; s.zones[old.Endpoint.Zone] == 0 {
				delete(s.zones, old.Endpoint.Zone)
			}
		}
		if c.belongs {
			m := memberOf(s.spec, c.status)
			members.set(m)
			come = append(come, m)
			s.zones[m.Endpoint.Zone]++
		}
	}
	return gone, come
}

// editor changes the members of a service: one by one, sharing what does not change, or, where
// most of them change, all anew.
type editor struct {
	shared *immutable.SortedMap[string, table.Member]
	anew   map[string]table.Member
}

// editor changes the members, of which so many are to change.
func (s service) editor(changes int) *editor {
	e := &editor{shared: s.members}
	if changes*2 < s.members.Len() || changes < fewChanges {
		return e
	}
	e.anew = make(map[string]table.Member, s.members.Len()+changes)
	for i := s.members.Iterator(); !i.Done(); {
		place, m, _ := i.Next()
		e.anew[place] = m
	}
	return e
}

// fewChanges are never worth making all members anew.
const fewChanges = 32

func (e *editor) remove(m table.Member) {
	if e.anew != nil {
		delete(e.anew, placeOf(m))
		return
	}
	e.shared = e.shared.Delete(placeOf(m))
}

func (e *editor) set(m table.Member) {
	if e.anew != nil {
		e.anew[placeOf(m)] = m
		return
	}
	e.shared = e.shared.Set(placeOf(m), m)
}

// done is the members after the changes.
func (e *editor) done() *immutable.SortedMap[string, table.Member] {
	if e.anew == nil {
		return e.shared
	}
	members := immutable.NewSortedMapBuilder[string, table.Member](nil)
	for _, place := range slices.Sorted(maps.Keys(e.anew)) {
		members.Set(place, e.anew[place])
	}
	return members.Map()
}

// region is the region that the endpoints of a zone are cut with.
func (s service) region(zone string) string { return s.regions.Of(zone) }

// whole says whether all endpoints of a region are one group.
func (s service) whole(region string) bool {
	here := 0
	for zone, n := range s.zones {
		if s.region(zone) == region {
			here += n
		}
	}
	return here <= table.MaxGroup
}

// regionKey is the key of a region's endpoints if they are one group.
func (s service) regionKey(region string) string {
	if !s.regions.Several() {
		return s.spec.Name
	}
	return table.RegionGroupKey(s.spec.Name, region)
}

// parts is into how many groups a zone is cut.
func (s service) parts(zone string) uint64 {
	return table.ZoneParts(s.zones[zone], s.members.Len())
}

// sameCut says whether a service is cut into the same groups as before.
func (s service) sameCut(before service) bool {
	return s.cutLike(before) && before.cutLike(s)
}

// cutLike says whether each group of the service is one of another as well.
func (s service) cutLike(other service) bool {
	for zone := range s.zones {
		region := s.region(zone)
		whole := s.whole(region)
		switch {
		case whole != other.whole(region):
			return false
		case whole:
			if s.regions.Several() && !other.in(region) {
				return false
			}
		case other.zones[zone] == 0, s.parts(zone) != other.parts(zone):
			return false
		}
	}
	return true
}

// in says whether the service has endpoints in a region.
func (s service) in(region string) bool {
	for zone := range s.zones {
		if s.region(zone) == region {
			return true
		}
	}
	return false
}

// groupOf is the key of the group that a member belongs to.
func (s service) groupOf(m table.Member) string {
	zone := m.Endpoint.Zone
	if region := s.region(zone); s.whole(region) {
		return s.regionKey(region)
	}
	parts := s.parts(zone)
	return table.ZoneGroupKey(s.spec.Name, zone, table.PartOf(m.Endpoint.Name, parts), parts)
}

// places lists the service's groups, region by region. A service of a fleet in one
// region that has no endpoints is one group without any.
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

// placesIn lists the groups of a region's zones, among the given ones.
func (s service) placesIn(region string, zones []string) []Place {
	if s.whole(region) {
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

// cut works out all groups of the service.
func (s service) cut() *immutable.Map[string, *table.Group] {
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

// moved is a group after some of its members have gone and others have come.
func (s service) moved(key string, t moves) *table.Group {
	out := &table.Group{Key: key, Service: s.spec.Name}
	if g, ok := s.groups.Get(key); ok {
		out.Members = append(make([]table.Member, 0, len(g.Members)+len(t.in)), g.Members...)
	}
	out.Members = slices.DeleteFunc(out.Members, func(m table.Member) bool { return slices.Contains(t.out, m.Endpoint.Name) })
	out.Members = append(out.Members, t.in...)
	slices.SortFunc(out.Members, func(a, b table.Member) int { return strings.Compare(placeOf(a), placeOf(b)) })
	return out
}
