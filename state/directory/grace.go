// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import "time"

// WithGrace returns the directory of a box to which the platform has just come
// back: entries that are missing until then may only have lapsed while it was
// away, and their endpoints go on being used. Those that had said that they
// leave get nothing all the same.
func (d Directory) WithGrace(until time.Time) Directory {
	d.graceUntil = until
	return d
}

// WithoutGrace returns the directory once the grace period is over: what is still
// missing is gone.
func (d Directory) WithoutGrace(now time.Time) Directory {
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
