// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import "time"

const (
	// maxLaterEnd is how much later a further report of the same cold period may put its
	// end: a report holds the time remaining when the endpoint wrote it and is read up to
	// a heartbeat later, so the earliest reported end is the right one.
	maxLaterEnd = 1500 * time.Millisecond
	// minEarlierEnd is how much earlier a reported end must be to change the directory.
	minEarlierEnd = 500 * time.Millisecond
)

// ColdEnd returns the time until which the endpoint counts as cold. start is how long an
// endpoint of its service is cold after a start. An endpoint that has just started is cold
// even if its entry does not report it.
func (w Status) ColdEnd(start time.Duration) time.Time {
	if startEnd := w.StartedAt.Add(start); !w.StartedAt.IsZero() && startEnd.After(w.ColdUntil) {
		return startEnd
	}
	return w.ColdUntil
}

// WithStart returns the status of an endpoint that counts as just started and has not
// reported yet how long it is cold: without work for a while it may have lost its caches.
func (w Status) WithStart(now time.Time) Status {
	w.StartedAt = now
	return w
}

// coldUntil returns the end of the endpoint's cold period after a further report. Reading
// the same report again later does not extend the period.
func (w Status) coldUntil(now time.Time, e Entry) time.Time {
	reported := now.Add(e.ColdFor)
	later := reported.Sub(w.ColdUntil)
	switch {
	case e.ColdFor == 0 && (w.ColdFor == 0 || later > 0):
		return w.ColdUntil
	case e.ColdFor == w.ColdFor && now.Before(w.ColdUntil):
		return w.ColdUntil
	case e.ColdFor > w.ColdFor:
		// The remaining time of one cold period only falls, so this is another one.
		return reported
	case -minEarlierEnd <= later && later <= maxLaterEnd:
		return w.ColdUntil
	default:
		return reported
	}
}

// unchangedFrom reports whether nothing has changed that counts as a change of the directory. ColdFor
// is not compared, since it falls with each heartbeat of a cold endpoint.
func (w *Status) unchangedFrom(old *Status) bool {
	entry := w.Entry
	entry.ColdFor = old.ColdFor
	return entry == old.Entry && w.Gone == old.Gone && w.InGrace == old.InGrace && w.ColdUntil.Equal(old.ColdUntil) && w.StartedAt.Equal(old.StartedAt)
}

// withReports returns the directory with newer reports of endpoints for which nothing else has
// changed. The revision stays: whole lists for other boxes contain the newer reports, but
// endpoints are not grouped again.
func (d Directory) withReports(statuses map[string]*Status) Directory {
	for id, w := range statuses {
		d.statuses = d.all().Set(id, w)
	}
	return d
}
