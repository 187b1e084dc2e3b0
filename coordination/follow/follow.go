// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package follow keeps a box on the newest accepted table. It never goes back
// to an older table, whatever the platform or another box says.
//
// Only the first few boxes in rank watch the platform; they pass each change
// on along a tree of boxes, and a box that missed it notices from the
// generation that every membership message carries.
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

// ObjectName is the platform object that holds the table.
const ObjectName = "table/current"

// Platform is what following needs of the object API.
type Platform interface {
	Get(ctx context.Context, name string, after uint64) (adapter.Object, error)
	// GetOld reads an object as it may have stood some seconds ago, which costs
	// the platform less.
	GetOld(ctx context.Context, name string) (adapter.Object, error)
}

// Peers passes tables between boxes. Calls must not block.
type Peers interface {
	// SendChange sends a change to some boxes.
	SendChange(d table.Delta, to ...string)
	// SendPull asks a box for what came after a table.
	SendPull(to string, have table.Stamp)
}

// Config configures a Follower.
type Config struct {
	Self     string
	Platform Platform
	Peers    Peers
	// Ranked lists the boxes with duties of this box's region in an order that all
	// of them agree on for a key.
	Ranked func(key string) []string
	// Tree orders them for the tree in which what an origin tells goes round; nil is by
	// Ranked.
	Tree func(key, origin string) []string
	// Wait bounds one watch.
	Wait time.Duration
	// Reads says whether this box reads the platform itself once it has a table;
	// nil leaves it to the first few boxes in rank.
	Reads func() bool
	// Settle bounds how long a starting box waits for the others' word before
	// it puts its first table into force.
	Settle time.Duration
	// FirstAtOnce puts the first table read into force without waiting for the others'
	// word on it.
	FirstAtOnce bool
	Log         log.Logger
}

const (
	defaultWait = 20 * time.Second
	// readTimeout bounds a read that does not wait for a change.
	readTimeout   = 1200 * time.Millisecond
	defaultSettle = 1500 * time.Millisecond
	firstPause    = 50 * time.Millisecond
	longestPause  = 2 * time.Second
	// watchLook is how often a box looks whether it has become one of them.
	watchLook = 200 * time.Millisecond
	// history is how many tables are kept to make changes from.
	history = 8
	// pullPause keeps one lag from being asked about with every message, and
	// pullGrace is how long a box that hears of a newer table waits for it to come
	// along the tree: 1,360 routes added at once came to each of 295 boxes several
	// times, and held up the boxes' other messages for a second.
	pullPause = 500 * time.Millisecond
	pullGrace = 300 * time.Millisecond
)

// Follower holds the table in force.
type Follower struct {
	cfg   Config
	mutex sync.Mutex
	table table.Table
	since time.Time
	// past are the tables before, the newest last.
	past     []table.Table
	watchers []func(table.Table)
	heard    time.Time
	// confirmed is when the platform had no newer table than the one in force, as
	// far as this box or another has told.
	confirmed time.Time
	// pending is the newest table offered before the gate opened.
	pending table.Table
	open    bool
	// others is the newest table that another box has named.
	others table.Stamp
	// behind is since when this box has known of a newer table than its own.
	behind   time.Time
	pulled   time.Time
	rejected uint64
	// refresh ends the wait under way; the object is read anew.
	refresh *ring.Ring[struct{}]
}

// New makes a follower; Run starts it.
func New(cfg Config) *Follower {
	if cfg.Wait <= 0 {
		cfg.Wait = defaultWait
	}
	if cfg.Settle <= 0 {
		cfg.Settle = defaultSettle
	}
	return &Follower{cfg: cfg, refresh: ring.New[struct{}](1)}
}

// Refresh has the object read anew at once: the platform has forgotten its
// history, or was lost, so that a wait under way may never end.
func (f *Follower) Refresh() {
	// One that waits already says the same.
	_ = f.refresh.Offer(struct{}{})
}

// OnChange registers a function that gets each table that comes into force.
// It is called in the order of generations, and must not block.
func (f *Follower) OnChange(fn func(table.Table)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.watchers = append(f.watchers, fn)
}

// Table is the table in force; generation 0 means that there is none yet.
func (f *Follower) Table() table.Table {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.table
}

// Status is what operators are told.
type Status struct {
	Generation uint64
	// Version is the operator's own number of the table; 0 is none.
	Version uint64
	// Since is when the table came into force here.
	Since time.Time
	// PlatformHeard is when the platform last answered this box.
	PlatformHeard time.Time
	// Watching says whether this box is one of those that watch the platform.
	Watching bool
	// Rejected is the version of a table object that was not put into force
	// because it is not valid; 0 is none.
	Rejected uint64
}

// Status says where this box stands.
func (f *Follower) Status() Status {
	watching := f.watching()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return Status{
		Generation:    f.table.Generation,
		Version:       f.table.Version,
		Since:         f.since,
		PlatformHeard: f.heard,
		Watching:      watching,
		Rejected:      f.rejected,
	}
}

// Offer takes a table from the platform or from another box and puts it into
// force if it is newer. Until the gate is open it only keeps it.
func (f *Follower) Offer(t table.Table) {
	f.mutex.Lock()
	if !f.open {
		if t.Stamp().After(f.pending.Stamp()) {
			f.pending = t
		}
		f.mutex.Unlock()
		f.tryOpen(false)
		return
	}
	change, fresh := f.enforce(t)
	f.mutex.Unlock()
	if fresh {
		f.pass(change)
	}
}

// noteOlder writes that a table was offered which is older than the one in force. The mutex
// is held.
func (f *Follower) noteOlder(t table.Table) {
	if t.Stamp() == f.table.Stamp() {
		return
	}
	f.cfg.Log.WithFields(log.Fields{
		log.FieldGeneration: f.table.Generation, "version": f.table.Version,
		"offered_generation": t.Generation, "offered_version": t.Version,
	}).Info("table_older")
}

// enforce puts a newer table into force and returns the change. The mutex is
// held.
func (f *Follower) enforce(t table.Table) (table.Delta, bool) {
	if !t.Stamp().After(f.table.Stamp()) {
		f.noteOlder(t)
		return table.Delta{}, false
	}
	change := table.WholeDelta(t)
	if f.table.Generation > 0 {
		change = table.Diff(f.table, t)
		f.past = append(f.past, f.table)
		f.past = f.past[max(len(f.past)-history, 0):]
	}
	f.table = t
	f.since = time.Now()
	f.cfg.Log.WithFields(log.Fields{log.FieldGeneration: t.Generation, "version": t.Version}).Info("table_in_force")
	for _, fn := range f.watchers {
		fn(t)
	}
	return change, true
}
