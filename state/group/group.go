// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package group keeps the groups that the endpoints of all services are scheduled
// in. What table.Table.Groups works out from nothing, it works out from what has
// changed: an endpoint's update touches its own group and no other.
package group

import (
	"maps"
	"slices"

	"github.com/benbjohnson/immutable"

	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/table"
)

// Groups are the groups of a table with the endpoints of a directory. It is an
// immutable value; the zero value has none.
type Groups struct {
	// source is the table that they were made from, and table the same with the
	// targets of its routed services.
	source, table table.Table
	regions       locality.Map
	// revision is that of the directory.
	revision uint64
	layout   *Layout
	// routed are the services whose endpoints stand in the directory.
	routed map[string]service
	// fixed are the groups of the other services.
	fixed map[string]*table.Group
}

// Layout is which groups there are. It is the same value for as long as that does
// not change.
type Layout struct {
	keys   []string
	places map[string][]Place
	// byKey are all places by their keys.
	byKey map[string]Place
}

// Place is one group of a service.
type Place struct {
	Key string
	// Zone is the availability zone of its endpoints; empty is several.
	Zone string
	// Region is the region of its endpoints; empty is not known.
	Region string
}

// Keys are the keys of all groups.
func (l *Layout) Keys() []string {
	if l == nil {
		return nil
	}
	return l.keys
}

// Places are the groups of a service.
func (l *Layout) Places(service string) []Place {
	if l == nil {
		return nil
	}
	return l.places[service]
}

// Place is where a group is.
func (l *Layout) Place(key string) Place {
	if l == nil {
		return Place{}
	}
	return l.byKey[key]
}

// service is one routed service with its endpoints.
type service struct {
	spec    table.Service
	regions locality.Map
	// members are the endpoints by place: those that prefill first, then by name.
	members *immutable.SortedMap[string, table.Member]
	// zones counts them by zone.
	zones  map[string]int
	groups *immutable.Map[string, *table.Group]
}

// New works out all groups of a table with the endpoints of a directory, for a
// fleet in one region.
func New(t table.Table, d directory.Directory) Groups { return NewByRegion(t, d, locality.Map{}) }

// NewByRegion works out all groups of a table with the endpoints of a directory.
// Services are cut by region first.
func NewByRegion(t table.Table, d directory.Directory, regions locality.Map) Groups {
	// Without endpoints: those of routed services stand in the services.
	merged := directory.Merge(t, directory.Directory{})
	g := Groups{
		source:   t,
		table:    merged,
		regions:  regions,
		revision: d.Revision(),
		routed:   make(map[string]service),
		fixed:    make(map[string]*table.Group),
	}
	for _, s := range t.Services {
		if s.Kind != table.KindRouted {
			continue
		}
		spec, _ := merged.Service(s.Name)
		g.routed[s.Name] = newService(spec, regions, d.Statuses(s.Name))
	}
	for _, found := range t.GroupsByRegion(regions) {
		if _, routed := g.routed[found.Service]; !routed {
			g.fixed[found.Key] = &found
		}
	}
	g.layout = g.newLayout()
	return g
}

// Table is the table that the groups belong to; its routed services have their
// targets, and their endpoints are not in it.
func (g Groups) Table() table.Table { return g.table }

// Revision is that of the directory whose endpoints are in the groups.
func (g Groups) Revision() uint64 { return g.revision }

// Layout is which groups there are.
func (g Groups) Layout() *Layout { return g.layout }

// Get finds a group by its key. It is the same value for as long as nothing of the
// group changes, and must not be changed.
func (g Groups) Get(key string) (*table.Group, bool) {
	if found, ok := g.fixed[key]; ok {
		return found, true
	}
	// A service's own name may have a slash, so the key does not tell which it is.
	for _, s := range g.routed {
		if found, ok := s.groups.Get(key); ok {
			return found, true
		}
	}
	return nil, false
}

// With returns the groups after the changes of a directory, the same one at a
// later revision.
func (g Groups) With(d directory.Directory) Groups {
	ids, remembered := d.ChangedSince(g.revision)
	if !remembered {
		return NewByRegion(g.source, d, g.regions)
	}
	g.revision = d.Revision()
	if len(ids) == 0 {
		return g
	}
	// Several changes may be of one endpoint.
	ids = slices.Compact(slices.Sorted(slices.Values(ids)))
	g.routed = maps.Clone(g.routed)
	moved := false
	for name, s := range g.routed {
		changes := make([]change, 0, len(ids))
		for _, id := range ids {
			w, known := d.Status(id)
			changes = append(changes, change{id: id, status: w, belongs: known && w.Service == name && !w.Gone && !w.Left})
		}
		next, cutAnew := s.with(changes)
		g.routed[name] = next
		moved = moved || cutAnew
	}
	if moved {
		g.layout = g.newLayout()
	}
	return g
}

// newLayout lists the groups in an order that depends on the table alone.
func (g Groups) newLayout() *Layout {
	l := &Layout{places: make(map[string][]Place), byKey: make(map[string]Place)}
	add := func(service string, p Place) {
		l.keys = append(l.keys, p.Key)
		l.places[service] = append(l.places[service], p)
		l.byKey[p.Key] = p
	}
	for _, s := range g.table.Services {
		if routed, ok := g.routed[s.Name]; ok {
			for _, p := range routed.places() {
				add(s.Name, p)
			}
			continue
		}
		for _, key := range slices.Sorted(maps.Keys(g.fixed)) {
			if found := g.fixed[key]; found.Service == s.Name {
				add(s.Name, placeOfGroup(found, g.regions))
			}
		}
	}
	return l
}

// placeOfGroup is where the members of a group are. Those of a fleet in one region
// may have several zones; those of one in several have one region.
func placeOfGroup(g *table.Group, regions locality.Map) Place {
	p := Place{Key: g.Key, Region: regions.Only()}
	for i, m := range g.Members {
		if i == 0 {
			p.Zone, p.Region = m.Endpoint.Zone, regions.Of(m.Endpoint.Zone)
		}
		if m.Endpoint.Zone != p.Zone {
			p.Zone = ""
		}
	}
	return p
}
