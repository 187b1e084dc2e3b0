// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package cleanup frees what engines hold for attempts that are over, and retries until
// each engine has acknowledged.
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

// Engine is the engine call that a Releaser makes.
type Engine interface {
	Release(ctx context.Context, e table.Endpoint, attempt string) error
}

// Hold is engine memory that has to be freed.
type Hold struct {
	Endpoint table.Endpoint
	Attempt  string
}

// Config configures a Releaser.
type Config struct {
	Engine Engine
	// Known reports whether the endpoint is still in the table; holds on other endpoints are
	// abandoned. Nil stands for always.
	Known func(endpoint string) bool
	// Workers is the number of releases that run at once.
	Workers int
	// Queue bounds the number of holds that wait for their first try.
	Queue int
	// CallTimeout bounds one call.
	CallTimeout time.Duration
	// GiveUp bounds the time of all retries; after it the engine's own expiry and the homes'
	// search for orphans free the hold.
	GiveUp time.Duration
	Log    log.Logger
}

const (
	defaultWorkers     = 16
	defaultQueue       = 8192
	defaultCallTimeout = time.Second
	defaultGiveUp      = time.Minute
	initialBackoff     = 20 * time.Millisecond
	maxBackoff         = time.Second
)

// Releaser frees holds until they are acknowledged.
type Releaser struct {
	cfg Config
	// queue holds pointers because the ring allocates its whole capacity at once.
	queue   *ring.Ring[*Hold]
	mutex   sync.Mutex
	pending map[Hold]struct{}
}

// New returns a Releaser; Run starts it.
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

// Release queues a hold, unless it is pending already. If it returns ring.Full, the
// engine's own expiry and the search for orphans have to free the hold.
func (r *Releaser) Release(h Hold) ring.Outcome {
	r.mutex.Lock()
	_, queued := r.pending[h]
	r.pending[h] = struct{}{}
	r.mutex.Unlock()
	if queued {
		return ring.Accepted
	}
	outcome := r.queue.Offer(&h)
	if outcome == ring.Full {
		r.removePending(h)
		r.cfg.Log.WithFields(log.Fields{log.FieldEngine: h.Endpoint.Name, log.FieldAttempt: h.Attempt}).Warn("release_queue_full")
	}
	return outcome
}

// Pending returns the number of holds that are not yet acknowledged.
func (r *Releaser) Pending() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.pending)
}

// Run frees queued holds until the context ends.
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

// free makes the first try at once and retries in a separate goroutine, so that one
// failing engine doesn't delay the others.
func (r *Releaser) free(ctx context.Context, h Hold) {
	if r.releaseOnce(ctx, h) == nil {
		r.removePending(h)
		return
	}
	go r.retryUntilFreed(ctx, h)
}

func (r *Releaser) retryUntilFreed(ctx context.Context, h Hold) {
	defer r.removePending(h)
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = initialBackoff
	pauses.MaxInterval = maxBackoff
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		if r.cfg.Known != nil && !r.cfg.Known(h.Endpoint.Name) {
			return struct{}{}, nil
		}
		return struct{}{}, r.releaseOnce(ctx, h)
	}, backoff.WithBackOff(pauses), backoff.WithMaxElapsedTime(r.cfg.GiveUp))
	if err != nil {
		r.cfg.Log.WithFields(log.Fields{log.FieldEngine: h.Endpoint.Name, log.FieldAttempt: h.Attempt}).WithError(err).Warn("release_given_up")
	}
}

func (r *Releaser) releaseOnce(ctx context.Context, h Hold) error {
	call, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
	defer cancel()
	return r.cfg.Engine.Release(call, h.Endpoint, h.Attempt)
}

func (r *Releaser) removePending(h Hold) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.pending, h)
}
