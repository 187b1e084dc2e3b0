// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package watch looks after the engines of the groups that this box is home
// of: it reads their load and cache events, and finds what they hold for
// requests whose box is gone.
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

// Engine is what the watch asks of an engine.
type Engine interface {
	Holds(ctx context.Context, e table.Endpoint) ([]adapter.Hold, error)
	Load(ctx context.Context, e table.Endpoint) (adapter.Load, error)
	Events(ctx context.Context, e table.Endpoint, after uint64) (adapter.Events, error)
}

// Homes takes what was learned to the groups of this box.
type Homes interface {
	Offer(c home.Command) ring.Outcome
}

// Checker asks a box about its attempts.
type Checker interface {
	Check(box, group, engine string, ids []lifecycle.AttemptID)
}

// Owners says what is known of the box that a hold's request is on.
type Owners interface {
	Of(ctx context.Context, id lifecycle.RequestID) owner.Verdict
}

// Releaser frees holds.
type Releaser interface {
	Release(h cleanup.Hold) ring.Outcome
}

// Config configures the duty.
type Config struct {
	Engine   Engine
	Homes    Homes
	Checker  Checker
	Owners   Owners
	Releaser Releaser
	// Every is the time between two looks at an engine.
	Every time.Duration
	// Young is the age under which a hold is not questioned.
	Young time.Duration
	Log   log.Logger
}

const (
	defaultEvery = time.Second
	defaultYoung = 1500 * time.Millisecond
	parallel     = 16
)

// watched is an engine under watch.
type watched struct {
	group    string
	endpoint table.Endpoint
	// position is where to read cache events on.
	position uint64
	started  bool
}

// Watch is the duty.
type Watch struct {
	cfg   Config
	wake  chan struct{}
	mutex sync.Mutex
	// engines is by group and engine name.
	engines map[string]map[string]*watched
}

// New makes the duty; Run starts it.
func New(cfg Config) *Watch {
	if cfg.Every <= 0 {
		cfg.Every = defaultEvery
	}
	if cfg.Young <= 0 {
		cfg.Young = defaultYoung
	}
	return &Watch{
		cfg:     cfg,
		wake:    make(chan struct{}, 1),
		engines: make(map[string]map[string]*watched),
	}
}

// Set replaces the engines watched for a group; none ends its watch.
func (w *Watch) Set(group string, engines []table.Endpoint) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	old := w.engines[group]
	delete(w.engines, group)
	for _, e := range engines {
		if w.engines[group] == nil {
			w.engines[group] = make(map[string]*watched)
		}
		next := &watched{group: group, endpoint: e}
		if before := old[e.Name]; before != nil && before.endpoint.Address == e.Address {
			next.position, next.started = before.position, before.started
		}
		w.engines[group][e.Name] = next
	}
	// A group that was just taken over cannot wait for the next round.
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run is the duty. It ends with the context.
func (w *Watch) Run(ctx context.Context) error {
	tick := time.NewTicker(w.cfg.Every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-w.wake:
		}
		w.round(ctx)
	}
}

// round looks at every engine once.
func (w *Watch) round(ctx context.Context) {
	w.mutex.Lock()
	var all []*watched
	for _, group := range w.engines {
		for _, e := range group {
			all = append(all, e)
		}
	}
	w.mutex.Unlock()
	var looks errgroup.Group
	looks.SetLimit(parallel)
	for _, e := range all {
		looks.Go(func() error {
			call, cancel := context.WithTimeout(ctx, w.cfg.Every)
			defer cancel()
			w.look(call, e)
			return nil
		})
	}
	_ = looks.Wait()
}

// look reads one engine. An engine that does not answer is left as it was
// thought to be; failed orders, not failed looks, eject it.
func (w *Watch) look(ctx context.Context, e *watched) {
	name := e.endpoint.Name
	if load, err := w.cfg.Engine.Load(ctx, e.endpoint); err == nil {
		w.tell(e.group, schedule.Load{Engine: name, Held: load.Held, KVTokens: load.KVTokens})
	}
	w.readEvents(ctx, e)
	if holds, err := w.cfg.Engine.Holds(ctx, e.endpoint); err == nil {
		w.question(ctx, e, holds)
	}
}

func (w *Watch) tell(group string, body home.Body) {
	// An update that finds no room comes again with the next look.
	_ = w.cfg.Homes.Offer(home.Command{Group: group, Body: body})
}

func (w *Watch) readEvents(ctx context.Context, e *watched) {
	page, err := w.cfg.Engine.Events(ctx, e.endpoint, e.position)
	if err != nil {
		return
	}
	first := !e.started
	e.started = true
	e.position = page.Next
	if first {
		// What was dropped before this box began to watch, it never knew of.
		return
	}
	if page.Gap || len(page.Evicted) > 0 {
		w.tell(e.group, home.Evicted{Engine: e.endpoint.Name, Marks: page.Evicted, Gap: page.Gap})
	}
}

// question sorts out the holds whose request may be gone.
func (w *Watch) question(ctx context.Context, e *watched, holds []adapter.Hold) {
	asks := make(map[string][]lifecycle.AttemptID)
	for _, h := range holds {
		id, err := lifecycle.ParseAttemptID(h.Attempt)
		if err != nil || time.Duration(h.AgeMS)*time.Millisecond < w.cfg.Young {
			// What is not named by us is not ours to free.
			continue
		}
		switch w.cfg.Owners.Of(ctx, id.Request) {
		case owner.Gone:
			w.release(e, h.Attempt)
		case owner.There:
			asks[id.Request.Box] = append(asks[id.Request.Box], id)
		case owner.Silent:
		}
	}
	for box, ids := range asks {
		w.cfg.Checker.Check(box, e.group, e.endpoint.Name, ids)
	}
}

func (w *Watch) release(e *watched, attempt string) {
	w.cfg.Log.WithFields(log.Fields{log.FieldEngine: e.endpoint.Name, log.FieldAttempt: attempt}).Info("orphan_released")
	_ = w.cfg.Releaser.Release(cleanup.Hold{Endpoint: e.endpoint, Attempt: attempt})
}
