// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package group keeps the groups that the endpoints of all services are scheduled in. It
// updates incrementally what table.Table.Groups computes from scratch: an update of an endpoint
// only affects the endpoint's own group.
package group

import (
	"maps"
	"slices"

	"github.com/benbjohnson/immutable"

	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/table"
)

// Groups holds the groups of a table with the endpoints of a directory. It is an immutable
// value; the zero value holds no groups.
type Groups struct {
	// source is the table that the groups were built from, and table is the same one with the
	// targets of its routed services merged in.
	source, table table.Table
	regions       locality.Map
	// revision is the revision of the directory.
	revision uint64
	layout   *Layout
	// routed holds, by name, the services whose endpoints are listed in the directory.
	routed map[string]service
	// fixed holds the groups of all other services by key.
	fixed map[string]*table.Group
}

// Layout lists the groups that exist. The pointer stays the same until the set of groups
// changes.
type Layout struct {
	keys   []string
	places map[string][]Place
	// byKey holds all places by their keys.
	byKey map[string]Place
}

// Place identifies one group of a service and says where its endpoints are.
type Place struct {
	Key string
	// Zone is the availability zone of the endpoints; empty if they are in several.
	Zone string
	// Region is the region of the endpoints; empty if it is unknown.
	Region string
}

// Keys returns the keys of all groups.
func (l *Layout) Keys() []string {
	if l == nil {
		return nil
	}
	return l.keys
}

// Places returns the groups of a service.
func (l *Layout) Places(service string) []Place {
	if l == nil {
		return nil
	}
	return l.places[service]
}

// Place returns the place of a group, or the zero Place if there is no such group.
func (l *Layout) Place(key string) Place {
	if l == nil {
		return Place{}
	}
	return l.byKey[key]
}

// service holds a routed service with its endpoints and groups.
type service struct {
	spec    table.Service
	regions locality.Map
	// members holds the endpoints by sort key: prefill endpoints first, then by name.
	members *immutable.SortedMap[string, table.Member]
	// zones counts the members of each zone.
	zones  map[string]int
	groups *immutable.Map[string, *table.Group]
}

// New builds all groups of a table with the endpoints of a directory, for a fleet in one
// region.
func New(t table.Table, d directory.Directory) Groups { return NewByRegion(t, d, locality.Map{}) }

// NewByRegion builds all groups of a table with the endpoints of a directory. It splits
// services by region first.
func NewByRegion(t table.Table, d directory.Directory, regions locality.Map) Groups {
	// The merged table lists no endpoints of routed services; those are kept in the service
	// values.
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

// Table returns the table that the groups belong to. Its routed services have their targets
// merged in; their endpoints are not listed in it.
func (g Groups) Table() table.Table { return g.table }

// Revision returns the revision of the directory whose endpoints are in the groups.
func (g Groups) Revision() uint64 { return g.revision }

// Layout returns the groups that exist.
func (g Groups) Layout() *Layout { return g.layout }

// Get returns a group by its key. The pointer stays the same until the group changes; the
// caller must not modify the group.
func (g Groups) Get(key string) (*table.Group, bool) {
	if found, ok := g.fixed[key]; ok {
		return found, true
	}
	// The service can't be parsed from the key, because a service name may contain a slash.
	for _, s := range g.routed {
		if found, ok := s.groups.Get(key); ok {
			return found, true
		}
	}
	return nil, false
}

// With returns the groups updated with the changes of a directory since the revision that the
// groups were built from. It rebuilds all groups if the directory no longer has those changes.
func (g Groups) With(d directory.Directory) Groups {
	ids, retained := d.ChangedSince(g.revision)
	if !retained {
		return NewByRegion(g.source, d, g.regions)
	}
	g.revision = d.Revision()
	if len(ids) == 0 {
		return g
	}
	// An endpoint may have changed more than once.
	ids = slices.Compact(slices.Sorted(slices.Values(ids)))
	g.routed = maps.Clone(g.routed)
	layoutChanged := false
	for name, s := range g.routed {
		changes := make([]change, 0, len(ids))
		for _, id := range ids {
			status, known := d.Status(id)
			changes = append(changes, change{id: id, status: status, belongs: known && status.Service == name && !status.Gone && !status.Replaced})
		}
		next, regrouped := s.with(changes)
		g.routed[name] = next
		layoutChanged = layoutChanged || regrouped
	}
	if layoutChanged {
		g.layout = g.newLayout()
	}
	return g
}

// newLayout lists the groups in an order that depends only on the table and the group keys.
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

// placeOfGroup returns where the members of a group are. In a fleet with one region, a group
// may span several zones; in a fleet with several, a group is always within one region.
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
