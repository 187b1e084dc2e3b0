// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import "time"

// WithHeld returns the directory of a box whose platform has come back from an older copy:
// for a time whole lists have entries as they were before what is known here, until their
// endpoints have written them again. Single changes are such writes, and hold.
func (d Directory) WithHeld(until time.Time) Directory {
	d.heldUntil = until
	return d
}

// WithPosition returns the directory as of another position, if it is known.
func (d Directory) WithPosition(at uint64) Directory {
	if d.Known() {
		d.at = at
	}
	return d
}

// against is a listed entry in the light of what is known of its endpoint; false is that it
// tells nothing. An endpoint that has left, or said that it leaves, does so for the rest of
// its start.
func (d Directory) against(now time.Time, e Entry) (Entry, bool) {
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
