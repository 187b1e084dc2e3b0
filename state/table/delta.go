// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package table

import (
	"reflect"
	"slices"
)

// Delta is what changed between two generations. A change of one cell in a
// table of 700 endpoints is a few hundred bytes, where the table is hundreds
// of kilobytes.
type Delta struct {
	// Base and Generation are the tables before and after.
	Base       uint64 `json:"base"`
	Generation uint64 `json:"generation"`
	// BaseVersion and Version are their numbers by the operator.
	BaseVersion uint64 `json:"base_version,omitempty"`
	Version     uint64 `json:"version,omitempty"`

	Zones     Part[Zone]     `json:"zones,omitzero"`
	Services  Part[Service]  `json:"services,omitzero"`
	Pools     Part[Pool]     `json:"pools,omitzero"`
	Endpoints Part[Endpoint] `json:"endpoints,omitzero"`
	Rows      Part[Row]      `json:"rows,omitzero"`
	Links     Part[Link]     `json:"links,omitzero"`
	Accounts  Part[Account]  `json:"accounts,omitzero"`
	Routes    Part[Route]    `json:"routes,omitzero"`
	// Limits are those after the change.
	Limits Limits `json:"limits,omitzero"`
	Whole  *Table `json:"whole,omitempty"`
}

// Part is the change of one list.
type Part[T any] struct {
	// Set are the items that were added or changed.
	Set []T `json:"set,omitempty"`
	// Removed are the keys of those taken out.
	Removed []string `json:"removed,omitempty"`
}

// IsZero says whether nothing changed.
func (p Part[T]) IsZero() bool {
	return len(p.Set) == 0 && len(p.Removed) == 0
}

// Keys of the lists' items.
func (z Zone) key() string     { return z.Name }
func (s Service) key() string  { return s.Name }
func (p Pool) key() string     { return p.Name }
func (e Endpoint) key() string { return e.Name }
func (r Row) key() string      { return r.Service + "/" + r.Pool }
func (l Link) key() string     { return l.From + "-" + l.To }
func (a Account) key() string  { return a.Name }

// keyed is an item of one of the table's lists.
type keyed interface{ key() string }

// Diff is the change from one table to another.
func Diff(from, to Table) Delta {
	return Delta{
		Base:       from.Generation,
		Generation: to.Generation,

		BaseVersion: from.Version,
		Version:     to.Version,

		Zones:     diff(from.Zones, to.Zones),
		Services:  diff(from.Services, to.Services),
		Pools:     diff(from.Pools, to.Pools),
		Endpoints: diff(from.Endpoints, to.Endpoints),
		Rows:      diff(from.Rows, to.Rows),
		Links:     diff(from.Links, to.Links),
		Accounts:  diff(from.Accounts, to.Accounts),
		Routes:    diff(from.Routes, to.Routes),
		Limits:    to.Limits,
	}
}

// WholeDelta carries a whole table, for a box that has none of its bases.
func WholeDelta(t Table) Delta {
	return Delta{Generation: t.Generation, Version: t.Version, Whole: &t}
}

// Stamp is that of the table after the change.
func (d Delta) Stamp() Stamp { return Stamp{Version: d.Version, Generation: d.Generation} }

func diff[T keyed](from, to []T) Part[T] {
	var p Part[T]
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

// WithDelta returns the table after a change, or false if the change does not
// start from this generation.
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
		Zones:      patch(t.Zones, d.Zones),
		Services:   patch(t.Services, d.Services),
		Pools:      patch(t.Pools, d.Pools),
		Endpoints:  patch(t.Endpoints, d.Endpoints),
		Rows:       patch(t.Rows, d.Rows),
		Links:      patch(t.Links, d.Links),
		Accounts:   patch(t.Accounts, d.Accounts),
		Routes:     patch(t.Routes, d.Routes),
		Limits:     d.Limits,
	}, true
}

// patch keeps the order of what stays and adds what is new at the end.
func patch[T keyed](items []T, p Part[T]) []T {
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

// Names lists the objects that a change touches, such as "endpoint bog-p1".
func (d Delta) Names() []string {
	var out []string
	out = append(out, names("zone", d.Zones)...)
	out = append(out, names("service", d.Services)...)
	out = append(out, names("pool", d.Pools)...)
	out = append(out, names("endpoint", d.Endpoints)...)
	out = append(out, names("row", d.Rows)...)
	out = append(out, names("link", d.Links)...)
	out = append(out, names("route", d.Routes)...)
	return append(out, names("account", d.Accounts)...)
}

func names[T keyed](kind string, p Part[T]) []string {
	var out []string
	for _, item := range p.Set {
		out = append(out, kind+" "+item.key())
	}
	for _, key := range p.Removed {
		out = append(out, kind+" "+key)
	}
	return out
}
