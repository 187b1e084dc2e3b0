// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"context"
	"strings"
	"sync"
	"time"
)

// Links is the network between engines: all transfers between a pair of zones share the rate of
// that pair. It is safe for concurrent use.
type Links struct {
	mutex   sync.Mutex
	rate    func(from, to string) int64
	freeAt  map[string]time.Time
	engines map[string]*Engine
	// transfersToStall is how many of the next transfers hang until they are canceled.
	transfersToStall int
}

// NewLinks returns a network. rate returns the rate between two zones in bytes per second; 0, or a
// nil rate, means no limit.
func NewLinks(rate func(from, to string) int64) *Links {
	return &Links{rate: rate, freeAt: make(map[string]time.Time), engines: make(map[string]*Engine)}
}

// StallNext makes the next n transfers hang until they are canceled.
func (l *Links) StallNext(n int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.transfersToStall = n
}

func (l *Links) register(address string, e *Engine) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.engines[address] = e
}

func (l *Links) engineAt(address string) *Engine {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.engines[address]
}

// transfer waits for as long as a transfer takes that is queued behind those already on the link.
func (l *Links) transfer(ctx context.Context, from, to string, bytes int64) error {
	l.mutex.Lock()
	if l.transfersToStall > 0 {
		l.transfersToStall--
		l.mutex.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	end := l.reserve(from, to, bytes)
	l.mutex.Unlock()
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reserve reserves the link for a transfer behind the others and returns when it ends. The mutex is held.
func (l *Links) reserve(from, to string, bytes int64) time.Time {
	now := time.Now()
	if l.rate == nil {
		return now
	}
	rate := l.rate(from, to)
	if rate <= 0 {
		return now
	}
	key := strings.Join([]string{min(from, to), max(from, to)}, "|")
	begin := l.freeAt[key]
	if begin.Before(now) {
		begin = now
	}
	end := begin.Add(time.Duration(float64(bytes) / float64(rate) * float64(time.Second)))
	l.freeAt[key] = end
	return end
}

// Ledger counts the work of all engines of a test for each request; it is kept when
// engines restart. It is safe for concurrent use.
type Ledger struct {
	mutex    sync.Mutex
	requests map[string]*Work
}

// Work is the work of all engines for one request.
type Work struct {
	// Computed is the number of prefill tokens computed, by attempt id.
	Computed map[string]int
	// Started and Decoded are the numbers of prefills and decodes begun, Finished the
	// number of answers generated to their last token.
	Started  int
	Decoded  int
	Finished int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{requests: make(map[string]*Work)}
}

// requestID returns the request id of an attempt: the attempt's id without its number.
func requestID(attempt string) string {
	if i := strings.LastIndexByte(attempt, '~'); i >= 0 {
		return attempt[:i]
	}
	return attempt
}

// entry returns the entry of an attempt's request and creates it if needed. The mutex is held.
func (l *Ledger) entry(attempt string) *Work {
	w := l.requests[requestID(attempt)]
	if w == nil {
		w = &Work{Computed: make(map[string]int)}
		l.requests[requestID(attempt)] = w
	}
	return w
}

func (l *Ledger) addComputed(attempt string, tokens int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.entry(attempt).Computed[attempt] += tokens
}

func (l *Ledger) addStarted(attempt string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.entry(attempt).Started++
}

func (l *Ledger) addFinished(attempt string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.entry(attempt).Finished++
}

func (l *Ledger) addDecoded(attempt string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.entry(attempt).Decoded++
}

// Requests returns a copy of the ledger, by request id.
func (l *Ledger) Requests() map[string]Work {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	out := make(map[string]Work, len(l.requests))
	for id, w := range l.requests {
		copied := *w
		copied.Computed = make(map[string]int, len(w.Computed))
		for a, n := range w.Computed {
			copied.Computed[a] = n
		}
		out[id] = copied
	}
	return out
}
