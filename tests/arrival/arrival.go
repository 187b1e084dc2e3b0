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
	rests []rest
}

// rest is a time in which nothing was to come.
type rest struct {
	from   time.Time
	length time.Duration
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

// AskRest notes that the endpoint asks for a rest from a moment on.
func (l *Log) AskRest(from time.Time, length time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rests = append(l.rests, rest{from: from, length: length})
}

// Rests is the number of rests that were asked for.
func (l *Log) Rests() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.rests)
}

// DuringRests is the most arrivals in any rest, from a time after it was asked for on.
func (l *Log) DuringRests(heard time.Duration) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	most := 0
	for _, r := range l.rests {
		n := 0
		for _, at := range l.times {
			if since := at.Sub(r.from); since >= heard && since < r.length {
				n++
			}
		}
		most = max(most, n)
	}
	return most
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
