// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package follow keeps a box on the newest accepted table. It never returns to an older
// table, whatever the platform or another box offers.
//
// Only the first few boxes in rank watch the platform; they forward each change along a
// tree of boxes. A box that missed a change notices it from the generation in every
// membership message.
package follow

import (
	"context"
	"sync"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/table"
)

// ObjectName is the name of the platform object that holds the table.
const ObjectName = "table/current"

// Platform is the part of the platform's object API that a Follower uses.
type Platform interface {
	Get(ctx context.Context, name string, after uint64) (adapter.Object, error)
	// GetStale reads an object that may be some seconds stale, which costs the platform less.
	GetStale(ctx context.Context, name string) (adapter.Object, error)
}

// Peers sends tables between boxes. Calls must not block.
type Peers interface {
	// SendChange sends a change to some boxes.
	SendChange(d table.Delta, to ...string)
	// SendPull asks a box for the changes after a table.
	SendPull(to string, have table.Stamp)
}

// Config configures a Follower.
type Config struct {
	Self     string
	Platform Platform
	Peers    Peers
	// Ranked returns the boxes with duties in this box's region, in an order for the key
	// that all of them agree on.
	Ranked func(key string) []string
	// Tree returns the same boxes in the order of the tree along which changes of an origin
	// are forwarded; nil uses Ranked.
	Tree func(key, origin string) []string
	// Wait bounds one wait for a newer object; 0 is defaultWait.
	Wait time.Duration
	// Reads reports whether this box reads the platform itself once it has a table; if it is
	// nil, the first few boxes in rank do.
	Reads func() bool
	// Turn returns how long this box leaves it to other boxes to send a change that it has read
	// too; if it is nil, that follows from its rank.
	Turn func() time.Duration
	// Settle bounds how long a starting box waits for other boxes to name their tables
	// before it puts its first table into force; 0 is defaultSettle.
	Settle time.Duration
	// Alone reports whether there is no other box that could name a table; nil means that it isn't
	// known.
	Alone func() bool
	// FirstMayBeStale lets the first read return a table that is some seconds old.
	FirstMayBeStale bool
	Log             log.Logger
}

const (
	defaultWait = 20 * time.Second
	// readTimeout bounds a read that doesn't wait for a change.
	readTimeout    = 1200 * time.Millisecond
	defaultSettle  = 1500 * time.Millisecond
	initialBackoff = 50 * time.Millisecond
	// maxBackoff leaves time for several tries within the 2 s in which a change has to take
	// effect.
	maxBackoff = 500 * time.Millisecond
	// roleCheckInterval is how often a box checks whether it has become one of the boxes
	// that watch the platform.
	roleCheckInterval = 200 * time.Millisecond
	// minNamers is how many boxes have to name their tables before a box that starts puts one into
	// force: a single one may have been cut off.
	minNamers = 2
	// settleFactor times Settle is how long such a box waits for a newer table that others have
	// named.
	settleFactor = 4
	// maxHistory is the number of past tables kept to compute changes from.
	maxHistory = 8
	// minPullInterval prevents a pull with every message while this box is behind. pullGrace
	// is how long a box that learns of a newer table waits for it to arrive along the tree:
	// 1,360 routes added at once reached each of 295 boxes several times and delayed the
	// boxes' other messages by a second.
	minPullInterval = 500 * time.Millisecond
	pullGrace       = 300 * time.Millisecond
)

// Follower holds the table in force and keeps it up to date.
type Follower struct {
	cfg     Config
	started time.Time
	mutex   sync.Mutex
	table   table.Table
	since   time.Time
	// history holds the previous tables, the newest last.
	history       []table.Table
	observers     []func(table.Table)
	platformHeard time.Time
	// unanswered is true if the platform did not answer the last read.
	unanswered bool
	// confirmed is the latest time at which the platform is known, from this box's reads or
	// other boxes' reports, to have had no newer table than the one in force.
	confirmed time.Time
	// pending is the newest table offered before the gate opened.
	pending  table.Table
	gateOpen bool
	// namers holds the boxes that have named their tables, until the gate opens.
	namers map[string]struct{}
	// newestNamed is the stamp of the newest table that another box has named.
	newestNamed table.Stamp
	// behindSince is since when this box has known of a newer table than its own; zero means
	// that it is not behind.
	behindSince time.Time
	// lastPull is when this box last asked another one, lastAsked, for a newer table.
	lastPull  time.Time
	lastAsked string
	// forwarded is the stamp of the newest table that this box has sent on, and origin the box
	// from which that table spreads.
	forwarded table.Stamp
	origin    string
	rejected  uint64
	// refresh ends the pending wait; the object is read again.
	refresh *ring.Ring[struct{}]
}

// New returns a Follower; Run starts it.
func New(cfg Config) *Follower {
	if cfg.Wait <= 0 {
		cfg.Wait = defaultWait
	}
	if cfg.Settle <= 0 {
		cfg.Settle = defaultSettle
	}
	return &Follower{cfg: cfg, started: time.Now(), namers: make(map[string]struct{}), refresh: ring.New[struct{}](1)}
}

// Refresh makes the follower read the object again at once. It is called when the platform
// has dropped its history or was lost, because a pending wait may then never end.
func (f *Follower) Refresh() {
	// A queued refresh serves this call too.
	_ = f.refresh.Offer(struct{}{})
}

// OnChange registers a function that is called with each table that comes into force, in
// order. It must not block.
func (f *Follower) OnChange(fn func(table.Table)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.observers = append(f.observers, fn)
}

// Table returns the table in force; generation 0 means that there is none yet.
func (f *Follower) Table() table.Table {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.table
}

// Status is the part of the status page about the table.
type Status struct {
	Generation uint64
	// Version is the operator's own number of the table; 0 means that it has none.
	Version uint64
	// Since is when the table came into force here.
	Since time.Time
	// PlatformHeard is when the platform last answered this box.
	PlatformHeard time.Time
	// Watching reports whether this box is one of those that watch the platform.
	Watching bool
	// Rejected is the version of the last table object that was not put into force because
	// it is invalid; 0 means none.
	Rejected uint64
}

// Status returns the follower's current status.
func (f *Follower) Status() Status {
	watching := f.watching()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return Status{
		Generation:    f.table.Generation,
		Version:       f.table.Version,
		Since:         f.since,
		PlatformHeard: f.platformHeard,
		Watching:      watching,
		Rejected:      f.rejected,
	}
}

// Offer puts a table from the platform into force and forwards the change, if the table is
// newer.
func (f *Follower) Offer(t table.Table) {
	if change, fresh := f.take(t); fresh {
		f.forwardRead(change)
	}
}

// take puts a table into force if it is newer, and returns the change and whether it did. Until
// the gate is open it only keeps the newest table offered.
func (f *Follower) take(t table.Table) (table.Delta, bool) {
	f.mutex.Lock()
	if !f.gateOpen {
		if t.Stamp().NewerThan(f.pending.Stamp()) {
			f.pending = t
		}
		f.mutex.Unlock()
		f.tryOpenGate()
		return table.Delta{}, false
	}
	defer f.mutex.Unlock()
	return f.apply(t)
}

// logOlder logs that an offered table is older than the one in force. The caller holds the
// mutex.
func (f *Follower) logOlder(t table.Table) {
	if t.Stamp() == f.table.Stamp() {
		return
	}
	f.cfg.Log.WithFields(log.Fields{
		log.FieldGeneration: f.table.Generation, "version": f.table.Version,
		"offered_generation": t.Generation, "offered_version": t.Version,
	}).Info("table_older")
}

// logInForce logs that a table came into force, and how long this box has known that another box
// has a newer table than its former one. The caller holds the mutex.
func (f *Follower) logInForce(t table.Table) {
	behind := time.Duration(0)
	if !f.behindSince.IsZero() {
		behind = time.Since(f.behindSince)
	}
	f.cfg.Log.WithFields(log.Fields{
		log.FieldGeneration: t.Generation, "version": t.Version, "behind_ms": behind.Milliseconds(),
	}).Info("table_in_force")
}

// apply puts a table into force if it is newer, and returns the change and whether it did.
// The caller holds the mutex.
func (f *Follower) apply(t table.Table) (table.Delta, bool) {
	if !t.Stamp().NewerThan(f.table.Stamp()) {
		f.logOlder(t)
		return table.Delta{}, false
	}
	change := table.WholeDelta(t)
	if f.table.Generation > 0 {
		change = table.Diff(f.table, t)
		f.history = append(f.history, f.table)
		f.history = f.history[max(len(f.history)-maxHistory, 0):]
	}
	f.table = t
	f.since = time.Now()
	f.logInForce(t)
	if !f.newestNamed.NewerThan(t.Stamp()) {
		f.behindSince = time.Time{}
	}
	for _, fn := range f.observers {
		fn(t)
	}
	return change, true
}
