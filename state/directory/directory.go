// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package directory knows the endpoints of routed services. They announce
// themselves in the platform, beside the table, which does not list them. The
// package is pure: times are arguments and a Directory is an immutable value.
package directory

import (
	"maps"
	"slices"
	"strings"
	"time"

	"runridge.example/runridge/state/table"
)

// Stages of an endpoint.
const (
	StagePlain   = ""
	StagePrefill = "prefill"
	StageDecode  = "decode"
)

// Entry is what an endpoint says of itself. ID stands for one start of it.
type Entry struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Stage is one of the Stage constants.
	Stage string
	Slots int
	// Draining endpoints are about to end and get no new work.
	Draining bool
}

// Status is an entry with what is known of its standing.
type Status struct {
	Entry
	// Gone says that the platform does not list the endpoint any more; Since
	// is when this was seen here. It may go on serving for a while.
	Gone  bool
	Since time.Time
	// Left says that the endpoint itself proved not to be this one any more.
	Left bool
	// InGrace says that the platform does not list the endpoint, and may list it
	// again: its entry may have lapsed while the platform was away.
	InGrace bool
}

// Usable says whether the endpoint may get new work.
func (w Status) Usable() bool { return !w.Gone && !w.Draining && !w.Left }

// Directory is all that is known of endpoints.
type Directory struct {
	// revision counts the changes here.
	revision uint64
	// at is the platform's revision that the directory stands at.
	at       uint64
	statuses map[string]Status
	// graceUntil is until when an entry that is missing may only have lapsed.
	graceUntil time.Time
}

// Change is one change that the platform told.
type Change struct {
	Entry Entry
	Gone  bool
}

// Revision counts the changes of this directory.
func (d Directory) Revision() uint64 { return d.revision }

// At is the platform's revision that the directory stands at; 0 is none.
func (d Directory) At() uint64 { return d.at }

// Known says whether the platform was ever heard.
func (d Directory) Known() bool { return d.at > 0 }

// Status finds an endpoint by id.
func (d Directory) Status(id string) (Status, bool) {
	w, ok := d.statuses[id]
	return w, ok
}

// Len is the number of endpoints that are remembered, those gone included.
func (d Directory) Len() int { return len(d.statuses) }

// Statuses lists the endpoints of a service, in the order of their ids.
func (d Directory) Statuses(service string) []Status {
	var out []Status
	for _, w := range d.statuses {
		if w.Service == service {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// WithList returns the directory after a whole list as of a revision. What is
// not on the list is gone.
func (d Directory) WithList(now time.Time, at uint64, list []Entry) Directory {
	listed := make(map[string]bool, len(list))
	var changes []Change
	for _, e := range list {
		listed[e.ID] = true
		changes = append(changes, Change{Entry: e})
	}
	for id, w := range d.statuses {
		if !listed[id] && !w.Gone && !w.InGrace {
			changes = append(changes, Change{Entry: w.Entry, Gone: true})
		}
	}
	return d.WithChanges(now, at, changes)
}

// WithChanges returns the directory after changes up to a revision. Changes
// older than the directory are dropped.
func (d Directory) WithChanges(now time.Time, at uint64, changes []Change) Directory {
	if at < d.at {
		return d
	}
	next := d
	next.at = at
	changed := false
	for _, c := range changes {
		old, known := next.statuses[c.Entry.ID]
		if c.Gone && !known {
			continue
		}
		w := Status{Entry: c.Entry, Gone: c.Gone, Since: now, Left: old.Left}
		if c.Gone {
			w.Entry = old.Entry
		}
		if c.Gone && now.Before(d.graceUntil) && !old.Gone {
			w.Gone, w.InGrace = false, true
		}
		if known && w.Entry == old.Entry && w.Gone == old.Gone && w.InGrace == old.InGrace {
			continue
		}
		if !changed {
			next.statuses = maps.Clone(d.statuses)
			if next.statuses == nil {
				next.statuses = make(map[string]Status)
			}
			changed = true
		}
		next.statuses[c.Entry.ID] = w
	}
	if changed {
		next.revision++
	}
	return next
}

// WithLeft returns the directory after proof that the endpoint under an id is
// not there any more: another one answered at its address.
func (d Directory) WithLeft(id string) Directory {
	w, ok := d.statuses[id]
	if !ok || w.Left {
		return d
	}
	w.Left = true
	d.statuses = maps.Clone(d.statuses)
	d.statuses[id] = w
	d.revision++
	return d
}

// Without returns the directory without endpoints that have been gone for
// longer than keep.
func (d Directory) Without(now time.Time, keep time.Duration) Directory {
	statuses := maps.Clone(d.statuses)
	maps.DeleteFunc(statuses, func(_ string, w Status) bool { return w.Gone && now.Sub(w.Since) > keep })
	if len(statuses) == len(d.statuses) {
		return d
	}
	d.statuses = statuses
	d.revision++
	return d
}

// Starting values for engines of routed services, until the boxes have learnt
// their real times: those of a mid-size accelerator.
const (
	startPrefillTokensPerSecond = 40_000
	startStepBaseUS             = 1000
	startStepPerRequestUS       = 20
	// besideBatch is how much slower an engine prefills beside its batch.
	besideBatch = 2
)

// Merge returns the table with the endpoints of its routed services filled in
// from the directory: a service with engine limits becomes a model service
// with a prefill and a decode pool, another a plain one. The generation stays.
func Merge(t table.Table, d Directory) table.Table {
	services := slices.Clone(t.Services)
	out := t
	out.Services = services
	zones := make(map[string]int)
	for _, z := range t.Zones {
		zones[z.Name] = 1
	}
	var endpoints []table.Endpoint
	for i, s := range services {
		if s.Kind != table.KindRouted {
			continue
		}
		services[i] = withTargets(s, t.Routes)
		for _, w := range d.Statuses(s.Name) {
			if w.Gone || w.Left {
				continue
			}
			zones[w.Zone] = 1
			endpoints = append(endpoints, endpointOf(s, w))
		}
	}
	out.Zones = zoneList(t.Zones, zones)
	out.Endpoints = append(slices.Clone(t.Endpoints), endpoints...)
	out.Pools = slices.Clone(t.Pools)
	out.Rows = slices.Clone(t.Rows)
	for _, s := range t.Services {
		if s.Kind != table.KindRouted {
			continue
		}
		for _, role := range roles(s) {
			pool := poolName(s.Name, role)
			out.Pools = append(out.Pools, table.Pool{Name: pool, Role: role})
			out.Rows = append(out.Rows, table.Row{Service: s.Name, Pool: pool, Weights: zones})
		}
	}
	return out
}

func zoneList(known []table.Zone, names map[string]int) []table.Zone {
	out := slices.Clone(known)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !slices.ContainsFunc(out, func(z table.Zone) bool { return z.Name == name }) {
			out = append(out, table.Zone{Name: name})
		}
	}
	return out
}

func roles(s table.Service) []string {
	if s.Engine == nil {
		return []string{table.RolePlain}
	}
	return []string{table.RolePrefill, table.RoleDecode}
}

func poolName(service, role string) string { return service + "/" + role }

// withTargets gives a routed service its kind and the widest targets of the
// routes that lead to it.
func withTargets(s table.Service, routes []table.Route) table.Service {
	s.Kind = table.KindPlain
	if s.Engine != nil {
		s.Kind = table.KindModel
	}
	for _, r := range routes {
		if !slices.ContainsFunc(r.Targets, func(t table.RouteTarget) bool { return t.Service == s.Name }) {
			continue
		}
		s.FirstTokenMS = max(s.FirstTokenMS, r.TargetMS)
		s.PerTokenMS = max(s.PerTokenMS, perToken(r, s.Engine))
	}
	return s
}

// perToken is a route's target between two tokens, in milliseconds: the target
// between two events is for all the tokens of one.
func perToken(r table.Route, e *table.EngineLimits) int {
	if e == nil || e.TokensPerEvent <= 1 || r.GapMS == 0 {
		return r.GapMS
	}
	return max(r.GapMS/e.TokensPerEvent, 1)
}

func endpointOf(s table.Service, w Status) table.Endpoint {
	e := table.Endpoint{
		Name:    w.ID,
		Zone:    w.Zone,
		Address: w.Address,
		Slots:   w.Slots,
		Leaving: w.Draining,
		Pool:    poolName(s.Name, table.RolePlain),
	}
	if s.Engine == nil {
		return e
	}
	e.Pool = poolName(s.Name, table.RoleDecode)
	if w.Stage == StagePrefill {
		e.Pool = poolName(s.Name, table.RolePrefill)
	}
	if e.Slots == 0 {
		e.Slots = s.Engine.Slots
	}
	e.KVTokens = s.Engine.KVTokens
	e.KVBytesPerToken = s.Engine.KVBytesPerToken
	e.PrefillTokensPerSecond = startPrefillTokensPerSecond
	if w.Stage == StageDecode {
		e.PrefillTokensPerSecond = startPrefillTokensPerSecond / besideBatch
	}
	e.StepBaseUS = startStepBaseUS
	e.StepPerRequestUS = startStepPerRequestUS
	return e
}
