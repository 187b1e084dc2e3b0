// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package watch polls the engines of the groups that this box is home of: it reads their
// load and cache events, and frees what they hold for requests whose box is gone.
package watch

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/cleanup"
	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/coordination/owner"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// Engine is the set of engine calls that a Watch makes.
type Engine interface {
	Holds(ctx context.Context, e table.Endpoint) ([]adapter.Hold, error)
	Load(ctx context.Context, e table.Endpoint) (adapter.Load, error)
	Events(ctx context.Context, e table.Endpoint, after uint64) (adapter.Events, error)
}

// Homes receives what was read, for the groups that this box is home of.
type Homes interface {
	Offer(c home.Command) ring.Outcome
}

// Checker asks a box whether its attempts still run.
type Checker interface {
	CheckAttempts(box, group, engine string, ids []lifecycle.AttemptID)
}

// Owners returns what is known of the box that owns a hold's request.
type Owners interface {
	Check(ctx context.Context, id lifecycle.RequestID) owner.Verdict
}

// Releaser frees holds.
type Releaser interface {
	Release(h cleanup.Hold) ring.Outcome
}

// Config configures a Watch.
type Config struct {
	Engine   Engine
	Homes    Homes
	Checker  Checker
	Owners   Owners
	Releaser Releaser
	// PollInterval is the interval between polls of an engine; 0 is defaultPollInterval.
	PollInterval time.Duration
	// MinHoldAge is the age below which a hold isn't checked; 0 is defaultMinHoldAge.
	MinHoldAge time.Duration
	Log        log.Logger
}

const (
	defaultPollInterval = time.Second
	defaultMinHoldAge   = 1500 * time.Millisecond
	maxParallelPolls    = 16
)

// watchedEngine is an engine under watch.
type watchedEngine struct {
	group    string
	endpoint table.Endpoint
	// position is the position from which to read cache events, and started is set once they
	// have been read.
	position uint64
	started  bool
}

// Watch polls engines.
type Watch struct {
	cfg   Config
	wake  chan struct{}
	mutex sync.Mutex
	// engines is keyed by group and engine name.
	engines map[string]map[string]*watchedEngine
}

// New returns a Watch; Run starts it.
func New(cfg Config) *Watch {
	if cfg.PollInterval <= 0 {
		cfg.PollInterval = defaultPollInterval
	}
	if cfg.MinHoldAge <= 0 {
		cfg.MinHoldAge = defaultMinHoldAge
	}
	return &Watch{
		cfg:     cfg,
		wake:    make(chan struct{}, 1),
		engines: make(map[string]map[string]*watchedEngine),
	}
}

// Set replaces the engines watched for a group; with no engines the watch of the group
// ends.
func (w *Watch) Set(group string, engines []table.Endpoint) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	old := w.engines[group]
	delete(w.engines, group)
	for _, e := range engines {
		if w.engines[group] == nil {
			w.engines[group] = make(map[string]*watchedEngine)
		}
		next := &watchedEngine{group: group, endpoint: e}
		if before := old[e.Name]; before != nil && before.endpoint.Address == e.Address {
			next.position, next.started = before.position, before.started
		}
		w.engines[group][e.Name] = next
	}
	// A group that was just taken over can't wait for the next poll.
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run polls the engines until the context ends.
func (w *Watch) Run(ctx context.Context) error {
	tick := time.NewTicker(w.cfg.PollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-w.wake:
		}
		w.pollAll(ctx)
	}
}

// pollAll polls every engine once.
func (w *Watch) pollAll(ctx context.Context) {
	w.mutex.Lock()
	var all []*watchedEngine
	for _, group := range w.engines {
		for _, e := range group {
			all = append(all, e)
		}
	}
	w.mutex.Unlock()
	var polls errgroup.Group
	polls.SetLimit(maxParallelPolls)
	for _, e := range all {
		polls.Go(func() error {
			call, cancel := context.WithTimeout(ctx, w.cfg.PollInterval)
			defer cancel()
			w.pollEngine(call, e)
			return nil
		})
	}
	_ = polls.Wait()
}

// pollEngine reads one engine. An engine that doesn't answer keeps its last known state:
// failed orders eject it, failed polls don't.
func (w *Watch) pollEngine(ctx context.Context, e *watchedEngine) {
	name := e.endpoint.Name
	if load, err := w.cfg.Engine.Load(ctx, e.endpoint); err == nil {
		w.offer(e.group, schedule.LoadReport{Engine: name, Held: load.Held, KVTokens: load.KVTokens})
	}
	w.readEvents(ctx, e)
	if holds, err := w.cfg.Engine.Holds(ctx, e.endpoint); err == nil {
		w.checkHolds(ctx, e, holds)
	}
}

func (w *Watch) offer(group string, body home.Body) {
	// An update that doesn't fit into the queue is repeated by the next poll.
	_ = w.cfg.Homes.Offer(home.Command{Group: group, Body: body})
}

func (w *Watch) readEvents(ctx context.Context, e *watchedEngine) {
	page, err := w.cfg.Engine.Events(ctx, e.endpoint, e.position)
	if err != nil {
		return
	}
	first := !e.started
	e.started = true
	e.position = page.Next
	if first {
		// This box never knew of prefixes that were evicted before it began to watch.
		return
	}
	if page.Gap || len(page.Evicted) > 0 {
		w.offer(e.group, home.Evicted{Engine: e.endpoint.Name, Marks: page.Evicted, Gap: page.Gap})
	}
}

// checkHolds releases the holds whose box is gone, and asks the boxes that can be reached
// about the others.
func (w *Watch) checkHolds(ctx context.Context, e *watchedEngine, holds []adapter.Hold) {
	attempts := make(map[string][]lifecycle.AttemptID)
	for _, h := range holds {
		id, err := lifecycle.ParseAttemptID(h.Attempt)
		if err != nil || time.Duration(h.AgeMS)*time.Millisecond < w.cfg.MinHoldAge {
			// A hold that isn't named by an attempt ID belongs to somebody else.
			continue
		}
		switch w.cfg.Owners.Check(ctx, id.Request) {
		case owner.Ended:
			w.release(e, h.Attempt)
		case owner.Reachable:
			attempts[id.Request.Box] = append(attempts[id.Request.Box], id)
		case owner.Unreachable:
		}
	}
	for box, ids := range attempts {
		w.cfg.Checker.CheckAttempts(box, e.group, e.endpoint.Name, ids)
	}
}

func (w *Watch) release(e *watchedEngine, attempt string) {
	w.cfg.Log.WithFields(log.Fields{log.FieldEngine: e.endpoint.Name, log.FieldAttempt: attempt}).Info("orphan_released")
	_ = w.cfg.Releaser.Release(cleanup.Hold{Endpoint: e.endpoint, Attempt: attempt})
}
