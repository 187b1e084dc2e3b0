// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/cleanup"
	"runridge.example/runridge/coordination/dedup"
	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/coordination/notice"
	"runridge.example/runridge/coordination/quarantine"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/metric"
	"runridge.example/runridge/modules/ring"
	records "runridge.example/runridge/state/dedup"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/health"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// Homes takes questions to the home of a group.
type Homes interface {
	// PlacesOf lists the groups of a service.
	PlacesOf(service string) []group.Place
	// RestOf is after how long this box may send to the first endpoint of a group that
	// rests; 0 is that none does.
	RestOf(group string) time.Duration
	// HomesOf names the boxes to ask for a group, its home first.
	HomesOf(group string) []string
	Tell(box, group string, body home.Body) ring.Outcome
}

// Releaser frees holds on engines until they are acknowledged.
type Releaser interface {
	Release(h cleanup.Hold) ring.Outcome
}

// Tables gives the table in force.
type Tables interface {
	Table() table.Table
}

// Metrics counts requests.
type Metrics interface {
	RequestEnded(e metric.Ended)
}

// Config configures a Dispatcher.
type Config struct {
	Box         string
	Incarnation uint64
	Zone        string
	// Region is that of the zone; empty is not known.
	Region   string
	Engine   adapter.Engine
	Homes    Homes
	Releaser Releaser
	Tables   Tables
	// Keys and Owners serve requests with idempotency keys.
	Keys   Keys
	Owners Owners
	// Quarantine keeps poison requests from the engines; nil is none.
	Quarantine *quarantine.Keeper
	// Notices keeps what endpoints say of themselves in their answers.
	Notices *notice.Keeper
	// Metrics, if set, counts requests that ended.
	Metrics Metrics
	// Window is how long answers are kept for repeats.
	Window time.Duration
	// MaxAttempts bounds the attempts at one request.
	MaxAttempts uint32
	// FirstWord is how long a home may be silent after an ask before the next
	// box in rank is asked instead.
	FirstWord time.Duration
	// AskAgain is how long to wait for the decision on a queued ask before
	// asking again.
	AskAgain time.Duration
	// AskFor bounds all asking; past it nothing ran and the caller is told so.
	AskFor time.Duration
	// StepTimeout bounds one order to an engine, and the gap between tokens.
	StepTimeout time.Duration
	Log         log.Logger
}

const (
	defaultAttempts    = 3
	defaultFirstWord   = 80 * time.Millisecond
	defaultAskAgain    = 300 * time.Millisecond
	defaultAskFor      = 20 * time.Second
	defaultStepTimeout = 10 * time.Second
)

// Dispatcher drives all requests of one box.
type Dispatcher struct {
	cfg      Config
	sequence atomic.Uint64

	mutex  sync.Mutex
	calls  map[lifecycle.RequestID]*Call
	budget health.Budget

	transcripts *transcripts
}

// New makes a dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultAttempts
	}
	if cfg.Window <= 0 {
		cfg.Window = records.DefaultWindow
	}
	if cfg.FirstWord <= 0 {
		cfg.FirstWord = defaultFirstWord
	}
	if cfg.AskAgain <= 0 {
		cfg.AskAgain = defaultAskAgain
	}
	if cfg.AskFor <= 0 {
		cfg.AskFor = defaultAskFor
	}
	if cfg.StepTimeout <= 0 {
		cfg.StepTimeout = defaultStepTimeout
	}
	return &Dispatcher{
		cfg:    cfg,
		calls:  make(map[lifecycle.RequestID]*Call),
		budget: health.NewBudget(),

		transcripts: newTranscripts(cfg.Window),
	}
}

// Piece answers a box whose request is a repeat of one here.
func (d *Dispatcher) Piece(j dedup.Join) dedup.Piece {
	return d.transcripts.piece(j)
}

// Submit starts a request. It goes on until its end even when the context
// ends; the context only carries values.
func (d *Dispatcher) Submit(ctx context.Context, r Request) *Call {
	c := d.newCall()
	v := newDriver(d, c, r)
	go v.run(context.WithoutCancel(ctx))
	return c
}

// NextID names a new request of this box.
func (d *Dispatcher) NextID() lifecycle.RequestID {
	return lifecycle.RequestID{
		Box:         d.cfg.Box,
		Incarnation: d.cfg.Incarnation,
		Sequence:    d.sequence.Add(1) & (1<<lifecycle.SequenceBits - 1),
	}
}

func (d *Dispatcher) newCall() *Call {
	id := d.NextID()
	tokens := make(chan string, tokenBuffer)
	c := &Call{
		ID:     id,
		Tokens: tokens,
		tokens: tokens,
		events: make(chan lifecycle.Event, mailboxSize),
		done:   make(chan struct{}),
		gone:   make(chan struct{}),
		rehome: make(chan struct{}, 1),
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.calls[id] = c
	d.budget = d.budget.WithRequest()
	return c
}

func (d *Dispatcher) forget(id lifecycle.RequestID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.calls, id)
}

// mayRetry spends one retry if the budget allows it.
func (d *Dispatcher) mayRetry() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	next, ok := d.budget.WithRetry()
	d.budget = next
	return ok
}

// Active is the number of requests under way.
func (d *Dispatcher) Active() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.calls)
}

// ActiveIDs names the requests under way.
func (d *Dispatcher) ActiveIDs() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	out := make([]string, 0, len(d.calls))
	for id := range d.calls {
		out = append(out, id.String())
	}
	return out
}

// Owns says whether a request is under way on this box.
func (d *Dispatcher) Owns(id lifecycle.RequestID) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, ok := d.calls[id]
	return ok
}

// Decide takes a home's decision. One for a request that is over gives the
// grant back, since nobody else will.
func (d *Dispatcher) Decide(from, group string, decision schedule.Decision) {
	switch dec := decision.(type) {
	case schedule.Grant:
		d.grant(from, group, dec)
	case schedule.Refuse:
		d.deliver(dec.Ask.ID, refusal{id: dec.Ask.ID, event: lifecycle.Refused{
			Reason:       dec.Reason,
			RetryAfterMS: int(dec.RetryAfter.Milliseconds()),
		}})
	case schedule.Queued:
		d.deliver(dec.Ask.ID, queuedBy{id: dec.Ask.ID, home: from})
	case schedule.Slot:
		event := lifecycle.SlotReady{Attempt: dec.Ask.ID.Number, Decode: dec.Decode}
		d.deliver(dec.Ask.ID, slotFrom{event: event, move: dec.Move, counted: dec.Paced})
	}
}

func (d *Dispatcher) grant(from, group string, g schedule.Grant) {
	event := grantFrom{
		id: g.Ask.ID, home: from, event: lifecycle.Granted{Plan: g.Plan}, move: g.Move,
		prefill: g.PacedPrefill, decode: g.PacedDecode, held: g.Held,
	}
	if d.deliver(g.Ask.ID, event) {
		return
	}
	_ = d.cfg.Homes.Tell(from, group, home.Withdrawn{ID: g.Ask.ID})
}

// deliver hands an event to a request's driver and reports whether there is one.
func (d *Dispatcher) deliver(id lifecycle.AttemptID, e lifecycle.Event) bool {
	d.mutex.Lock()
	c, ok := d.calls[id.Request]
	d.mutex.Unlock()
	if !ok {
		return false
	}
	// The home's duty must not wait for one request.
	select {
	case c.events <- e:
		return true
	case <-c.done:
		return false
	default:
		go c.post(e)
		return true
	}
}

// Check tells a home which of the attempts are over here, and frees what the
// named engine holds for them.
func (d *Dispatcher) Check(from, group, engine string, ids []lifecycle.AttemptID) {
	e, known := d.cfg.Tables.Table().Endpoint(engine)
	for _, id := range ids {
		if id.Request.Box != d.cfg.Box || id.Request.Incarnation == d.cfg.Incarnation && d.Owns(id.Request) {
			continue
		}
		_ = d.cfg.Homes.Tell(from, group, schedule.Report{ID: id})
		if known {
			_ = d.cfg.Releaser.Release(cleanup.Hold{Endpoint: e, Attempt: id.String()})
		}
	}
}

// Rehome makes every request look for its home again; the set of boxes with
// duties has changed.
func (d *Dispatcher) Rehome() {
	d.mutex.Lock()
	calls := make([]*Call, 0, len(d.calls))
	for _, c := range d.calls {
		calls = append(calls, c)
	}
	d.mutex.Unlock()
	for _, c := range calls {
		c.lookAgain()
	}
}
