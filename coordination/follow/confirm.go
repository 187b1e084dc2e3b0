// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow

import (
	"math"
	"time"

	"runridge.example/runridge/state/table"
)

const (
	// NeverConfirmed is the age of a table that the platform has not confirmed.
	NeverConfirmed time.Duration = math.MaxInt64
	// currentFor is how old a confirmation may be for the table to count as the
	// newest. Boxes that read the platform confirm it every 1.5 s, and what they
	// know reaches each of 300 boxes with some nine of four messages a second:
	// 4 s in all. Beyond it a box may be cut off, and refuse a caller for good
	// whose key was just added.
	currentFor = 6 * time.Second
)

// confirm notes that the platform had no newer table than the one in force when a
// call to it began.
func (f *Follower) confirm(at time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

// Confirmed takes in how long ago, by another box's word, no newer table than one with a
// stamp existed. It holds for this box's table too if that is as new.
func (f *Follower) Confirmed(stamp table.Stamp, age time.Duration) {
	if age == NeverConfirmed {
		return
	}
	if !stamp.After(f.Table().Stamp()) {
		f.confirm(time.Now().Add(-age))
	}
}

// Age is how long ago the table in force was known to be the newest, as far as
// this box knows.
func (f *Follower) Age() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.confirmed.IsZero() {
		return NeverConfirmed
	}
	return time.Since(f.confirmed)
}

// Current says whether the table in force can be taken for the newest: no other
// box has named a newer one, and it was confirmed lately.
func (f *Follower) Current() bool {
	age := f.Age()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.others.After(f.table.Stamp()) && age <= currentFor
}
