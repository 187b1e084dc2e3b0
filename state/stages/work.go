// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package stages

import "time"

// remembered is how many seconds of work are kept: one rush and the quiet after it.
const remembered = 20

// peakSeconds is over how many seconds the busiest work is taken.
const peakSeconds = 3

// Work keeps the prompt work that a group is asked for, second by second. The zero
// value has seen none.
type Work struct {
	begun   bool
	first   int64
	newest  int64
	seconds [remembered]float64
}

// Add takes in work at a time since the group's start, in seconds of one engine.
func (w *Work) Add(at time.Duration, seconds float64) {
	now := int64(at / time.Second)
	if !w.begun {
		w.begun, w.first, w.newest = true, now, now
	}
	w.moveTo(now)
	w.seconds[now%remembered] += seconds
}

// moveTo clears the seconds that have come since.
func (w *Work) moveTo(now int64) {
	for w.newest < now {
		w.newest++
		w.seconds[w.newest%remembered] = 0
		if now-w.newest > remembered {
			w.newest = now - remembered
		}
	}
}

// Load is what was asked for up to a time, the present second left out.
func (w *Work) Load(at time.Duration) Load {
	now := int64(at / time.Second)
	if !w.begun || now <= w.first {
		return Load{}
	}
	w.moveTo(now)
	whole := min(now-w.first, remembered-1)
	sum, peak, run := 0.0, 0.0, 0.0
	for i := int64(1); i <= whole; i++ {
		s := w.seconds[(now-i)%remembered]
		sum += s
		run += s
		if i > peakSeconds {
			run -= w.seconds[(now-i+peakSeconds)%remembered]
		}
		peak = max(peak, run/float64(min(i, peakSeconds)))
	}
	return Load{Seen: time.Duration(now-w.first) * time.Second, Mean: sum / float64(whole), Peak: peak}
}
