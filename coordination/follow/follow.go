// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package follow keeps a box on the newest accepted table. It never goes back
// to an older generation, whatever the platform or another box says.
//
// Only the first few boxes in rank watch the platform; they pass each change
// on along a tree of boxes, and a box that missed it notices from the
// generation that every membership message carries.
package follow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/modules/sleep"
	"runridge.example/runridge/state/cover"
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
	// SendPull asks a box for what came after a generation.
	SendPull(to string, have uint64)
}

// Config configures a Follower.
type Config struct {
	Self     string
	Platform Platform
	Peers    Peers
	// Ranked lists the boxes with duties in an order that all boxes agree on
	// for a key.
	Ranked func(key string) []string
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
	// fanout is how many boxes one passes a change on to.
	fanout = 8
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
	// others is the highest generation that another box has named.
	others uint64
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
		Since:         f.since,
		PlatformHeard: f.heard,
		Watching:      watching,
		Rejected:      f.rejected,
	}
}

// Offer takes a table from the platform or from another box and puts it into
// force if its generation is newer. Until the gate is open it only keeps it.
func (f *Follower) Offer(t table.Table) {
	f.mutex.Lock()
	if !f.open {
		if t.Generation > f.pending.Generation {
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

// enforce puts a newer table into force and returns the change. The mutex is
// held.
func (f *Follower) enforce(t table.Table) (table.Delta, bool) {
	if t.Generation <= f.table.Generation {
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
	f.cfg.Log.WithFields(log.Fields{log.FieldGeneration: t.Generation}).Info("table_in_force")
	for _, fn := range f.watchers {
		fn(t)
	}
	return change, true
}

// pass sends a change on to this box's children in the tree. The tree is drawn
// anew for each generation, so that no box carries all changes, and its root
// gets the change from whoever watches the platform.
func (f *Follower) pass(change table.Delta) {
	order := f.cfg.Ranked(fmt.Sprintf("table@%d", change.Generation))
	at := slices.Index(order, f.cfg.Self)
	if at < 0 {
		return
	}
	var to []string
	if at > 0 && f.watching() {
		to = append(to, order[0])
	}
	first := min(at*fanout+1, len(order))
	to = append(to, order[first:min(first+fanout, len(order))]...)
	if len(to) > 0 {
		f.cfg.Peers.SendChange(change, to...)
	}
}

// Receive takes a change from another box.
func (f *Follower) Receive(from string, d table.Delta) {
	f.mutex.Lock()
	current := f.table
	if !f.open {
		current = f.pending
	}
	f.mutex.Unlock()
	if d.Generation <= current.Generation {
		return
	}
	next, fits := current.WithDelta(d)
	if !fits {
		f.cfg.Peers.SendPull(from, current.Generation)
		return
	}
	f.Offer(next)
}

// Pull answers a box that has an older table.
func (f *Follower) Pull(from string, have uint64) {
	f.mutex.Lock()
	current, change := f.table, table.WholeDelta(f.table)
	for _, old := range f.past {
		if old.Generation == have {
			change = table.Diff(old, current)
		}
	}
	f.mutex.Unlock()
	if current.Generation > have {
		f.cfg.Peers.SendChange(change, from)
	}
}

// Heard takes in the generation that another box has in force, and asks for
// it if it is newer.
func (f *Follower) Heard(from string, generation uint64) {
	f.mutex.Lock()
	f.others = max(f.others, generation)
	have := max(f.table.Generation, f.pending.Generation)
	now := time.Now()
	switch {
	case f.others <= have:
		f.behind = time.Time{}
	case f.behind.IsZero():
		f.behind = now
	}
	// One that starts has put nothing into force yet and asks at once.
	waited := !f.open || now.Sub(f.behind) >= pullGrace
	ask := generation > have && waited && now.Sub(f.pulled) >= pullPause
	if ask {
		f.pulled = now
	}
	f.mutex.Unlock()
	if ask {
		f.cfg.Peers.SendPull(from, have)
	}
	f.tryOpen(false)
}

// tryOpen opens the gate once this box has a table that is as new as any that
// another box has named, or when it has waited long enough. So a box that
// starts from a stale read does not put an older table into force than the
// box that it replaces had.
func (f *Follower) tryOpen(late bool) {
	f.mutex.Lock()
	ready := f.pending.Generation > 0 && f.others > 0 && f.pending.Generation >= f.others
	if f.open || !ready && !late || f.pending.Generation == 0 {
		f.mutex.Unlock()
		return
	}
	f.open = true
	change, fresh := f.enforce(f.pending)
	f.mutex.Unlock()
	if fresh {
		f.pass(change)
	}
}

// watching says whether this box is one of those that watch the platform. One
// that has no table yet always is.
func (f *Follower) watching() bool {
	f.mutex.Lock()
	none := f.table.Generation == 0
	f.mutex.Unlock()
	if none {
		return true
	}
	if f.cfg.Reads != nil {
		return f.cfg.Reads()
	}
	order := f.cfg.Ranked(ObjectName)
	return slices.Contains(order[:min(cover.Readers, len(order))], f.cfg.Self)
}

// Run watches the platform's object until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	settle := time.AfterFunc(f.cfg.Settle, func() { f.tryOpen(true) })
	defer settle.Stop()
	begun := time.Now()
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause
	pauses.MaxInterval = longestPause
	version := uint64(0)
	for ctx.Err() == nil {
		if !f.watching() {
			// What happened meanwhile came from others; the object is read anew.
			version = 0
			sleep.For(ctx, watchLook)
			continue
		}
		next, err := f.once(ctx, version)
		if errors.Is(err, adapter.ErrHistoryGone) || errors.Is(err, errRefresh) {
			version = 0
			sleep.For(ctx, pauses.NextBackOff())
			continue
		}
		if time.Since(begun) > f.cfg.Settle {
			f.tryOpen(true)
		}
		if err == nil {
			if version > 0 {
				// The object alone does not show that it can be watched.
				pauses.Reset()
			}
			version = next
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.cfg.Log.WithError(err).Warn("platform_watch_failed")
		sleep.For(ctx, pauses.NextBackOff())
	}
	return nil
}

// errRefresh ends a wait because the object has to be read anew.
var errRefresh = errors.New("the object is read anew")

// endOnRefresh ends a wait when a refresh is asked for.
func (f *Follower) endOnRefresh(call context.Context, end context.CancelFunc) {
	select {
	case <-call.Done():
	case <-f.refresh.C():
		end()
	}
}

// once reads or watches the object once and returns the version to go on from.
func (f *Follower) once(ctx context.Context, version uint64) (uint64, error) {
	bound := f.cfg.Wait
	if version == 0 {
		bound = min(bound, readTimeout)
	}
	call, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	begun := time.Now()
	if version > 0 {
		go f.endOnRefresh(call, cancel)
	}
	o, err := f.get(call, version)
	if errors.Is(call.Err(), context.Canceled) && ctx.Err() == nil {
		return version, errRefresh
	}
	if err != nil {
		return version, err
	}
	f.mutex.Lock()
	f.heard = time.Now()
	f.mutex.Unlock()
	next := max(o.Version, o.At)
	if len(o.Value) == 0 {
		f.confirm(begun)
		return max(version, next), nil
	}
	t, err := Decode(o)
	if err == nil {
		if problems := t.Check(); len(problems) > 0 {
			err = problems
		}
	}
	if err != nil {
		// Whoever wrote it went past the check; the last good table stays.
		f.cfg.Log.WithFields(log.Fields{log.FieldGeneration: o.Version}).WithError(err).Error("table_rejected")
		f.mutex.Lock()
		f.rejected = o.Version
		f.mutex.Unlock()
		return next, nil
	}
	old := f.mayBeOld(version)
	f.Offer(t)
	if !old {
		f.confirm(begun)
	}
	if f.cfg.FirstAtOnce && version == 0 {
		f.tryOpen(true)
	}
	return next, nil
}

// mayBeOld says whether the object is read as it may have stood some time ago.
func (f *Follower) mayBeOld(version uint64) bool {
	return version == 0 && f.cfg.FirstAtOnce && f.Table().Generation == 0
}

// get reads the object, or waits for a newer version. A box without a table
// takes one that may be old: a newer generation is asked for as soon as another
// box names it, and a box that reads the platform itself goes on from there.
func (f *Follower) get(ctx context.Context, version uint64) (adapter.Object, error) {
	if f.mayBeOld(version) {
		return f.cfg.Platform.GetOld(ctx, ObjectName)
	}
	return f.cfg.Platform.Get(ctx, ObjectName, version)
}

// Decode reads the table from its object. The object's version is the table's
// generation: the platform makes it grow with each accepted write.
func Decode(o adapter.Object) (table.Table, error) {
	var t table.Table
	if err := json.Unmarshal(o.Value, &t); err != nil {
		return t, fmt.Errorf("table object version %d: %w", o.Version, err)
	}
	return t.WithGeneration(o.Version), nil
}
