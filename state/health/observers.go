// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package health

import "time"

// Observers records which boxes last had a request end well at one endpoint. It is an immutable
// value.
type Observers struct {
	// last is the latest such box, and before the latest one other than last.
	last, before observation
}

// observation is a request of a box that ended well.
type observation struct {
	box string
	at  time.Time
}

// WithSuccess returns the observers after a request of a box ended well.
func (o Observers) WithSuccess(now time.Time, box string) Observers {
	if box != o.last.box {
		o.before = o.last
	}
	o.last = observation{box: box, at: now}
	return o
}

// OtherAnswered returns how long ago a request of a box other than the given one last ended well;
// false if none did.
func (o Observers) OtherAnswered(now time.Time, box string) (time.Duration, bool) {
	latest := o.last
	if latest.box == box {
		latest = o.before
	}
	if latest.at.IsZero() {
		return 0, false
	}
	return now.Sub(latest.at), true
}
