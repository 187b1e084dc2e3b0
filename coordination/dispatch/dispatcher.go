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

// Homes exchanges messages with the homes of groups.
type Homes interface {
	// PlacesOf returns the groups of a service.
	PlacesOf(service string) []group.Place
	// LeastRest returns how long until this box may send to the first resting endpoint of a group;
	// 0 if none rests.
	LeastRest(group string) time.Duration
	// HomesOf returns the boxes to ask for a group, its home first.
	HomesOf(group string) []string
	Send(box, group string, body home.Body) ring.Outcome
}

// Releaser releases holds on engines and repeats the release until the engine acknowledges it.
type Releaser interface {
	Release(h cleanup.Hold) ring.Outcome
}

// Tables provides the table in force.
type Tables interface {
	Table() table.Table
}

// Metrics records metrics of requests.
type Metrics interface {
	RequestEnded(e metric.RequestSummary)
}

// Config configures a Dispatcher.
type Config struct {
	Box         string
	Incarnation uint64
	Zone        string
	// Region is the region of Zone; empty if unknown.
	Region   string
	Engine   adapter.Engine
	Homes    Homes
	Releaser Releaser
	Tables   Tables
	// Keys and Owners are used for requests with idempotency keys.
	Keys   Keys
	Owners Owners
	// Quarantine keeps poison requests away from the engines; nil disables it.
	Quarantine *quarantine.Keeper
	// Notices stores the notices that endpoints attach to their answers.
	Notices *notice.Keeper
	// Metrics records the outcome of requests; it may be nil.
	Metrics Metrics
	// Window is how long answers are kept for repeats.
	Window time.Duration
	// MaxAttempts limits the attempts of one request.
	MaxAttempts uint32
	// HomeTimeout is how long a home may be silent after an ask before the next box in rank is
	// asked.
	HomeTimeout time.Duration
	// QueuedRetry is how long to wait for the decision on a queued ask before asking again.
	QueuedRetry time.Duration
	// AskTimeout limits the total time of asking for one attempt; after it the request is refused
	// as not run.
	AskTimeout time.Duration
	// StepTimeout limits one order to an engine, and the gap between two tokens.
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

// Dispatcher handles all model requests of one box.
type Dispatcher struct {
	cfg      Config
	sequence atomic.Uint64

	mutex  sync.Mutex
	calls  map[lifecycle.RequestID]*Call
	budget health.Budget

	transcripts *transcripts
	// software has the software versions that engines announce.
	software softwareVersions
}

// New returns a Dispatcher with the given configuration; zero values are replaced by defaults.
func New(cfg Config) *Dispatcher {
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultAttempts
	}
	if cfg.Window <= 0 {
		cfg.Window = records.DefaultWindow
	}
	if cfg.HomeTimeout <= 0 {
		cfg.HomeTimeout = defaultFirstWord
	}
	if cfg.QueuedRetry <= 0 {
		cfg.QueuedRetry = defaultAskAgain
	}
	if cfg.AskTimeout <= 0 {
		cfg.AskTimeout = defaultAskFor
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

// AnswerPiece answers a box that handles a repeat of a request of this box.
func (d *Dispatcher) AnswerPiece(j dedup.Join) dedup.Piece {
	return d.transcripts.piece(j)
}

// Submit starts a request and returns at once. The request continues when the context ends;
// only the values of the context are used.
func (d *Dispatcher) Submit(ctx context.Context, r Request) *Call {
	c := d.newCall()
	driver := newDriver(d, c, r)
	go driver.run(context.WithoutCancel(ctx))
	return c
}

// NextID returns the ID of a new request of this box.
func (d *Dispatcher) NextID() lifecycle.RequestID {
	return lifecycle.RequestID{
		Box:         d.cfg.Box,
		Incarnation: d.cfg.Incarnation,
		Sequence:    d.sequence.Add(1) & (1<<lifecycle.SequenceBits - 1),
	}
}

// newCall registers a new request and counts it for the retry budget.
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

func (d *Dispatcher) removeCall(id lifecycle.RequestID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.calls, id)
}

// spendRetry takes one retry from the budget and reports whether the budget allowed it.
func (d *Dispatcher) spendRetry() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	next, ok := d.budget.WithRetry()
	d.budget = next
	return ok
}

// Active returns the number of requests in flight.
func (d *Dispatcher) Active() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.calls)
}

// ActiveIDs returns the IDs of the requests in flight.
func (d *Dispatcher) ActiveIDs() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	out := make([]string, 0, len(d.calls))
	for id := range d.calls {
		out = append(out, id.String())
	}
	return out
}

// Owns reports whether this box is handling the request.
func (d *Dispatcher) Owns(id lifecycle.RequestID) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, ok := d.calls[id]
	return ok
}

// HandleDecision delivers a home's decision to the driver of its request. A grant for a request
// that has ended is returned, since nobody else would return it.
func (d *Dispatcher) HandleDecision(from, group string, decision schedule.Decision) {
	switch dec := decision.(type) {
	case schedule.Grant:
		d.grant(from, group, dec)
	case schedule.Refusal:
		d.deliver(dec.Ask.ID, refusalEvent{id: dec.Ask.ID, event: lifecycle.Refused{
			Reason:       dec.Reason,
			RetryAfterMS: int(dec.RetryAfter.Milliseconds()),
		}})
	case schedule.Queued:
		d.deliver(dec.Ask.ID, queuedEvent{id: dec.Ask.ID, home: from})
	case schedule.DecodeAssignment:
		event := lifecycle.SlotReady{Attempt: dec.Ask.ID.Number, Decode: dec.Decode}
		d.deliver(dec.Ask.ID, slotEvent{event: event, move: dec.Move, counted: dec.Paced})
	}
}

// grant delivers a grant to the driver of its request, or returns it if there is none.
func (d *Dispatcher) grant(from, group string, g schedule.Grant) {
	event := grantEvent{
		id: g.Ask.ID, home: from, event: lifecycle.Granted{Plan: g.Plan}, move: g.Move,
		prefillCounted: g.PacedPrefill, decodeCounted: g.PacedDecode, waited: g.QueueTime,
	}
	if d.deliver(g.Ask.ID, event) {
		return
	}
	_ = d.cfg.Homes.Send(from, group, home.Withdrawn{ID: g.Ask.ID})
}

// deliver sends an event to a request's driver and reports whether there is one.
func (d *Dispatcher) deliver(id lifecycle.AttemptID, e lifecycle.Event) bool {
	d.mutex.Lock()
	c, ok := d.calls[id.Request]
	d.mutex.Unlock()
	if !ok {
		return false
	}
	// One slow request must not block the decisions for others.
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

// CheckAttempts reports to a home which of the attempts have ended here, and releases what the
// named engine holds for them.
func (d *Dispatcher) CheckAttempts(from, group, engine string, ids []lifecycle.AttemptID) {
	e, known := d.cfg.Tables.Table().Endpoint(engine)
	for _, id := range ids {
		if id.Request.Box != d.cfg.Box || id.Request.Incarnation == d.cfg.Incarnation && d.Owns(id.Request) {
			continue
		}
		_ = d.cfg.Homes.Send(from, group, schedule.Report{ID: id})
		if known {
			_ = d.cfg.Releaser.Release(cleanup.Hold{Endpoint: e, Attempt: id.String()})
		}
	}
}

// Rehome makes all requests look up their homes again, after the set of boxes that act as homes
// has changed.
func (d *Dispatcher) Rehome() {
	d.mutex.Lock()
	calls := make([]*Call, 0, len(d.calls))
	for _, c := range d.calls {
		calls = append(calls, c)
	}
	d.mutex.Unlock()
	for _, c := range calls {
		c.notifyRehome()
	}
}
