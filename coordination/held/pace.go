// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package held

import "time"

// minAge is the age below which a hold is not evicted: its mean pace says little before.
const minAge = time.Second

// pace is the speed at which the bytes of a hold are transferred.
type pace struct {
	begun time.Time
	// moved is the number of bytes transferred.
	moved int64
}

// rate returns the mean pace so far, in bytes per second.
func (p pace) rate(now time.Time) float64 {
	return float64(p.moved) / max(now.Sub(p.begun), time.Nanosecond).Seconds()
}

// yieldsTo reports whether a hold of this pace is evicted for one of another pace. A nil
// pace stands for a hold that cannot be evicted and moves as fast as this box.
func (p pace) yieldsTo(now time.Time, other *pace) bool {
	if now.Sub(p.begun) < minAge {
		return false
	}
	if other == nil || now.Sub(other.begun) < minAge {
		return true
	}
	return p.rate(now) < other.rate(now)
}
