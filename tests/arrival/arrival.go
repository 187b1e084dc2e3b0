// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package arrival records when requests reach a stand-in for an endpoint.
package arrival

import (
	"sync"
	"time"
)

// Log is the arrivals at one endpoint. It is safe for use by several goroutines.
type Log struct {
	mutex sync.Mutex
	times []time.Time
}

// Add notes an arrival.
func (l *Log) Add(at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.times = append(l.times, at)
}

// Since is the number of arrivals from a moment on.
func (l *Log) Since(from time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	n := 0
	for _, at := range l.times {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

// Fullest is the most arrivals in any window of a length, from a moment on.
func (l *Log) Fullest(length time.Duration, from time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	most, first := 0, 0
	for last, at := range l.times {
		for l.times[first].Before(from) || at.Sub(l.times[first]) >= length {
			if first == last {
				break
			}
			first++
		}
		if !at.Before(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}
