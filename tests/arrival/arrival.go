// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package arrival records when requests reach the stand-in of an endpoint.
package arrival

import (
	"sync"
	"time"
)

// Log holds the times of all arrivals at one endpoint and the rests that it asked for. It is
// safe for concurrent use; its zero value is empty.
type Log struct {
	mutex sync.Mutex
	times []time.Time
	rests []rest
}

// rest is a period in which the endpoint asked for no requests.
type rest struct {
	from   time.Time
	length time.Duration
}

// Add records an arrival. Arrivals are added in the order of their times.
func (l *Log) Add(at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.times = append(l.times, at)
}

// Since returns the number of arrivals at or after from.
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

// AskRest records that the endpoint asked for a rest that begins at from.
func (l *Log) AskRest(from time.Time, length time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rests = append(l.rests, rest{from: from, length: length})
}

// Rests returns the number of rests that were asked for.
func (l *Log) Rests() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.rests)
}

// DuringRests returns the most arrivals in any one rest, not counting those within heard after
// it was asked for.
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

// Fullest returns the most arrivals in any window of the given length that begins at or after from.
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
