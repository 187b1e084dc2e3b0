// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package engine is a small stand-in for a model engine: it takes the time
// that a real one would, holds memory as a real one would, and fails as a real
// one does. What it counts is the oracle of tests and measurements.
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

// Config sets an engine's speeds and sizes.
type Config struct {
	Name string
	Zone string
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// StepBase and StepPer give a decode step's time.
	StepBase, StepPer time.Duration
	Slots             int
	KVTokens          int
	KVBytesPerToken   int
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// ResultTTL is how long a prefill result is kept.
	ResultTTL time.Duration
	// BytesPerToken tells a prompt's length.
	BytesPerToken float64
	// ReportLag is how old a load report is.
	ReportLag time.Duration
	// GapEvery loses every n-th page of cache events; 0 loses none.
	GapEvery int
	// EndsAt, if not empty, is what ends the engine when it is to read a prompt with that
	// in it.
	EndsAt string
	Links  *Links
	Ledger *Ledger
}

const (
	// pieceTokens is how much prefill is done between two looks at the queue.
	pieceTokens = 2000
	// localPiece is how much prefill a decode engine does between two steps.
	localPiece = 512
	// maxQueue bounds what waits in the engine itself.
	maxQueue = 512
	// tombstoneTime is how long a released attempt is barred.
	tombstoneTime = 30 * time.Second
	// tokenQueue bounds the tokens that wait for one stream's reader.
	tokenQueue = 256
)

// hold is what the engine keeps for an attempt.
type hold struct {
	attempt string
	tokens  int
	since   time.Time
	// result is true for a finished prefill that waits to be fetched.
	result  bool
	expires time.Time
	prompt  string
	output  int
	slot    bool
}

// Engine is the stand-in.
type Engine struct {
	cfg Config

	mutex     sync.Mutex
	holds     map[string]*hold
	kvUsed    int
	slotsUsed int
	released  map[string]time.Time
	prefills  []*prefillJob
	running   []*decodeJob
	locals    []*prefillJob
	freed     chan struct{}
	wake      chan struct{}
	wakeStep  chan struct{}
	cache     *cache
	reports   []report
	fence     uint64
	orders    int
	frozen    chan struct{}
	accepted  time.Time
	pages     int
	crashes   int

	limit   atomic.Pointer[float64]
	leaving atomic.Bool
	// rest is what the engine asks for with all that it turns away, in nanoseconds.
	rest     atomic.Int64
	arrivals arrival.Log

	http   *http.Server
	addr   string
	cancel context.CancelFunc
}

type report struct {
	at   time.Time
	load engineapi.Load
}

// New makes an engine; Start opens it.
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

// reset empties the engine as a restart does.
func (e *Engine) reset() {
	e.holds = make(map[string]*hold)
	e.released = make(map[string]time.Time)
	e.prefills, e.running, e.locals = nil, nil, nil
	e.kvUsed, e.slotsUsed = 0, 0
	e.freed = make(chan struct{})
	e.wake = make(chan struct{}, 1)
	e.wakeStep = make(chan struct{}, 1)
	e.cache = newCache(e.cfg.CacheTokens)
	e.reports = nil
}

// Start listens on a loopback address, the one it had if it was started
// before, and serves until the context ends or Kill is called.
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
	server, wake, wakeStep := e.http, e.wake, e.wakeStep
	e.mutex.Unlock()
	e.cfg.Links.register(e.addr, e)
	go func() { _ = server.Serve(l) }()
	go e.prefillLoop(ctx, wake)
	go e.stepLoop(ctx, wakeStep)
	go e.expireLoop(ctx)
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return nil
}

// Kill ends the engine at once: all connections break and all memory is lost.
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

// endAt ends the engine in the middle of an order if it is to read what ends it. Then it
// does not return.
func (e *Engine) endAt(prompt string) {
	if e.cfg.EndsAt == "" || !strings.Contains(prompt, e.cfg.EndsAt) {
		return
	}
	e.mutex.Lock()
	e.crashes++
	e.mutex.Unlock()
	e.Kill()
	panic(http.ErrAbortHandler)
}

// Crashes is how often a prompt has ended the engine.
func (e *Engine) Crashes() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.crashes
}

// Addr is the IP number and port.
func (e *Engine) Addr() string { return e.addr }

// Name is the engine's name.
func (e *Engine) Name() string { return e.cfg.Name }

// Held is the number of attempts that memory is kept for.
func (e *Engine) Held() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.holds)
}

// HeldAttempts lists the attempts that memory is kept for.
func (e *Engine) HeldAttempts() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	out := make([]string, 0, len(e.holds))
	for a := range e.holds {
		out = append(out, a)
	}
	return out
}

// LastAccepted is when the engine last took an order for new work.
func (e *Engine) LastAccepted() time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.accepted
}

// Orders is the number of fenced orders taken.
func (e *Engine) Orders() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.orders
}

func (e *Engine) tokens(prompt, emitted string) int {
	return max(int(float64(len(prompt)+len(emitted))/e.cfg.BytesPerToken), 1)
}

// barred says whether the attempt was released before. The mutex is held.
func (e *Engine) barred(attempt string) bool {
	_, ok := e.released[attempt]
	return ok
}

// drop frees an attempt. The mutex is held.
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

// release frees an attempt and bars its later orders.
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

// expireLoop drops prefill results that nobody fetched and forgets old
// tombstones, and records load reports.
func (e *Engine) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(expireEvery)
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

const expireEvery = 20 * time.Millisecond

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
	e.reports = append(e.reports, report{at: now, load: load})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.cfg.ReportLag {
		e.reports = e.reports[1:]
	}
}

// Answer is the text that any engine generates for a prompt: the oracle for a
// whole answer. It has between half of most and most tokens.
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
