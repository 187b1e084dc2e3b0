// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package held

import "time"

// leastAge is how long a hold is left alone: before that its pace says little.
const leastAge = time.Second

// pace is how fast the bytes of a hold come or go.
type pace struct {
	begun time.Time
	// moved is the bytes that came or went.
	moved int64
}

// rate is the mean pace so far, in bytes a second.
func (p pace) rate(now time.Time) float64 {
	return float64(p.moved) / max(now.Sub(p.begun), time.Nanosecond).Seconds()
}

// yieldsTo says whether a hold of this pace gives way to one of another pace; nil is one
// that moves as fast as this box.
func (p pace) yieldsTo(now time.Time, other *pace) bool {
	if now.Sub(p.begun) < leastAge {
		return false
	}
	if other == nil || now.Sub(other.begun) < leastAge {
		return true
	}
	return p.rate(now) < other.rate(now)
}
