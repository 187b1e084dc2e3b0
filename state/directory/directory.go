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

	"github.com/benbjohnson/immutable"
)

// Stages of an endpoint.
const (
	StagePlain   = ""
	StagePrefill = "prefill"
	StageDecode  = "decode"
)

// Entry is what an endpoint says of itself. ID stands for one start of it, together with
// Born where endpoints start again under their ids.
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
	// ColdFor is how much longer the endpoint was slow when it said so; 0 is not.
	ColdFor time.Duration
	// Born is the Unix millisecond of its start; 0 is not said.
	Born int64
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
	// StartedAt is when the endpoint is taken to have just started: it appeared while
	// this box followed the list, or its zone was taken back. Zero is neither, or that
	// it has reported since for how long it is cold.
	StartedAt time.Time
	// ColdUntil is until when the endpoint is slow by its own report; zero if it never
	// made one. ColdEnd is what to go by.
	ColdUntil time.Time
	// ZoneDrained says that the endpoint's availability zone is drained.
	ZoneDrained bool
}

// Usable says whether the endpoint may get new work.
func (w Status) Usable() bool { return !w.Gone && !w.Draining && !w.Left && !w.ZoneDrained }

// Directory is all that is known of endpoints.
type Directory struct {
	// revision counts the changes here.
	revision uint64
	// at is the platform's revision that the directory stands at.
	at uint64
	// statuses shares what did not change with the directory before, so that a change
	// of one endpoint copies little however many there are.
	statuses *immutable.Map[string, *Status]
	// gone counts the endpoints that are remembered and gone.
	gone int
	// recent are the last changes.
	recent []touched
	// graceUntil is until when an entry that is missing may only have lapsed.
	graceUntil time.Time
	// heldUntil is until when whole lists are those of a store that came back older.
	heldUntil time.Time
	// drained are the drained availability zones. The map is never written to.
	drained map[string]bool
}

// touched is which endpoints a change touched.
type touched struct {
	revision uint64
	ids      []string
}

// maxRecent is how many changes are remembered: more than gather between two
// looks at what has changed.
const maxRecent = 64

// none is a directory's first map.
var none = immutable.NewMap[string, *Status](nil)

// Change is one change on the platform.
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

// all are the endpoints by id.
func (d Directory) all() *immutable.Map[string, *Status] {
	if d.statuses == nil {
		return none
	}
	return d.statuses
}

// Status finds an endpoint by id.
func (d Directory) Status(id string) (Status, bool) {
	w, ok := d.all().Get(id)
	if !ok {
		return Status{}, false
	}
	return *w, true
}

// Len is the number of endpoints that are remembered, those gone included.
func (d Directory) Len() int { return d.all().Len() }

// each calls a function for every endpoint.
func (d Directory) each(visit func(w *Status)) {
	for i := d.all().Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		visit(w)
	}
}

// IDs lists the ids of all endpoints that are remembered.
func (d Directory) IDs() []string {
	out := make([]string, 0, d.Len())
	d.each(func(w *Status) { out = append(out, w.ID) })
	return out
}

// Statuses lists the endpoints of a service, in the order of their ids.
func (d Directory) Statuses(service string) []Status {
	var out []Status
	d.each(func(w *Status) {
		if w.Service == service {
			out = append(out, *w)
		}
	})
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// ChangedSince lists the endpoints that changed after a revision of this
// directory, some perhaps twice; false means that it is not remembered.
func (d Directory) ChangedSince(revision uint64) ([]string, bool) {
	if revision == d.revision {
		return nil, true
	}
	var ids []string
	for i := len(d.recent) - 1; i >= 0; i-- {
		if d.recent[i].revision <= revision {
			return ids, true
		}
		ids = append(ids, d.recent[i].ids...)
		if d.recent[i].revision == revision+1 {
			return ids, true
		}
	}
	return nil, false
}

// with returns the directory with some endpoints replaced, or removed where there
// is no status. It is one change.
func (d Directory) with(statuses map[string]*Status) Directory {
	ids := slices.Sorted(maps.Keys(statuses))
	for _, id := range ids {
		w := statuses[id]
		if old, known := d.all().Get(id); known && old.Gone {
			d.gone--
		}
		if w == nil {
			d.statuses = d.all().Delete(id)
			continue
		}
		if w.Gone {
			d.gone++
		}
		d.statuses = d.all().Set(id, w)
	}
	d.revision++
	first := max(len(d.recent)+1-maxRecent, 0)
	d.recent = append(slices.Clone(d.recent[first:]), touched{revision: d.revision, ids: ids})
	return d
}

// WithList returns the directory after a whole list as of a revision. What is
// not on the list is gone.
func (d Directory) WithList(now time.Time, at uint64, list []Entry) Directory {
	listed := make(map[string]bool, len(list))
	var changes []Change
	for _, e := range list {
		listed[e.ID] = true
		if e, holds := d.against(now, e); holds {
			changes = append(changes, Change{Entry: e})
		}
	}
	d.each(func(w *Status) {
		if !listed[w.ID] && !w.Gone && !w.InGrace {
			changes = append(changes, Change{Entry: w.Entry, Gone: true})
		}
	})
	return d.WithChanges(now, at, changes)
}

// WithChanges returns the directory after changes up to a revision. Changes
// older than the directory are dropped.
func (d Directory) WithChanges(now time.Time, at uint64, changes []Change) Directory {
	if at < d.at {
		return d
	}
	following := d.Known()
	d.at = at
	changed, refreshed := make(map[string]*Status), make(map[string]*Status)
	for _, c := range changes {
		old, known := changed[c.Entry.ID]
		if !known {
			old, known = d.all().Get(c.Entry.ID)
		}
		if c.Gone && !known {
			continue
		}
		if !known {
			old = &Status{}
		}
		w := &Status{Entry: c.Entry, Gone: c.Gone, Since: now, Left: old.Left, StartedAt: old.StartedAt}
		if !known && following {
			w.StartedAt = now
		}
		if c.Gone {
			w.Entry = old.Entry
		}
		w.ZoneDrained = d.drained[w.Zone]
		w.ColdUntil = old.coldUntil(now, w.Entry)
		if w.ColdFor != old.ColdFor {
			w.StartedAt = time.Time{}
		}
		if c.Gone && now.Before(d.graceUntil) && !old.Gone {
			w.Gone, w.InGrace = false, true
		}
		if known && w.same(old) {
			if w.ColdFor != old.ColdFor && changed[w.ID] == nil {
				refreshed[w.ID] = w
			}
			continue
		}
		changed[c.Entry.ID] = w
	}
	d = d.refreshed(refreshed)
	if len(changed) == 0 {
		return d
	}
	return d.with(changed)
}

// WithLeft returns the directory after proof that the endpoint under an id is
// not there any more: another one answered at its address.
func (d Directory) WithLeft(id string) Directory {
	w, ok := d.Status(id)
	if !ok || w.Left {
		return d
	}
	w.Left = true
	return d.with(map[string]*Status{id: &w})
}

// Without returns the directory without endpoints that have been gone for
// longer than keep.
func (d Directory) Without(now time.Time, keep time.Duration) Directory {
	if d.gone == 0 {
		return d
	}
	forgotten := make(map[string]*Status)
	d.each(func(w *Status) {
		if w.Gone && now.Sub(w.Since) > keep {
			forgotten[w.ID] = nil
		}
	})
	if len(forgotten) == 0 {
		return d
	}
	return d.with(forgotten)
}
