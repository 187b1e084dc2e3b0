// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"runridge.example/runridge/modules/sleep"
	"runridge.example/runridge/protocol/boxwire"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/table"
)

// merging joins the table and the directory into the groups that are scheduled.
type merging struct {
	mutex   sync.Mutex
	inForce table.Table
	groups  group.Groups
	// known says that the groups have the endpoints of a list that was read.
	known atomic.Bool
}

// setTable puts a new table into force.
func (b *Box) setTable(t table.Table) {
	b.merging.mutex.Lock()
	defer b.merging.mutex.Unlock()
	b.merging.inForce = t
	if b.routed != nil {
		b.routed.relay.SetTable(t)
		b.routed.quotas.SetTable(t)
	}
	d := b.latest()
	b.merging.groups = group.NewByRegion(t, d, b.regions)
	b.gatherNames(d)
	b.schedule()
}

// setDirectory notes a new directory. What schedules gets it soon, together
// with those that follow closely; what sends asks the directory itself.
func (b *Box) setDirectory(d directory.Directory) {
	b.known.Store(&d)
	// One that waits already says the same.
	_ = b.routed.changed.Offer(struct{}{})
}

const (
	// leastMergePause is the least time between two merges of the directory,
	// and mergeShare the part of the time that merging may take.
	leastMergePause = 5 * time.Millisecond
	mergeShare      = 0.1
)

// mergeChanges is the duty that gives changed directories to what schedules.
func (b *Box) mergeChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.routed.changed.C():
		}
		begin := time.Now()
		b.merge()
		took := float64(time.Since(begin))
		sleep.For(ctx, max(time.Duration(took/mergeShare), leastMergePause))
	}
}

// latest is the newest directory.
func (b *Box) latest() directory.Directory {
	if d := b.known.Load(); d != nil {
		return *d
	}
	return directory.Directory{}
}

// merge takes the newest directory over into the groups.
func (b *Box) merge() {
	b.merging.mutex.Lock()
	defer b.merging.mutex.Unlock()
	d, before := b.latest(), b.merging.groups
	b.merging.groups = before.With(d)
	ids, remembered := d.ChangedSince(before.Revision())
	names := b.names.Load()
	if !remembered || before.Layout() != b.merging.groups.Layout() || names.Len() > namesKept*(d.Len()+leastNames) {
		b.gatherNames(d)
	} else {
		names.Add(ids...)
	}
	b.schedule()
}

const (
	// namesKept is how many times the names there are may be known, and leastNames
	// how many are at least: those of endpoints that have gone are dropped all at
	// once.
	namesKept  = 2
	leastNames = 2048
)

// gatherNames collects all names anew. The mutex is held.
func (b *Box) gatherNames(d directory.Directory) {
	t := b.merging.inForce
	accounts := make([]string, 0, len(t.Accounts))
	for _, a := range t.Accounts {
		accounts = append(accounts, a.Name)
	}
	endpoints := d.IDs()
	for _, e := range t.Endpoints {
		endpoints = append(endpoints, e.Name)
	}
	b.names.Store(boxwire.NewNames(slices.Clone(b.merging.groups.Layout().Keys()), endpoints, accounts))
}

// schedule gives the groups to all that schedules. The mutex is held.
func (b *Box) schedule() {
	b.router.SetGroups(b.merging.groups)
	b.homes.SetGroups(b.merging.groups)
	if b.latest().Known() {
		b.merging.known.Store(true)
	}
}
