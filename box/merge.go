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

// merging combines the table and the directory into the groups that are scheduled.
type merging struct {
	mutex  sync.Mutex
	table  table.Table
	groups group.Groups
	// known is set once the groups include the endpoints of a list that was read.
	known atomic.Bool
}

// setTable puts a new table into force.
func (b *Box) setTable(t table.Table) {
	b.merging.mutex.Lock()
	defer b.merging.mutex.Unlock()
	b.merging.table = t
	if b.routed != nil {
		b.routed.relay.SetTable(t)
		b.routed.quotas.SetTable(t)
	}
	d := b.latestDirectory()
	b.merging.groups = group.NewByRegion(t, d, b.regions)
	b.rebuildNames(d)
	b.applyGroups()
}

// setDirectory stores a new directory. The scheduling parts get it with the next merge,
// together with changes that follow closely; the sending parts read the directory itself.
func (b *Box) setDirectory(d directory.Directory) {
	b.known.Store(&d)
	// A full queue means that a merge is pending already.
	_ = b.routed.directoryChanged.Offer(struct{}{})
}

const (
	// minMergePause is the minimum time between two merges of the directory, and mergeShare
	// the fraction of the time that merging may take.
	minMergePause = 5 * time.Millisecond
	mergeShare    = 0.1
)

// mergeChanges passes changed directories on to the scheduling parts until the context
// ends.
func (b *Box) mergeChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.routed.directoryChanged.C():
		}
		begin := time.Now()
		b.merge()
		took := float64(time.Since(begin))
		sleep.For(ctx, max(time.Duration(took/mergeShare), minMergePause))
	}
}

// latestDirectory returns the newest directory.
func (b *Box) latestDirectory() directory.Directory {
	if d := b.known.Load(); d != nil {
		return *d
	}
	return directory.Directory{}
}

// merge applies the newest directory to the groups.
func (b *Box) merge() {
	b.merging.mutex.Lock()
	defer b.merging.mutex.Unlock()
	d, before := b.latestDirectory(), b.merging.groups
	b.merging.groups = before.With(d)
	ids, remembered := d.ChangedSince(before.Revision())
	names := b.names.Load()
	if !remembered || before.Layout() != b.merging.groups.Layout() || names.Len() > maxNamesFactor*(d.Len()+minNames) {
		b.rebuildNames(d)
	} else {
		names.Add(ids...)
	}
	b.applyGroups()
}

const (
	// The names are rebuilt once there are more than maxNamesFactor*(endpoints+minNames) of
	// them, which drops the names of all removed endpoints at once.
	maxNamesFactor = 2
	minNames       = 2048
)

// rebuildNames collects all names again. The caller holds the mutex.
func (b *Box) rebuildNames(d directory.Directory) {
	t := b.merging.table
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

// applyGroups passes the groups to the router and the homes. The caller holds the mutex.
func (b *Box) applyGroups() {
	b.router.SetGroups(b.merging.groups)
	b.homes.SetGroups(b.merging.groups)
	if b.latestDirectory().Known() {
		b.merging.known.Store(true)
	}
}
