// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package quota decides what client accounts may use across all boxes. One box, the home of the
// account, counts for all in a token bucket and lends tokens to boxes that ask. The bound holds
// in any sliding window, even when homes and boxes crash: lent tokens count as used when they
// are lent, loans expire, and a new home starts as if all but a part of the slack had been
// spent. The package does no I/O; times are the box's uptime.
package quota

import (
	"time"

	"runridge.example/runridge/state/table"
)

// Bound is how far the use of an account may exceed its quota in a window, as the operators'
// rules say.
type Bound struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Overage is the part of the quota, and Slack the additional units, by which the use in one
	// window may exceed the quota.
	Overage float64
	Slack   float64
}

// maxLoan is the maximum life of a loan. It is shorter than the time in which a silent home is
// replaced.
const maxLoan = time.Second

// LoanLife returns how long a box may use a loan. Tokens that were lent just before a window
// and are used in it exceed the quota by the rate times this life, which must be no more than
// Overage allows. Without an overage nothing is lent ahead of need.
func (b Bound) LoanLife() time.Duration {
	return min(time.Duration(b.Overage*float64(b.Window)), maxLoan)
}

// slackShare is the part of the slack that is used by homes which see only some of the boxes.
// The rest covers requests that wait between being charged and being sent.
const slackShare = 0.5

// Terms are what a home may grant of one account's quota.
type Terms struct {
	// Rate is in units per second; Burst is the capacity of the bucket in units.
	Rate, Burst float64
	// Start is the level of the bucket of a new home, in units.
	Start float64
	// CanLend reports whether tokens may be lent ahead of need.
	CanLend bool
}

// Terms returns the terms of a home that sees some of all boxes. Boxes that are partitioned
// from each other have a home each; their parts add up to the whole quota plus their part of
// the slack.
func (b Bound) Terms(q table.Quota, seen, all int) Terms {
	start := min(startShare*b.Slack, q.Burst)
	if seen >= all {
		return Terms{Rate: q.Rate, Burst: q.Burst, Start: start, CanLend: b.Overage > 0}
	}
	part := float64(seen) / float64(max(all, 1))
	slack := 0.0
	if b.Window > 0 {
		slack = slackShare * b.Slack / b.Window.Seconds()
	}
	return Terms{Rate: min(q.Rate, (q.Rate+slack)*part), Burst: q.Burst * part, Start: start * part}
}

// startShare is the part of the slack that a new home starts with, although everything that the
// quota allows may have been spent already: up to four homes may follow each other in one
// window. Without it, 0.37 of the requests were refused as over quota in the half second after
// all boxes of a fleet of 100 had been killed.
const startShare = 0.125

// actingShare is the part of the terms that a box grants in place of an unreachable home, which
// may only be slow and still grant to others. Half of the quota on top of the whole stays
// within overage and slack for seconds: with a slack of 120,000 units, indefinitely at 29,000
// units per second and for 2.9 s at 221,000.
const actingShare = 0.5

// Acting returns the terms of a box that acts in place of a silent home.
func (t Terms) Acting() Terms {
	return Terms{Rate: t.Rate * actingShare, Burst: t.Burst * actingShare, Start: t.Start * actingShare}
}

// Bucket is the token bucket of one account at its home. It is an immutable value. A new one
// starts at the level that the terms give it out of the slack: everything else that the quota
// allowed before is assumed to be spent.
type Bucket struct {
	// level is in units, as of at. It is below 0 if requests were admitted that have to wait.
	level float64
	at    time.Duration
	known bool
	// reserved is the units that refused callers were told to come back for.
	reserved float64
}

// WithTime returns the bucket refilled up to a time of the home's uptime. Lower terms apply
// immediately.
func (b Bucket) WithTime(now time.Duration, t Terms) Bucket {
	if !b.known {
		return Bucket{level: min(t.Start, t.Burst), at: now, known: true}
	}
	refill := t.Rate * max(now-b.at, 0).Seconds()
	b.level = min(b.level+refill, t.Burst)
	b.reserved = max(b.reserved-refill, 0)
	b.at = max(b.at, now)
	return b
}

// Level returns the remaining units.
func (b Bucket) Level() float64 { return b.level }

// Need is what a box asks a home for.
type Need struct {
	// Cost is what the current request uses, and More what the box asks for ahead of need, in
	// units.
	Cost, More float64
	// Wait is how long the request may wait for the tokens, and Patience the longest time that
	// its caller accepts to be told to wait before a retry.
	Wait, Patience time.Duration
}

// Decision is the answer of a home to a Need.
type Decision struct {
	Admitted bool
	// More is what was lent ahead of need, in units.
	More float64
	// Wait is how long an admitted request has to wait.
	Wait time.Duration
	// RetryAfter is the time after which there are tokens for a refused caller, provided that
	// those refused before it come back when they were told to.
	RetryAfter time.Duration
}

// lendFloor is the part of the burst that is not lent ahead of need: an account near its limit
// only gets what it asks for, so that no lent token expires unused.
const lendFloor = 0.5

// WithNeed decides on a need and returns the bucket without the tokens that were granted. The
// bucket must be refilled up to now.
func (b Bucket) WithNeed(n Need, t Terms) (Bucket, Decision) {
	// A request larger than the burst must find the bucket full.
	missing := min(n.Cost, t.Burst) - b.level
	wait := durationOf(missing, t.Rate)
	if missing > 0 && wait > n.Wait {
		after := wait + durationOf(b.reserved, t.Rate)
		if after <= n.Patience {
			b.reserved += n.Cost
		}
		return b, Decision{RetryAfter: min(after, n.Patience)}
	}
	b.level -= n.Cost
	more := 0.0
	if t.CanLend {
		more = max(min(n.More, b.level-lendFloor*t.Burst), 0)
	}
	b.level -= more
	return b, Decision{Admitted: true, More: more, Wait: max(wait, 0)}
}

// forever is longer than any caller waits.
const forever = time.Hour

// durationOf returns the time in which units accumulate at a rate.
func durationOf(units, rate float64) time.Duration {
	if units <= 0 {
		return 0
	}
	if rate <= 0 {
		return forever
	}
	return min(time.Duration(units/rate*float64(time.Second)), forever)
}
