// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import "time"

// WithRestoredUntil returns the directory after the platform was restored from an older copy.
// Until the given time whole lists may contain entries older than those known here, as their
// endpoints have not written them again yet. Single changes are new writes and always apply.
func (d Directory) WithRestoredUntil(until time.Time) Directory {
	d.heldUntil = until
	return d
}

// WithPosition returns the directory moved to another position of the platform. A directory
// that has received no data yet stays as it is.
func (d Directory) WithPosition(at uint64) Directory {
	if d.Known() {
		d.at = at
	}
	return d
}

// reconcile compares a listed entry with what is known about its endpoint. It returns the entry to
// apply, or false if the listed one is to be ignored. An endpoint that is gone or has reported that
// it leaves stays so until it restarts.
func (d Directory) reconcile(now time.Time, e Entry) (Entry, bool) {
	if !now.Before(d.heldUntil) {
		return e, true
	}
	known, found := d.Status(e.ID)
	switch {
	case !found, e.Born > known.Born:
		return e, true
	case e.Born < known.Born, known.Gone:
		return e, false
	default:
		e.Draining = e.Draining || known.Draining
		return e, true
	}
}
