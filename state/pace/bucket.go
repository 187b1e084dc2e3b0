// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pace

import (
	"math"
	"time"
)

const (
	// burstTime is how much of a limit, as a time at its rate, a bucket holds at most. A bucket
	// always holds at least one request.
	burstTime = 250 * time.Millisecond
	// minPerSecond is the least rate that is granted, whatever limit an endpoint announces:
	// only an answer of the endpoint can say that its limit has ended.
	minPerSecond = 0.1
	// limitSettleTime is the time after which a box that has become the home of a group is the
	// only box that acts as its home, and all that its predecessor granted has been sent.
	limitSettleTime = viewSpread + MaxSendDelay
	// contestedShare is the part of a limit that a box grants while another box may act as the
	// home too: because it has just become the home, or because it is asked in place of a
	// silent home.
	contestedShare = 0.25
)

// Share returns the part of the announced limits that a box may grant, from 0 to 1. Boxes that
// are partitioned from each other have a home each, whose parts add up to the whole.
func Share(s Standing) float64 {
	// A box that knows of no other boxes can't compute its part.
	if s.All <= 0 {
		return 0
	}
	part := min(float64(s.Seen)/float64(s.All), 1)
	if !s.Home || s.For < limitSettleTime {
		part *= contestedShare
	}
	return part
}

// Rate returns how many requests per second a box with a share of the limit may grant.
func (l Limit) Rate(share float64) float64 { return max(l.PerSecond, minPerSecond) * share }

// Bucket is a token bucket, counted in requests, that holds what may be granted of a limit now.
// It starts empty. It is an immutable value; times are relative to the start of the group.
type Bucket struct {
	level float64
	at    time.Duration
}

// NewBucket returns an empty bucket from which ahead requests have been granted in advance.
func NewBucket(now time.Duration, ahead int) Bucket { return Bucket{level: -float64(ahead), at: now} }

// WithTime returns the bucket refilled up to now, at a rate in requests per second.
func (b Bucket) WithTime(now time.Duration, rate float64) Bucket {
	if now <= b.at {
		return b
	}
	capacity := max(rate*burstTime.Seconds(), 1)
	b.level = min(b.level+rate*(now-b.at).Seconds(), capacity)
	b.at = now
	return b
}

// WithTaken returns the bucket after a grant.
func (b Bucket) WithTaken() Bucket {
	b.level--
	return b
}

// Allows reports whether one more request may be granted.
func (b Bucket) Allows() bool { return b.level >= 1-rounding }

// FreeAt returns when a request may be granted that comes after so many others, at a rate. It
// returns math.MaxInt64 if that never happens.
func (b Bucket) FreeAt(others int, rate float64) time.Duration {
	missing := float64(others+1) - b.level
	switch {
	case missing <= rounding:
		return b.at
	case rate <= 0:
		return math.MaxInt64
	}
	wait := missing / rate * float64(time.Second)
	if wait >= float64(math.MaxInt64-b.at) {
		return math.MaxInt64
	}
	return b.at + time.Duration(wait)
}
