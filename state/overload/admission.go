// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package overload

import "time"

const (
	// Interval is the time between two looks at the delay, a few round trips.
	Interval = 50 * time.Millisecond
	// minRate is the rate at which requests are always accepted, per second, so that a box which is ready
	// never turns all callers away.
	minRate = 5.0
	// openShare is the part of the bound on the delay up to which the whole rate is accepted.
	openShare = 0.5
	// headroom is by how much the rate exceeds the mean rate of accepted requests at most, and growth by
	// what part it grows in a second, while the delay is low. Requests of a while ago may still load
	// the box, as streams do, so the rate must not jump.
	headroom, growth = 1.3, 0.5
	// meanTime is over how long the rates are averaged.
	meanTime = time.Second
	// keptTime is for how long unused rate is kept, and reopenTime the time whose requests are
	// accepted together.
	keptTime, reopenTime = 200 * time.Millisecond, 25 * time.Millisecond
	// minClosed and maxClosed bound for how long nothing is accepted before another look: the rate may
	// change meanwhile.
	minClosed, maxClosed = 5 * time.Millisecond, 25 * time.Millisecond
	// quietTime is after how long in which nothing was refused the limit ends.
	quietTime = time.Second
)

// Admission limits the rate of requests so that the delay stays below a bound: it accepts somewhat more
// than of late while the delay is low, and the less the nearer the delay comes to the bound. A new
// connection counts as its first request. It is an immutable value.
type Admission struct {
	bound time.Duration
	// limited reports whether there is a limit. most is the limit at a low delay, and rate the limit in
	// force, both in requests per second.
	limited    bool
	most, rate float64
	// tokens is how many requests may be accepted now, counted up to at.
	tokens float64
	at     time.Time
	// accepted is the mean rate of requests per second, and newAccepted their number since countedSince.
	accepted     float64
	newAccepted  int
	countedSince time.Time
	// closed reports whether nothing is accepted until there are tokens for reopenTime, and closedAt
	// is when that was last so.
	closed   bool
	closedAt time.Time
}

// NewAdmission returns an admission that keeps the delay below a bound, without a limit.
func NewAdmission(bound time.Duration) Admission { return Admission{bound: bound} }

// Limit returns the limit in requests per second, and whether there is one.
func (a Admission) Limit() (float64, bool) { return a.rate, a.limited }

// Accepted returns the mean rate of accepted requests per second.
func (a Admission) Accepted() float64 { return a.accepted }

// WithRequest returns the admission after a request was accepted.
func (a Admission) WithRequest() Admission {
	a.newAccepted++
	a.tokens--
	return a
}

// ClosedFor returns the admission at a time, and for how long nothing is accepted from then on; 0 if
// a request is. It has to be asked again after that.
func (a Admission) ClosedFor(now time.Time) (Admission, time.Duration) {
	if !a.limited {
		return a, 0
	}
	a = a.refilled(now)
	together := max(a.rate*reopenTime.Seconds(), 1)
	switch {
	case a.tokens < 1:
		a.closed = true
	case a.tokens >= together:
		a.closed = false
	}
	if !a.closed {
		return a, 0
	}
	a.closedAt = now
	missing := time.Duration((together - a.tokens) / a.rate * float64(time.Second))
	return a, min(max(missing, minClosed), maxClosed)
}

// refilled adds the tokens of the time since the last call. Requests on kept connections are not refused
// and may use more tokens than there are; the debt is bounded so that new connections are accepted soon.
func (a Admission) refilled(now time.Time) Admission {
	kept := max(a.rate*keptTime.Seconds(), 2)
	a.tokens = min(max(a.tokens, -kept)+a.rate*now.Sub(a.at).Seconds(), kept)
	a.at = now
	return a
}

// WithDelay returns the admission after an interval, given the delay at its end.
func (a Admission) WithDelay(now time.Time, delay time.Duration) Admission {
	a = a.withInterval(now)
	switch {
	case !a.limited && delay <= a.bound:
		return a
	case !a.limited:
		a.limited, a.tokens, a.at, a.closedAt = true, 0, now, now
		a.most = max(headroom*a.accepted, minRate)
	case delay < a.bound && now.Sub(a.closedAt) >= quietTime:
		a.limited, a.closed, a.rate = false, false, 0
		return a
	}
	a = a.refilled(now)
	open := a.openness(delay)
	if open == 1 {
		a.most *= 1 + growth*Interval.Seconds()
	} else {
		a.most = min(a.most, max(headroom*a.accepted, minRate))
	}
	a.rate = max(a.most*open, minRate)
	return a
}

// openness returns the part of the rate that is accepted at a delay.
func (a Admission) openness(delay time.Duration) float64 {
	open := openShare * float64(a.bound)
	return min(max(1-(float64(delay)-open)/(float64(a.bound)-open), 0), 1)
}

// withInterval ends the interval in which requests are counted.
func (a Admission) withInterval(now time.Time) Admission {
	if took := now.Sub(a.countedSince); !a.countedSince.IsZero() && took > 0 {
		share := min(took.Seconds()/meanTime.Seconds(), 1)
		a.accepted += share * (float64(a.newAccepted)/took.Seconds() - a.accepted)
	}
	a.countedSince, a.newAccepted = now, 0
	return a
}
