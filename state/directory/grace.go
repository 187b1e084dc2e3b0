// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"maps"
	"time"
)

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
	next, changed := d, false
	for id, w := range d.statuses {
		if !w.InGrace {
			continue
		}
		if !changed {
			next.statuses = maps.Clone(d.statuses)
			next.revision++
			changed = true
		}
		w.InGrace, w.Gone, w.Since = false, true, now
		next.statuses[id] = w
	}
	return next
}
