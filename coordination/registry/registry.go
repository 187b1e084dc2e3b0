// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package registry keeps the platform's list of boxes up to date: a box is on it while it
// runs, and one of the others removes boxes that have been gone for long. A box that stops
// leaves its entry on the list, and finds it again if it only restarts.
package registry

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"runridge.example/runridge/coordination/adapter"
	members "runridge.example/runridge/coordination/member"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/sleep"
	"runridge.example/runridge/state/member"
)

// Platform stores the list.
type Platform interface {
	// Join puts a box on the list and replaces any entry of the same name.
	Join(ctx context.Context, b adapter.Box) error
	// Remove removes a box from the list if its entry still has the version; 0 stands for
	// any version. It returns adapter.ErrConflict if the entry has another version.
	Remove(ctx context.Context, name string, version uint64) error
}

// Config configures a Keeper.
type Config struct {
	Self     adapter.Box
	Platform Platform
	// Members returns the view of the boxes, with the list as last read.
	Members func() members.Snapshot
	// Ranked returns the boxes with duties in an order for the key that all boxes agree on.
	Ranked func(key string) []string
	Log    log.Logger
}

const (
	callTimeout    = 2 * time.Second
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// reconcileInterval is how often the list is compared with the boxes.
	reconcileInterval = 5 * time.Second
	// removeDeadAfter is how long a box has to be dead before it is removed. rejoinDelay is
	// how long after writing its entry a box ignores that the list lacks the entry, because
	// the list lags behind.
	removeDeadAfter = 20 * time.Second
	rejoinDelay     = 10 * time.Second
	// firstListTimeout bounds the wait for the first read of the list, and
	// firstListPollInterval is how often the wait checks for it.
	firstListTimeout      = time.Second
	firstListPollInterval = 50 * time.Millisecond
)

// Keeper keeps the list up to date.
type Keeper struct {
	cfg      Config
	joinedAt time.Time
	// deadSince maps a listed box to the time since when it has been seen dead.
	deadSince map[string]time.Time
}

// New returns a Keeper; Run starts it.
func New(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, deadSince: make(map[string]time.Time)}
}

// Run keeps the list up to date until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	if !k.hasCurrentEntry(ctx) {
		k.join(ctx)
	}
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			k.reconcile(ctx, time.Now())
		}
	}
}

// hasCurrentEntry waits for the first read of the list and reports whether this box's
// entry on it is current. After a restart it is: otherwise a rolling restart of all boxes
// would cost the platform two writes for each box.
func (k *Keeper) hasCurrentEntry(ctx context.Context) bool {
	for waited := time.Duration(0); waited < firstListTimeout && ctx.Err() == nil; waited += firstListPollInterval {
		if listed := k.cfg.Members().Listed; listed != nil {
			entry, found := listed[k.cfg.Self.Name]
			return found && entry.Address == k.cfg.Self.Address && entry.Zone == k.cfg.Self.Zone && entry.Wire == k.cfg.Self.Wire
		}
		sleep.For(ctx, firstListPollInterval)
	}
	return false
}

// join puts this box on the list, with retries until it succeeds or the context ends.
func (k *Keeper) join(ctx context.Context) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = initialBackoff
	pauses.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := k.cfg.Platform.Join(call, k.cfg.Self)
		cancel()
		if err == nil {
			k.joinedAt = time.Now()
			k.cfg.Log.Info("box_registered")
			return
		}
		k.cfg.Log.WithError(err).Warn("box_register_failed")
		sleep.For(ctx, pauses.NextBackOff())
	}
}

// reconcile compares the list with the boxes once: it puts this box back on the list if it
// is missing, and removes dead boxes if this box is the first in rank.
func (k *Keeper) reconcile(ctx context.Context, now time.Time) {
	view := k.cfg.Members()
	if _, listed := view.Listed[k.cfg.Self.Name]; !listed && len(view.Listed) > 0 && now.Sub(k.joinedAt) >= rejoinDelay {
		k.join(ctx)
	}
	overdue := k.overdue(now, view)
	if order := k.cfg.Ranked(members.CheckKey); len(order) == 0 || order[0] != k.cfg.Self.Name {
		return
	}
	for _, b := range overdue {
		k.remove(ctx, b)
	}
}

// overdue records which listed boxes are dead, and returns the entries of those that have
// been dead for removeDeadAfter.
func (k *Keeper) overdue(now time.Time, view members.Snapshot) []adapter.Box {
	dead := make(map[string]time.Time)
	var out []adapter.Box
	for _, b := range view.All {
		entry, listed := view.Listed[b.Name]
		if !listed || b.State != member.Dead || b.Address != entry.Address {
			continue
		}
		since, seen := k.deadSince[b.Name]
		if !seen {
			since = now
		}
		dead[b.Name] = since
		if now.Sub(since) >= removeDeadAfter {
			out = append(out, entry)
		}
	}
	k.deadSince = dead
	return out
}

// remove removes a dead box from the list, unless it has rewritten its entry.
func (k *Keeper) remove(ctx context.Context, b adapter.Box) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.cfg.Platform.Remove(call, b.Name, b.Version)
	fields := log.Fields{"peer": b.Name, "version": b.Version, "dead_ms": time.Since(k.deadSince[b.Name]).Milliseconds()}
	switch {
	case err == nil:
		k.cfg.Log.WithFields(fields).Info("dead_box_unregistered")
	case errors.Is(err, adapter.ErrConflict):
		k.cfg.Log.WithFields(fields).Info("dead_box_came_back")
	default:
		k.cfg.Log.WithFields(fields).WithError(err).Info("dead_box_unregister_failed")
	}
}
