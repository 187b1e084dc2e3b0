// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package registry keeps the platform's list of boxes true: this box is on it
// while it runs, and boxes that have been gone for long are taken off by one of
// the others. A box that stops leaves its entry, which it finds again if it
// only restarts.
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

// Platform keeps the list.
type Platform interface {
	// Join puts a box on the list, in place of what stands under its name.
	Join(ctx context.Context, b adapter.Box) error
	// Remove takes a box off the list if its entry still has the version; 0 is
	// any. It returns adapter.ErrConflict if it has another.
	Remove(ctx context.Context, name string, version uint64) error
}

// Config configures a Keeper.
type Config struct {
	Self     adapter.Box
	Platform Platform
	// Members is the view of the boxes, with the list as last read.
	Members func() members.Snapshot
	// Ranked lists the boxes with duties in an order that all boxes agree on
	// for a key.
	Ranked func(key string) []string
	Log    log.Logger
}

const (
	callTimeout  = 2 * time.Second
	firstPause   = 100 * time.Millisecond
	longestPause = 2 * time.Second
	// lookEvery is how often the list is compared with the boxes.
	lookEvery = 5 * time.Second
	// deadFor is how long a box has to be dead before it is taken off, and
	// joinedFor how long after its entry was written a box trusts a list that
	// lacks it: the list lags.
	deadFor   = 20 * time.Second
	joinedFor = 10 * time.Second
	// firstList bounds the wait for the first reading of the list, and listLook is
	// how often it is looked for.
	firstList = time.Second
	listLook  = 50 * time.Millisecond
)

// Keeper is the duty.
type Keeper struct {
	cfg    Config
	joined time.Time
	// dead is since when each listed box has been seen dead.
	dead map[string]time.Time
}

// New makes the duty; Run starts it.
func New(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, dead: make(map[string]time.Time)}
}

// Run keeps the list true until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	if !k.standsListed(ctx) {
		k.join(ctx)
	}
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			k.look(ctx, time.Now())
		}
	}
}

// standsListed waits for the first reading of the list and says whether this
// box's entry stands on it as it is. It does after a restart: a rolling restart
// of all boxes would otherwise cost the platform two writes for each.
func (k *Keeper) standsListed(ctx context.Context) bool {
	for waited := time.Duration(0); waited < firstList && ctx.Err() == nil; waited += listLook {
		if listed := k.cfg.Members().Listed; listed != nil {
			entry, found := listed[k.cfg.Self.Name]
			return found && entry.Address == k.cfg.Self.Address && entry.Zone == k.cfg.Self.Zone && entry.Wire == k.cfg.Self.Wire
		}
		sleep.For(ctx, listLook)
	}
	return false
}

// join puts this box on the list and keeps trying until it is.
func (k *Keeper) join(ctx context.Context) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause
	pauses.MaxInterval = longestPause
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := k.cfg.Platform.Join(call, k.cfg.Self)
		cancel()
		if err == nil {
			k.joined = time.Now()
			k.cfg.Log.Info("box_registered")
			return
		}
		k.cfg.Log.WithError(err).Warn("box_register_failed")
		sleep.For(ctx, pauses.NextBackOff())
	}
}

// look compares the list with the boxes once.
func (k *Keeper) look(ctx context.Context, now time.Time) {
	view := k.cfg.Members()
	if _, listed := view.Listed[k.cfg.Self.Name]; !listed && len(view.Listed) > 0 && now.Sub(k.joined) >= joinedFor {
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

// overdue notes which listed boxes are dead and returns those that have been
// for long.
func (k *Keeper) overdue(now time.Time, view members.Snapshot) []adapter.Box {
	dead := make(map[string]time.Time)
	var out []adapter.Box
	for _, b := range view.All {
		entry, listed := view.Listed[b.Name]
		if !listed || b.State != member.Dead || b.Address != entry.Address {
			continue
		}
		since, seen := k.dead[b.Name]
		if !seen {
			since = now
		}
		dead[b.Name] = since
		if now.Sub(since) >= deadFor {
			out = append(out, entry)
		}
	}
	k.dead = dead
	return out
}

// remove takes a dead box off the list, unless it has written its entry anew.
func (k *Keeper) remove(ctx context.Context, b adapter.Box) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.cfg.Platform.Remove(call, b.Name, b.Version)
	fields := log.Fields{"peer": b.Name, "version": b.Version, "dead_ms": time.Since(k.dead[b.Name]).Milliseconds()}
	switch {
	case err == nil:
		k.cfg.Log.WithFields(fields).Info("dead_box_unregistered")
	case errors.Is(err, adapter.ErrConflict):
		k.cfg.Log.WithFields(fields).Info("dead_box_came_back")
	default:
		k.cfg.Log.WithFields(fields).WithError(err).Info("dead_box_unregister_failed")
	}
}
