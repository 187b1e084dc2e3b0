// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package estimate

import "time"

// longestWindow is how long the largest observation counts at least; it counts
// at most twice as long. Chosen, not measured: a box of a large fleet sees one
// request of a route in some five seconds.
const longestWindow = time.Minute

// Longest is the largest of the durations seen lately; a value. Its times are
// how long the box has run.
type Longest struct {
	since             time.Duration
	current, previous time.Duration
}

// With returns the estimate after one more observation.
func (l Longest) With(uptime, seen time.Duration) Longest {
	switch age := uptime - l.since; {
	case age >= 2*longestWindow:
		l = Longest{since: uptime}
	case age >= longestWindow:
		l = Longest{since: uptime, previous: l.current}
	}
	l.current = max(l.current, seen)
	return l
}

// Value is the largest observation; 0 if there was none.
func (l Longest) Value() time.Duration { return max(l.current, l.previous) }
