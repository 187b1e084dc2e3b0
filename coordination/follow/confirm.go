// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow

import (
	"math"
	"time"

	"runridge.example/runridge/state/table"
)

const (
	// NeverConfirmed is the age of a table that the platform has never confirmed as the
	// newest.
	NeverConfirmed time.Duration = math.MaxInt64
	// maxConfirmationAge is the age up to which a confirmation lets the table count as the
	// newest. Boxes that read the platform confirm the table every 1.5 s, and that knowledge
	// reaches each of 300 boxes with about nine messages at four a second: 4 s in all.
	// Beyond that age a box may be cut off, and it must not permanently refuse a caller
	// whose key was just added.
	maxConfirmationAge = 6 * time.Second
)

// noteConfirmed records that the platform had no newer table than the one in force when a
// call to it began at the time at.
func (f *Follower) noteConfirmed(at time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

// Confirmed records another box's report that the platform had no newer table than the one
// with this stamp the given time ago. The report applies to this box's table too if that
// is at least as new.
func (f *Follower) Confirmed(stamp table.Stamp, age time.Duration) {
	if age == NeverConfirmed {
		return
	}
	if !stamp.NewerThan(f.Table().Stamp()) {
		f.noteConfirmed(time.Now().Add(-age))
	}
}

// Age returns how long ago the table in force was last confirmed as the newest, as far as
// this box knows, or NeverConfirmed.
func (f *Follower) Age() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.confirmed.IsZero() {
		return NeverConfirmed
	}
	return time.Since(f.confirmed)
}

// NewestNamed returns the stamp of the newest table that another box has named.
func (f *Follower) NewestNamed() table.Stamp {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.newestNamed
}

// Current reports whether the table in force can be taken for the newest: no other box has
// named a newer one, and the last confirmation is recent.
func (f *Follower) Current() bool {
	age := f.Age()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.newestNamed.NewerThan(f.table.Stamp()) && age <= maxConfirmationAge
}
