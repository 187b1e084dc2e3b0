// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package table

import (
	"reflect"
	"slices"
)

// Delta is the difference between two generations of the table. The change of one
// cell in a table of 700 endpoints takes a few hundred bytes, while the whole table
// takes hundreds of kilobytes.
type Delta struct {
	// Base and Generation are the generations before and after the change.
	Base       uint64 `json:"base"`
	Generation uint64 `json:"generation"`
	// BaseVersion and Version are the operator's version numbers before and after it.
	BaseVersion uint64 `json:"base_version,omitempty"`
	Version     uint64 `json:"version,omitempty"`

	Zones     ListDelta[Zone]     `json:"zones,omitzero"`
	Services  ListDelta[Service]  `json:"services,omitzero"`
	Pools     ListDelta[Pool]     `json:"pools,omitzero"`
	Endpoints ListDelta[Endpoint] `json:"endpoints,omitzero"`
	Rows      ListDelta[Row]      `json:"rows,omitzero"`
	Links     ListDelta[Link]     `json:"links,omitzero"`
	Accounts  ListDelta[Account]  `json:"accounts,omitzero"`
	Routes    ListDelta[Route]    `json:"routes,omitzero"`
	// Limits are the limits after the change.
	Limits Limits `json:"limits,omitzero"`
	// Origin is the box that read the table from the platform and from which the change spreads;
	// builds that don't name it send along the tree of the generation.
	Origin string `json:"origin,omitempty"`
	// Whole, if not nil, is the whole table after the change; the lists are then empty.
	Whole *Table `json:"whole,omitempty"`
}

// ListDelta is the change of one of the table's lists.
type ListDelta[T any] struct {
	// Set holds the added and changed items.
	Set []T `json:"set,omitempty"`
	// Removed holds the keys of the removed items.
	Removed []string `json:"removed,omitempty"`
}

// IsZero reports whether nothing changed.
func (p ListDelta[T]) IsZero() bool {
	return len(p.Set) == 0 && len(p.Removed) == 0
}

// key returns the item's key, which is unique within its list.
func (z Zone) key() string     { return z.Name }
func (s Service) key() string  { return s.Name }
func (p Pool) key() string     { return p.Name }
func (e Endpoint) key() string { return e.Name }
func (r Row) key() string      { return r.Service + "/" + r.Pool }
func (l Link) key() string     { return l.From + "-" + l.To }
func (a Account) key() string  { return a.Name }

// listItem is an item of one of the table's lists.
type listItem interface{ key() string }

// Diff returns the change from one table to another.
func Diff(from, to Table) Delta {
	return Delta{
		Base:       from.Generation,
		Generation: to.Generation,

		BaseVersion: from.Version,
		Version:     to.Version,

		Zones:     diffLists(from.Zones, to.Zones),
		Services:  diffLists(from.Services, to.Services),
		Pools:     diffLists(from.Pools, to.Pools),
		Endpoints: diffLists(from.Endpoints, to.Endpoints),
		Rows:      diffLists(from.Rows, to.Rows),
		Links:     diffLists(from.Links, to.Links),
		Accounts:  diffLists(from.Accounts, to.Accounts),
		Routes:    diffLists(from.Routes, to.Routes),
		Limits:    to.Limits,
	}
}

// WholeDelta returns a delta that carries a whole table, for a box that has no table
// to which a change could be applied.
func WholeDelta(t Table) Delta {
	return Delta{Generation: t.Generation, Version: t.Version, Whole: &t}
}

// Stamp returns the stamp of the table after the change.
func (d Delta) Stamp() Stamp { return Stamp{Version: d.Version, Generation: d.Generation} }

func diffLists[T listItem](from, to []T) ListDelta[T] {
	var p ListDelta[T]
	before := make(map[string]T, len(from))
	for _, item := range from {
		before[item.key()] = item
	}
	for _, item := range to {
		old, known := before[item.key()]
		if !known || !reflect.DeepEqual(old, item) {
			p.Set = append(p.Set, item)
		}
		delete(before, item.key())
	}
	for _, item := range from {
		if _, gone := before[item.key()]; gone {
			p.Removed = append(p.Removed, item.key())
		}
	}
	return p
}

// WithDelta returns the table after a change, or false if the change is not based
// on this generation and version.
func (t Table) WithDelta(d Delta) (Table, bool) {
	if d.Whole != nil {
		return d.Whole.WithGeneration(d.Generation), true
	}
	if d.Base != t.Generation || d.BaseVersion != t.Version {
		return t, false
	}
	return Table{
		Generation: d.Generation,
		Version:    d.Version,
		Zones:      patchList(t.Zones, d.Zones),
		Services:   patchList(t.Services, d.Services),
		Pools:      patchList(t.Pools, d.Pools),
		Endpoints:  patchList(t.Endpoints, d.Endpoints),
		Rows:       patchList(t.Rows, d.Rows),
		Links:      patchList(t.Links, d.Links),
		Accounts:   patchList(t.Accounts, d.Accounts),
		Routes:     patchList(t.Routes, d.Routes),
		Limits:     d.Limits,
	}, true
}

// patchList returns a list after a change. Items that stay keep their order, and new
// ones are appended.
func patchList[T listItem](items []T, p ListDelta[T]) []T {
	if p.IsZero() {
		return items
	}
	out := slices.DeleteFunc(slices.Clone(items), func(item T) bool {
		return slices.Contains(p.Removed, item.key())
	})
	at := make(map[string]int, len(out))
	for i, item := range out {
		at[item.key()] = i
	}
	for _, item := range p.Set {
		if i, known := at[item.key()]; known {
			out[i] = item
			continue
		}
		out = append(out, item)
	}
	return out
}

// Names lists the objects that a change affects, such as "endpoint bog-p1".
func (d Delta) Names() []string {
	var out []string
	out = append(out, changedNames("zone", d.Zones)...)
	out = append(out, changedNames("service", d.Services)...)
	out = append(out, changedNames("pool", d.Pools)...)
	out = append(out, changedNames("endpoint", d.Endpoints)...)
	out = append(out, changedNames("row", d.Rows)...)
	out = append(out, changedNames("link", d.Links)...)
	out = append(out, changedNames("route", d.Routes)...)
	return append(out, changedNames("account", d.Accounts)...)
}

func changedNames[T listItem](kind string, p ListDelta[T]) []string {
	var out []string
	for _, item := range p.Set {
		out = append(out, kind+" "+item.key())
	}
	for _, key := range p.Removed {
		out = append(out, kind+" "+key)
	}
	return out
}
