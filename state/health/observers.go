// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package health

import (
	"slices"
	"time"
)

const (
	// otherAnsweredTime is how recently a request of another box must have ended well for a lost
	// request to be put down to the path of its box.
	otherAnsweredTime = time.Second
	// maxLosing bounds the boxes whose latest request at an endpoint was lost.
	maxLosing = 16
)

// Observers tells an endpoint that is down from one that some boxes don't reach. It is an immutable
// value.
type Observers struct {
	// last is the latest box whose request ended well, and before the latest one other than last.
	last, before observation
	// losing are the boxes whose latest request was lost, in the order of their first losses.
	losing []string
}

// observation is what a box observed, and when.
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
	if slices.Contains(o.losing, box) {
		o.losing = slices.DeleteFunc(slices.Clone(o.losing), func(l string) bool { return l == box })
	}
	return o
}

// WithLost returns the observers after a request of a box was lost: the endpoint was not reached, or
// the exchange broke off. counts is false if that is put down to the path of the box: it was not its
// first loss since its last answer, and another box was answered a moment ago. A number of other
// boxes that did not reach the endpoint either makes it count.
func (o Observers) WithLost(now time.Time, box string, others int) (next Observers, counts bool) {
	if slices.Contains(o.losing, box) {
		return o, others > 0 || !o.AnsweredElsewhere(now, box)
	}
	losing := append(slices.Clone(o.losing), box)
	o.losing = losing[max(len(losing)-maxLosing, 0):]
	return o, true
}

// AnsweredElsewhere reports whether a request of another box has recently ended well.
func (o Observers) AnsweredElsewhere(now time.Time, box string) bool {
	ago, answered := o.OtherAnswered(now, box)
	return answered && ago < otherAnsweredTime
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
