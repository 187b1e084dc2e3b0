// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pace

import (
	"math"
	"time"
)

const (
	// burstTime is the time whose requests a bucket holds at the most; one request at the
	// least.
	burstTime = 250 * time.Millisecond
	// leastPerSecond is granted whatever an endpoint names: only an answer tells that its
	// limit has ended.
	leastPerSecond = 0.1
	// limitSettleTime is after how long a box that has become a group's home is the only
	// one that takes itself for it, and what another has granted has been sent.
	limitSettleTime = viewSpread + Lag
	// besideShare is the part of a limit that a box grants while another may be the home:
	// one that has just become it, or is asked in place of one that is silent.
	besideShare = 0.25
)

// Share is the part of the limits that endpoints name which a box may grant, 0 to 1.
// Boxes that are cut off from each other have a home each, whose parts add up to the whole.
func Share(s Standing) float64 {
	// A box that knows nothing of the others cannot tell its part.
	if s.All <= 0 {
		return 0
	}
	part := min(float64(s.Seen)/float64(s.All), 1)
	if !s.Home || s.For < limitSettleTime {
		part *= besideShare
	}
	return part
}

// Rate is how many requests a second a box with a share of the limit may grant.
func (l Limit) Rate(share float64) float64 { return max(l.PerSecond, leastPerSecond) * share }

// Bucket is what may be granted of a limit now, in requests: a token bucket that begins
// empty. It is an immutable value; times are the group's.
type Bucket struct {
	level float64
	at    time.Duration
}

// NewBucket is an empty bucket with so many requests granted ahead.
func NewBucket(now time.Duration, ahead int) Bucket { return Bucket{level: -float64(ahead), at: now} }

// WithTime returns the bucket at a time, filled at a rate in requests a second.
func (b Bucket) WithTime(now time.Duration, rate float64) Bucket {
	if now <= b.at {
		return b
	}
	most := max(rate*burstTime.Seconds(), 1)
	b.level = min(b.level+rate*(now-b.at).Seconds(), most)
	b.at = now
	return b
}

// WithTaken returns the bucket after a grant.
func (b Bucket) WithTaken() Bucket {
	b.level--
	return b
}

// Allows says whether one more request may be granted.
func (b Bucket) Allows() bool { return b.level >= 1-rounding }

// Free is when the request after so many others may be granted at a rate.
func (b Bucket) Free(others int, rate float64) time.Duration {
	short := float64(others+1) - b.level
	switch {
	case short <= rounding:
		return b.at
	case rate <= 0:
		return math.MaxInt64
	}
	wait := short / rate * float64(time.Second)
	if wait >= float64(math.MaxInt64-b.at) {
		return math.MaxInt64
	}
	return b.at + time.Duration(wait)
}
