// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import "time"

const (
	// lateReport is by how much later a further report of one cold spell may seem to end
	// it: each is the time that was left when the endpoint wrote it, and is read up to
	// a heartbeat later, so the earlier end is the right one.
	lateReport = 1500 * time.Millisecond
	// soonerReport is by how much sooner an end has to be to be worth a change of the
	// directory.
	soonerReport = 500 * time.Millisecond
)

// ColdEnd is until when the endpoint is taken for cold; start is for how long one of
// its service is cold after a start. One that has just started is cold, whatever its
// entry leaves out.
func (w Status) ColdEnd(start time.Duration) time.Time {
	if begun := w.StartedAt.Add(start); !w.StartedAt.IsZero() && begun.After(w.ColdUntil) {
		return begun
	}
	return w.ColdUntil
}

// WithStart returns the status of an endpoint that is taken to have just started, and
// has reported nothing of it yet: one that got no work for a while may have lost its caches.
func (w Status) WithStart(now time.Time) Status {
	w.StartedAt = now
	return w
}

// coldUntil is when the endpoint is warm after a further report. The same report
// read again later does not extend a spell.
func (w Status) coldUntil(now time.Time, e Entry) time.Time {
	reported := now.Add(e.ColdFor)
	later := reported.Sub(w.ColdUntil)
	switch {
	case e.ColdFor == 0 && (w.ColdFor == 0 || later > 0):
		return w.ColdUntil
	case e.ColdFor == w.ColdFor && now.Before(w.ColdUntil):
		return w.ColdUntil
	case e.ColdFor > w.ColdFor:
		// The time that is left of one spell only falls.
		return reported
	case -soonerReport <= later && later <= lateReport:
		return w.ColdUntil
	default:
		return reported
	}
}

// same says whether nothing has changed that others go by. The time for which an
// endpoint is still cold falls in each of its heartbeats.
func (w *Status) same(old *Status) bool {
	entry := w.Entry
	entry.ColdFor = old.ColdFor
	return entry == old.Entry && w.Gone == old.Gone && w.InGrace == old.InGrace && w.ColdUntil.Equal(old.ColdUntil) && w.StartedAt.Equal(old.StartedAt)
}

// refreshed returns the directory with newer reports of endpoints for which nothing else
// has changed. It is no change of the directory: whole lists for other boxes have
// the newer reports, and nobody groups endpoints anew.
func (d Directory) refreshed(statuses map[string]*Status) Directory {
	for id, w := range statuses {
		d.statuses = d.all().Set(id, w)
	}
	return d
}
