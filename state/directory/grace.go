// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import "time"

// WithGrace returns the directory with a grace period after an outage of the
// platform: entries that are missing until its end may merely have expired during
// the outage, so their endpoints stay in use. Endpoints that had reported that
// they leave still get no work.
func (d Directory) WithGrace(until time.Time) Directory {
	d.graceUntil = until
	return d
}

// WithGraceEnded returns the directory after the grace period: endpoints whose entries
// are still missing are gone. It changes nothing before the period ends.
func (d Directory) WithGraceEnded(now time.Time) Directory {
	if now.Before(d.graceUntil) {
		return d
	}
	changed := make(map[string]*Status)
	d.each(func(w *Status) {
		if !w.InGrace {
			return
		}
		next := *w
		next.InGrace, next.Gone, next.Since = false, true, now
		changed[w.ID] = &next
	})
	if len(changed) == 0 {
		return d
	}
	return d.with(changed)
}
