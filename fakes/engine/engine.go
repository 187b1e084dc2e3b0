// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package engine is a small stand-in for a model engine: it simulates the
// timing, the memory use and the failures of a real one. Its counts are the
// oracle of tests and measurements.
package engine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"runridge.example/runridge/protocol/engineapi"
	"runridge.example/runridge/tests/arrival"
)

// Config describes an engine's speed and capacity.
type Config struct {
	Name string
	Zone string
	// Software is the version of the engine's software, which is part of each token; an empty one is
	// not announced.
	Software string
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// A decode step takes StepBase plus StepPer for each running answer.
	StepBase, StepPer time.Duration
	Slots             int
	KVTokens          int
	KVBytesPerToken   int
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
	// ResultTTL is how long a prefill result is kept; 0 selects 4 s.
	ResultTTL time.Duration
	// BytesPerToken converts the bytes of a prompt to tokens; 0 selects 4.
	BytesPerToken float64
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// GapEvery makes every n-th page of cache events a gap; 0 none.
	GapEvery int
	// CrashPrompt, if not empty, crashes the engine when it is to prefill a prompt that contains it.
	CrashPrompt string
	Links       *Links
	Ledger      *Ledger
}

const (
	// prefillChunk is how many tokens are prefilled before the queue is checked again.
	prefillChunk = 2000
	// localPrefillChunk is how many tokens a decode engine prefills in each decode step.
	localPrefillChunk = 512
	// maxQueuedPrefills is the maximum number of prefills queued in the engine.
	maxQueuedPrefills = 512
	// tombstoneTime is how long orders for a released attempt are rejected.
	tombstoneTime = 30 * time.Second
	// tokenQueue is the maximum number of tokens queued for the reader of one answer.
	tokenQueue = 256
)

// hold is the memory, in tokens, and the slot that the engine keeps for an attempt.
type hold struct {
	attempt string
	tokens  int
	since   time.Time
	// result is set for a finished prefill until its decode begins on this engine; it expires.
	result  bool
	expires time.Time
	prompt  string
	output  int
	slot    bool
}

// Engine is the stand-in of one model engine. Its methods may be called while it serves.
type Engine struct {
	cfg Config

	mutex         sync.Mutex
	holds         map[string]*hold
	kvUsed        int
	slotsUsed     int
	released      map[string]time.Time
	prefills      []*prefillJob
	running       []*decodeJob
	localPrefills []*prefillJob
	freed         chan struct{}
	wakePrefill   chan struct{}
	wakeStep      chan struct{}
	cache         *cache
	loadReports   []loadReport
	fence         uint64
	orders        int
	frozen        chan struct{}
	lastAccepted  time.Time
	eventPages    int
	crashes       int

	limit   atomic.Pointer[float64]
	leaving atomic.Bool
	// cutAfter is after how many tokens answers are cut off; 0 means never.
	cutAfter atomic.Int64
	// rest is the rest that the engine asks for while it rejects requests, in nanoseconds; 0 is none.
	rest     atomic.Int64
	arrivals arrival.Log

	http   *http.Server
	addr   string
	cancel context.CancelFunc
}

type loadReport struct {
	at   time.Time
	load engineapi.Load
}

// New returns an engine that serves once it is started.
func New(cfg Config) *Engine {
	if cfg.BytesPerToken <= 0 {
		cfg.BytesPerToken = 4
	}
	if cfg.ResultTTL <= 0 {
		cfg.ResultTTL = 4 * time.Second
	}
	if cfg.Ledger == nil {
		cfg.Ledger = NewLedger()
	}
	if cfg.Links == nil {
		cfg.Links = NewLinks(nil)
	}
	e := &Engine{cfg: cfg}
	e.reset()
	return e
}

// reset discards the engine's state as a restart does.
func (e *Engine) reset() {
	e.holds = make(map[string]*hold)
	e.released = make(map[string]time.Time)
	e.prefills, e.running, e.localPrefills = nil, nil, nil
	e.kvUsed, e.slotsUsed = 0, 0
	e.freed = make(chan struct{})
	e.wakePrefill = make(chan struct{}, 1)
	e.wakeStep = make(chan struct{}, 1)
	e.cache = newCache(e.cfg.CacheTokens)
	e.loadReports = nil
}

// Start listens on a loopback address, the same as before if it was started
// already, and serves until the context ends or Kill is called.
func (e *Engine) Start(ctx context.Context) error {
	address := e.addr
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("engine %s: %w", e.cfg.Name, err)
	}
	e.addr = l.Addr().String()
	ctx, cancel := context.WithCancel(ctx)
	e.mutex.Lock()
	e.reset()
	e.cancel = cancel
	e.http = &http.Server{Handler: e.routes(), ReadHeaderTimeout: time.Second}
	server, wake, wakeStep := e.http, e.wakePrefill, e.wakeStep
	e.mutex.Unlock()
	e.cfg.Links.register(e.addr, e)
	go func() { _ = server.Serve(l) }()
	go e.prefillLoop(ctx, wake)
	go e.stepLoop(ctx, wakeStep)
	go e.expireLoop(ctx)
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return nil
}

// Kill crashes the engine: all connections break and all its memory is lost.
func (e *Engine) Kill() {
	e.mutex.Lock()
	cancel, server := e.cancel, e.http
	e.mutex.Unlock()
	cancel()
	_ = server.Close()
	e.mutex.Lock()
	e.reset()
	e.mutex.Unlock()
}

// crashOn crashes the engine and aborts the request if the prompt contains CrashPrompt; otherwise it
// does nothing.
func (e *Engine) crashOn(prompt string) {
	if e.cfg.CrashPrompt == "" || !strings.Contains(prompt, e.cfg.CrashPrompt) {
		return
	}
	e.mutex.Lock()
	e.crashes++
	e.mutex.Unlock()
	e.Kill()
	panic(http.ErrAbortHandler)
}

// Crashes returns how many times a prompt has crashed the engine.
func (e *Engine) Crashes() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.crashes
}

// Addr returns the address as IP:port.
func (e *Engine) Addr() string { return e.addr }

// Name returns the engine's name.
func (e *Engine) Name() string { return e.cfg.Name }

// Held returns the number of attempts with a hold.
func (e *Engine) Held() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.holds)
}

// HeldAttempts returns the ids of the attempts with a hold, in no order.
func (e *Engine) HeldAttempts() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	out := make([]string, 0, len(e.holds))
	for a := range e.holds {
		out = append(out, a)
	}
	return out
}

// LastAccepted returns when the engine last accepted new work.
func (e *Engine) LastAccepted() time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lastAccepted
}

// Orders returns the number of fenced orders carried out.
func (e *Engine) Orders() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.orders
}

func (e *Engine) tokens(prompt, emitted string) int {
	return max(int(float64(len(prompt)+len(emitted))/e.cfg.BytesPerToken), 1)
}

// isReleased reports whether the attempt was released before, so that its orders are rejected. The mutex is held.
func (e *Engine) isReleased(attempt string) bool {
	_, ok := e.released[attempt]
	return ok
}

// drop frees the hold of an attempt, if it has one. The mutex is held.
func (e *Engine) drop(attempt string) {
	h, ok := e.holds[attempt]
	if !ok {
		return
	}
	delete(e.holds, attempt)
	e.kvUsed -= h.tokens
	if h.slot {
		e.slotsUsed--
	}
	close(e.freed)
	e.freed = make(chan struct{})
}

// release frees the hold of an attempt, stops its work, and leaves a tombstone that rejects its later orders.
func (e *Engine) release(attempt string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.drop(attempt)
	e.released[attempt] = time.Now()
	for _, j := range e.prefills {
		if j.attempt == attempt {
			j.stop()
		}
	}
	for _, j := range e.running {
		if j.attempt == attempt {
			j.stop()
		}
	}
}

// expireLoop periodically drops expired prefill results and tombstones and
// records load reports.
func (e *Engine) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.expire(now)
		}
	}
}

const expireInterval = 20 * time.Millisecond

func (e *Engine) expire(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for attempt, h := range e.holds {
		if h.result && now.After(h.expires) {
			e.drop(attempt)
		}
	}
	for attempt, at := range e.released {
		if now.Sub(at) > tombstoneTime {
			delete(e.released, attempt)
		}
	}
	load := engineapi.Load{Held: e.slotsUsed, KVTokens: e.kvUsed}
	e.loadReports = append(e.loadReports, loadReport{at: now, load: load})
	for len(e.loadReports) > 1 && now.Sub(e.loadReports[1].at) >= e.cfg.ReportLag {
		e.loadReports = e.loadReports[1:]
	}
}

// Answer returns the tokens that any engine generates for a prompt: the oracle for a
// complete answer. Their number is between half of most and most, and at least 1.
func Answer(prompt string, most int) []string {
	seed := xxhash.Sum64String(prompt)
	length := max(most/2+int(seed%uint64(most/2+1)), 1)
	out := make([]string, length)
	for i := range out {
		out[i] = word(seed, i)
	}
	return out
}

func word(seed uint64, i int) string {
	const step = 0x9e3779b97f4a7c15
	return fmt.Sprintf("%04x ", uint16((seed+uint64(i)*step)>>40))
}
