// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package directory holds the endpoints of routed services. They register
// themselves in the platform and are not listed in the table. The package does no
// I/O: times are arguments, and a Directory is an immutable value.
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

// Entry is an endpoint's description of itself. ID identifies one start of it, together with
// Born if endpoints keep their ids when they restart.
type Entry struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Stage is one of the Stage constants.
	Stage string
	Slots int
	// Draining endpoints are about to stop and get no new work.
	Draining bool
	// ColdFor is how much longer the endpoint is cold, as of its report; 0 is not cold.
	ColdFor time.Duration
	// Born is the Unix time of its start in milliseconds; 0 means not reported.
	Born int64
	// Version is the version of its software; empty means unknown.
	Version string
}

// Status is an endpoint's entry and its state in the directory.
type Status struct {
	Entry
	// Gone means that the platform no longer lists the endpoint, which may go on
	// serving for a while. Since is when this box learned of the latest change.
	Gone  bool
	Since time.Time
	// Replaced means that another endpoint was found to answer at this one's address.
	Replaced bool
	// InGrace means that the platform does not list the endpoint but may list it
	// again: its entry may have expired while the platform was unavailable.
	InGrace bool
	// GraceEnds is when an endpoint in grace is gone if its entry has not come back.
	GraceEnds time.Time
	// StartedAt is when the endpoint began to count as just started: it appeared while
	// this box followed the list, or the drain of its zone ended. It is zero otherwise,
	// and once the endpoint has reported how long it is cold.
	StartedAt time.Time
	// ColdUntil is the end of the cold period that the endpoint reported; zero if it
	// never reported one. Use ColdEnd, which also considers StartedAt.
	ColdUntil time.Time
	// ZoneDrained means that the endpoint's availability zone is drained.
	ZoneDrained bool
}

// Usable reports whether the endpoint may get new work.
func (w Status) Usable() bool { return !w.Gone && !w.Draining && !w.Replaced && !w.ZoneDrained }

// Directory holds the status of every known endpoint. It is an immutable value.
type Directory struct {
	// revision counts the changes of this directory.
	revision uint64
	// at is the position in the platform's history that the directory reflects; 0 is none.
	at uint64
	// statuses maps ids to endpoints. The map shares its unchanged parts with that of the
	// previous directory, so that a change copies little however many endpoints there are.
	statuses *immutable.Map[string, *Status]
	// gone is the number of remembered endpoints that are gone.
	gone int
	// recent lists the latest changes, the newest last.
	recent []changeRecord
	// graceUntil is the time until which a missing entry may merely have expired.
	graceUntil time.Time
	// heldUntil is the time until which whole lists may come from a store that was
	// restored from an older copy.
	heldUntil time.Time
	// drained is the set of drained availability zones. The map is never modified.
	drained map[string]bool
	// since is when the directory first received data of the platform.
	since time.Time
	// endedVersions has, by service and software version, when an endpoint last ceased to have that
	// version. The maps are never modified.
	endedVersions map[string]map[string]time.Time
}

// changeRecord lists the endpoints that a change affected.
type changeRecord struct {
	revision uint64
	ids      []string
}

// maxRecent is the number of remembered changes. It is larger than the number that
// accumulates between two calls of ChangedSince by one user.
const maxRecent = 64

// none is the map of a directory without endpoints.
var none = immutable.NewMap[string, *Status](nil)

// Change is one change on the platform: an entry that was written, or removed if Gone
// is set.
type Change struct {
	Entry Entry
	Gone  bool
	// Overwritten means that an entry is gone because something that names no endpoint was written in its
	// place, so that it has not expired. Boxes of earlier builds don't state it.
	Overwritten bool
}

// Revision returns the number of changes of this directory.
func (d Directory) Revision() uint64 { return d.revision }

// At returns the position in the platform's history that the directory reflects; 0 is none.
func (d Directory) At() uint64 { return d.at }

// Known reports whether the directory has ever received data of the platform.
func (d Directory) Known() bool { return d.at > 0 }

// all returns the endpoints by id; the map is never nil.
func (d Directory) all() *immutable.Map[string, *Status] {
	if d.statuses == nil {
		return none
	}
	return d.statuses
}

// Status returns the status of an endpoint, and false if its id is not known.
func (d Directory) Status(id string) (Status, bool) {
	w, ok := d.all().Get(id)
	if !ok {
		return Status{}, false
	}
	return *w, true
}

// Len returns the number of remembered endpoints, those gone included.
func (d Directory) Len() int { return d.all().Len() }

// each calls visit for every endpoint.
func (d Directory) each(visit func(w *Status)) {
	for i := d.all().Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		visit(w)
	}
}

// IDs lists the ids of all remembered endpoints.
func (d Directory) IDs() []string {
	out := make([]string, 0, d.Len())
	d.each(func(w *Status) { out = append(out, w.ID) })
	return out
}

// Statuses lists the endpoints of a service, sorted by id.
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

// ChangedSince lists the ids of the endpoints that changed after a revision of this
// directory, possibly with duplicates. It returns false if the changes since then are
// no longer remembered.
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

// with returns the directory with some endpoints replaced, or removed if their status
// is nil. This counts as one change.
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
	d.recent = append(slices.Clone(d.recent[first:]), changeRecord{revision: d.revision, ids: ids})
	return d
}

// WithList returns the directory after a whole list as of a position. Endpoints that
// are not on the list are gone. A list older than the directory changes nothing.
func (d Directory) WithList(now time.Time, at uint64, list []Entry) Directory {
	listed := make(map[string]bool, len(list))
	var changes []Change
	for _, e := range list {
		listed[e.ID] = true
		if e, holds := d.reconcile(now, e); holds {
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

// WithChanges returns the directory after changes up to a position. Changes older than
// the directory are dropped.
func (d Directory) WithChanges(now time.Time, at uint64, changes []Change) Directory {
	if at < d.at {
		return d
	}
	following := d.Known()
	if !following {
		d.since = now
	}
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
		w := &Status{Entry: c.Entry, Gone: c.Gone, Since: now, StartedAt: old.StartedAt}
		w.Replaced = old.Replaced && (c.Gone || c.Entry.Born == old.Born && c.Entry.Address == old.Address)
		if !known && following {
			w.StartedAt = now
		}
		if c.Gone {
			w.Entry = old.Entry
		}
		if w.Version == "" && w.Born == old.Born {
			// Boxes of earlier builds forward entries without the version.
			w.Version = old.Version
		}
		w.ZoneDrained = d.drained[w.Zone]
		w.ColdUntil = old.coldUntil(now, w.Entry)
		if w.ColdFor != old.ColdFor {
			w.StartedAt = time.Time{}
		}
		if ends := d.graceEnds(*old); c.Gone && !c.Overwritten && now.Before(ends) && !old.Gone {
			w.Gone, w.InGrace, w.GraceEnds = false, true, ends
		}
		if known && w.unchangedFrom(old) {
			if w.ColdFor != old.ColdFor && changed[w.ID] == nil {
				refreshed[w.ID] = w
			}
			continue
		}
		changed[c.Entry.ID] = w
	}
	d = d.withReports(refreshed)
	if len(changed) == 0 {
		return d
	}
	return d.withEndedVersions(now, changed).with(changed)
}

// WithReplaced returns the directory after another endpoint answered at the address of the
// one with this id, which proves that this one is no longer there. One that has started again at another address
// meanwhile stays in use.
func (d Directory) WithReplaced(id, address string) Directory {
	w, ok := d.Status(id)
	if !ok || w.Replaced || w.Address != address {
		return d
	}
	w.Replaced = true
	return d.with(map[string]*Status{id: &w})
}

// WithoutGone returns the directory without the endpoints that have been gone for longer
// than keep.
func (d Directory) WithoutGone(now time.Time, keep time.Duration) Directory {
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
