// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"maps"
	"time"
)

// WithDoubt returns the directory of a box to which the platform has just come
// back: entries that are missing until then may only have lapsed while it was
// away, and their endpoints go on being used. Those that had said that they
// leave get nothing all the same.
func (d Directory) WithDoubt(until time.Time) Directory {
	d.doubt = until
	return d
}

// Settled returns the directory once the time of doubt is over: what is still
// missing is gone.
func (d Directory) Settled(now time.Time) Directory {
	if now.Before(d.doubt) {
		return d
	}
	next, changed := d, false
	for id, w := range d.words {
		if !w.Doubted {
			continue
		}
		if !changed {
			next.words = maps.Clone(d.words)
			next.revision++
			changed = true
		}
		w.Doubted, w.Gone, w.Since = false, true, now
		next.words[id] = w
	}
	return next
}
