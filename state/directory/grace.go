// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import "time"

// WithGrace returns the directory with a grace period after an outage of the
// platform: entries that are missing until its end may merely have expired during
// the outage, so their endpoints stay in use. Endpoints that had reported that
// they leave still get no work. An endpoint that is in grace already gets no second period.
func (d Directory) WithGrace(until time.Time) Directory {
	d.graceUntil = until
	return d
}

// graceEnds returns the end of the grace period of an endpoint whose entry is missing.
func (d Directory) graceEnds(w Status) time.Time {
	if w.InGrace {
		return w.GraceEnds
	}
	return d.graceUntil
}

// WithGraceEnded returns the directory without the grace periods that are over: endpoints whose
// entries are still missing are gone.
func (d Directory) WithGraceEnded(now time.Time) Directory {
	changed := make(map[string]*Status)
	d.each(func(w *Status) {
		if !w.InGrace || now.Before(w.GraceEnds) {
			return
		}
		next := *w
		next.InGrace, next.GraceEnds, next.Gone, next.Since = false, time.Time{}, true, now
		changed[w.ID] = &next
	})
	if len(changed) == 0 {
		return d
	}
	return d.with(changed)
}
