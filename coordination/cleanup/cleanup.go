// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package cleanup frees what engines hold for attempts that are over, and
// tries again until each engine has acknowledged.
package cleanup

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/table"
)

// Engine is the one call that cleaning up needs.
type Engine interface {
	Release(ctx context.Context, e table.Endpoint, attempt string) error
}

// Hold is what has to be freed.
type Hold struct {
	Endpoint table.Endpoint
	Attempt  string
}

// Config configures a Releaser.
type Config struct {
	Engine Engine
	// Known says whether the endpoint is still in the table; one that is not
	// is given up. Nil means always.
	Known func(endpoint string) bool
	// Workers is how many releases run at once.
	Workers int
	// Queue bounds what waits for its first try.
	Queue int
	// CallTimeout bounds one call.
	CallTimeout time.Duration
	// GiveUp bounds the tries; the engine's own expiry and the homes' search
	// for orphans free what is left by then.
	GiveUp time.Duration
	Log    log.Logger
}

const (
	defaultWorkers     = 16
	defaultQueue       = 8192
	defaultCallTimeout = time.Second
	defaultGiveUp      = time.Minute
	firstPause         = 20 * time.Millisecond
	longestPause       = time.Second
)

// Releaser frees holds until they are acknowledged.
type Releaser struct {
	cfg Config
	// queue has pointers: the room for all that it may hold is made at once.
	queue   *ring.Ring[*Hold]
	mutex   sync.Mutex
	pending map[Hold]struct{}
}

// New makes a releaser; Run starts it.
func New(cfg Config) *Releaser {
	if cfg.Workers <= 0 {
		cfg.Workers = defaultWorkers
	}
	if cfg.Queue <= 0 {
		cfg.Queue = defaultQueue
	}
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	if cfg.GiveUp <= 0 {
		cfg.GiveUp = defaultGiveUp
	}
	return &Releaser{cfg: cfg, queue: ring.New[*Hold](cfg.Queue), pending: make(map[Hold]struct{})}
}

// Release queues a hold. Full means that the engine's own expiry and the
// search for orphans have to free it.
func (r *Releaser) Release(h Hold) ring.Outcome {
	r.mutex.Lock()
	_, twice := r.pending[h]
	r.pending[h] = struct{}{}
	r.mutex.Unlock()
	if twice {
		return ring.Accepted
	}
	outcome := r.queue.Offer(&h)
	if outcome == ring.Full {
		r.forget(h)
		r.cfg.Log.WithFields(log.Fields{log.FieldEngine: h.Endpoint.Name, log.FieldAttempt: h.Attempt}).Warn("release_queue_full")
	}
	return outcome
}

// Pending is the number of holds not yet acknowledged.
func (r *Releaser) Pending() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.pending)
}

// Run is the duty. It ends with the context.
func (r *Releaser) Run(ctx context.Context) error {
	var workers errgroup.Group
	for range r.cfg.Workers {
		workers.Go(func() error {
			r.work(ctx)
			return nil
		})
	}
	return workers.Wait()
}

func (r *Releaser) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-r.queue.C():
			r.free(ctx, *h)
		}
	}
}

// free tries the first time at once; later tries wait in a goroutine of their
// own so that one sick engine does not hold up the others.
func (r *Releaser) free(ctx context.Context, h Hold) {
	if r.try(ctx, h) == nil {
		r.forget(h)
		return
	}
	go r.retryUntilFreed(ctx, h)
}

func (r *Releaser) retryUntilFreed(ctx context.Context, h Hold) {
	defer r.forget(h)
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause
	pauses.MaxInterval = longestPause
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		if r.cfg.Known != nil && !r.cfg.Known(h.Endpoint.Name) {
			return struct{}{}, nil
		}
		return struct{}{}, r.try(ctx, h)
	}, backoff.WithBackOff(pauses), backoff.WithMaxElapsedTime(r.cfg.GiveUp))
	if err != nil {
		r.cfg.Log.WithFields(log.Fields{log.FieldEngine: h.Endpoint.Name, log.FieldAttempt: h.Attempt}).WithError(err).Warn("release_given_up")
	}
}

func (r *Releaser) try(ctx context.Context, h Hold) error {
	call, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
	defer cancel()
	return r.cfg.Engine.Release(call, h.Endpoint, h.Attempt)
}

func (r *Releaser) forget(h Hold) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.pending, h)
}
