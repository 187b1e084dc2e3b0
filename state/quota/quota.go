// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package quota decides what client accounts may use over all boxes. One box,
// the account's home, counts for all in a token bucket and lends tokens to the
// boxes that ask. It holds in any sliding window, through the death of homes and
// boxes: lent tokens count as used when they are lent, they end, and a new home
// starts as if all had been spent, but for a part of the slack. It does no I/O, and times are the box's uptime.
package quota

import (
	"time"

	"runridge.example/runridge/state/table"
)

// Bound is how far the uses of an account may exceed its quota in a window, as
// the operators' rules say.
type Bound struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Overage is the part of the quota, and Slack the units beyond it, by which
	// the uses in one window may exceed it.
	Overage float64
	Slack   float64
}

// maxLoan keeps a loan shorter than the time in which a silent home is replaced.
const maxLoan = time.Second

// LoanLife is how long a box may use what it was lent. Tokens that were lent just
// before a window and are used in it exceed the quota by the rate for that long:
// no more than Overage allows. Without an overage nothing is lent ahead of need.
func (b Bound) LoanLife() time.Duration {
	return min(time.Duration(b.Overage*float64(b.Window)), maxLoan)
}

// slackShare is the part of the slack that homes use which see only some of the
// boxes; the rest is for requests that wait between their charge and their send.
const slackShare = 0.5

// Terms are what a home may give out of one account's quota.
type Terms struct {
	// Rate is in units a second, Burst the most that gathers, in units.
	Rate, Burst float64
	// Start is what a new home has, in units.
	Start float64
	// Lends says that tokens may be lent ahead of need.
	Lends bool
}

// Terms are those of a home that sees some of all boxes. Boxes that are cut off
// from each other have a home each; their parts add up to the whole, and to
// the part of the slack that is theirs.
func (b Bound) Terms(q table.Quota, seen, all int) Terms {
	start := min(startShare*b.Slack, q.Burst)
	if seen >= all {
		return Terms{Rate: q.Rate, Burst: q.Burst, Start: start, Lends: b.Overage > 0}
	}
	part := float64(seen) / float64(max(all, 1))
	slack := 0.0
	if b.Window > 0 {
		slack = slackShare * b.Slack / b.Window.Seconds()
	}
	return Terms{Rate: min(q.Rate, (q.Rate+slack)*part), Burst: q.Burst * part, Start: start * part}
}

// startShare is the part of the slack that a new home starts with, though all that
// the quota allows may have been spent before: four homes may follow each other in
// one window. With nothing to start with, 0.37 of the requests in the half second
// after all boxes of a fleet of 100 had been killed were refused as over quota.
const startShare = 0.125

// actingShare is what a box gives out that stands in for a home which it cannot
// reach: the home may only be slow, and go on for others. Half of the quota
// beside the whole stays within overage and slack for seconds: on 29,000 units a
// second with a slack of 120,000 for as long as it lasts, on 221,000 for 2.9 s.
const actingShare = 0.5

// Acting are the terms of a box that stands in for a silent home.
func (t Terms) Acting() Terms {
	return Terms{Rate: t.Rate * actingShare, Burst: t.Burst * actingShare, Start: t.Start * actingShare}
}

// Bucket is the token bucket of one account at its home. It is an immutable
// value. A new one has what the terms give it to start with, out of the slack: it is
// assumed that whatever the quota allowed before has been spent.
type Bucket struct {
	// level is in units, as of at. It is below 0 when requests that wait were
	// admitted.
	level float64
	at    time.Duration
	known bool
	// booked is what refused callers were told to come back for, in units.
	booked float64
}

// WithTime refills the bucket up to a time of the home's uptime. Lower terms hold
// at once.
func (b Bucket) WithTime(now time.Duration, t Terms) Bucket {
	if !b.known {
		return Bucket{level: min(t.Start, t.Burst), at: now, known: true}
	}
	grown := t.Rate * max(now-b.at, 0).Seconds()
	b.level = min(b.level+grown, t.Burst)
	b.booked = max(b.booked-grown, 0)
	b.at = max(b.at, now)
	return b
}

// Level is what is left, in units.
func (b Bucket) Level() float64 { return b.level }

// Need is what a box asks for.
type Need struct {
	// Cost is what the request at hand uses, and More what the box wants ahead
	// of need, in units.
	Cost, More float64
	// Wait is how long the request may wait for it, and Patience the longest
	// that its caller accepts to be told to wait.
	Wait, Patience time.Duration
}

// Decision is a home's word on a need.
type Decision struct {
	Admitted bool
	// More was lent ahead of need, in units.
	More float64
	// Wait is how long an admitted request has to wait.
	Wait time.Duration
	// RetryAfter is when a refused caller finds room, if those that were refused
	// before it come back as they were told.
	RetryAfter time.Duration
}

// lendFloor is the part of the burst that is kept back from lending ahead of
// need: near its limit an account has only what it asks for, so that no token
// ends unused in a box.
const lendFloor = 0.5

// WithNeed takes what a need may have; the bucket is as of now.
func (b Bucket) WithNeed(n Need, t Terms) (Bucket, Decision) {
	// A request larger than the burst has to find the bucket full.
	missing := min(n.Cost, t.Burst) - b.level
	wait := durationOf(missing, t.Rate)
	if missing > 0 && wait > n.Wait {
		after := wait + durationOf(b.booked, t.Rate)
		if after <= n.Patience {
			b.booked += n.Cost
		}
		return b, Decision{RetryAfter: min(after, n.Patience)}
	}
	b.level -= n.Cost
	more := 0.0
	if t.Lends {
		more = max(min(n.More, b.level-lendFloor*t.Burst), 0)
	}
	b.level -= more
	return b, Decision{Admitted: true, More: more, Wait: max(wait, 0)}
}

// forever is longer than any patience.
const forever = time.Hour

// durationOf is the time in which units gather at a rate.
func durationOf(units, rate float64) time.Duration {
	if units <= 0 {
		return 0
	}
	if rate <= 0 {
		return forever
	}
	return min(time.Duration(units/rate*float64(time.Second)), forever)
}
