// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package stages

import "time"

// keptSeconds is the number of seconds of work that are kept: one rush and the quiet period
// after it.
const keptSeconds = 20

// peakSeconds is the number of seconds over which the peak is averaged.
const peakSeconds = 3

// Work records the prompt work that is requested of a group, per second. The zero value has
// recorded none.
type Work struct {
	started bool
	first   int64
	newest  int64
	seconds [keptSeconds]float64
}

// Add records work, in seconds of one engine, at a time since the group's start.
func (w *Work) Add(at time.Duration, seconds float64) {
	now := int64(at / time.Second)
	if !w.started {
		w.started, w.first, w.newest = true, now, now
	}
	w.advanceTo(now)
	w.seconds[now%keptSeconds] += seconds
}

// advanceTo clears the slots of the seconds that have passed since the last call.
func (w *Work) advanceTo(now int64) {
	for w.newest < now {
		w.newest++
		w.seconds[w.newest%keptSeconds] = 0
		if now-w.newest > keptSeconds {
			w.newest = now - keptSeconds
		}
	}
}

// Load returns the load up to a time, without the current second.
func (w *Work) Load(at time.Duration) Load {
	now := int64(at / time.Second)
	if !w.started || now <= w.first {
		return Load{}
	}
	w.advanceTo(now)
	whole := min(now-w.first, keptSeconds-1)
	sum, peak, run := 0.0, 0.0, 0.0
	for i := int64(1); i <= whole; i++ {
		s := w.seconds[(now-i)%keptSeconds]
		sum += s
		run += s
		if i > peakSeconds {
			run -= w.seconds[(now-i+peakSeconds)%keptSeconds]
		}
		peak = max(peak, run/float64(min(i, peakSeconds)))
	}
	return Load{Seen: time.Duration(now-w.first) * time.Second, Mean: sum / float64(whole), Peak: peak}
}
