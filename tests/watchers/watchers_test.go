// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package watchers tests how soon an accepted table is in force while boxes that watch the
// platform's store lose it. Boxes, links and the store are simulated; the time is virtual.
package watchers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/discover"
	"runridge.example/runridge/coordination/follow"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/rank"
	"runridge.example/runridge/state/spread"
	"runridge.example/runridge/state/table"
)

const (
	// maxStall is the longest time without a newer table at a box that reaches the store, or
	// reaches such a box, while a table is accepted every changePeriod.
	maxStall     = time.Second
	changePeriod = 200 * time.Millisecond
	// linkDelay is the delay of a message between boxes, and storeDelay that of a call to the
	// store.
	linkDelay  = 2 * time.Millisecond
	storeDelay = time.Millisecond
	// watchMargin is how much earlier than the deadline of a call the store ends a watch.
	watchMargin = 400 * time.Millisecond
	// gossipPeriod is how often a box names its table to one other box.
	gossipPeriod = 250 * time.Millisecond
	// tableWait and settle are the settings of boxes with routed services.
	tableWait = 1500 * time.Millisecond
	settle    = 300 * time.Millisecond
	// startTime is how long the boxes run before the first fault.
	startTime = 6 * time.Second
)

// store is the platform's store: a table that is replaced again and again.
type store struct {
	mutex    sync.Mutex
	revision uint64
	changed  chan struct{}
}

func (s *store) accept() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) state() (uint64, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision, s.changed
}

// mode is how the store treats a box.
type mode int

const (
	up mode = iota
	// silent means that no answer arrives, and refused that each call fails at once.
	silent
	refused
)

var errRefused = errors.New("503")

// door is one box's way to the store.
type door struct {
	store *store
	mutex sync.Mutex
	mode  mode
	moved chan struct{}
	// tableLost fails all calls for the table, and no others.
	tableLost bool
}

func (d *door) set(m mode) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.mode = m
	close(d.moved)
	d.moved = make(chan struct{})
}

func (d *door) state() (mode, <-chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.mode, d.moved
}

func (d *door) isTableLost() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.tableLost
}

// loseTable makes all further calls for the table fail.
func (d *door) loseTable() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.tableLost = true
}

// fail ends a call as a door that is not up ends it.
func (d *door) fail(ctx context.Context, m mode) error {
	if m == refused {
		time.Sleep(storeDelay)
		return errRefused
	}
	<-ctx.Done()
	return ctx.Err()
}

// watch waits until the context's deadline, less watchMargin, for a revision above after, and
// returns the store's revision. An after of none returns at once.
func (d *door) watch(ctx context.Context, after uint64, none bool) (uint64, error) {
	m, moved := d.state()
	if m != up {
		return 0, d.fail(ctx, m)
	}
	time.Sleep(storeDelay)
	deadline, _ := ctx.Deadline()
	wait := max(time.Until(deadline)-watchMargin, 0)
	if none {
		wait = 0
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		revision, changed := d.store.state()
		if revision > after || wait == 0 {
			return revision, nil
		}
		select {
		case <-changed:
		case <-end.C:
			return revision, nil
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-moved:
			if m, _ := d.state(); m != up {
				return 0, d.fail(ctx, m)
			}
			return 0, d.fail(ctx, silent)
		}
	}
}

// Get returns the table.
func (d *door) Get(ctx context.Context, _ string, after uint64) (adapter.Object, error) {
	if d.isTableLost() {
		return adapter.Object{}, d.fail(ctx, silent)
	}
	at, err := d.watch(ctx, after, after == 0)
	if err != nil || at <= after {
		return adapter.Object{At: at}, err
	}
	value, err := json.Marshal(table.Table{Version: at})
	return adapter.Object{Version: at, At: at, Value: value}, err
}

// GetStale returns the table.
func (d *door) GetStale(ctx context.Context, name string) (adapter.Object, error) {
	return d.Get(ctx, name, 0)
}

// Endpoints returns one endpoint.
func (d *door) Endpoints(ctx context.Context, _ bool) ([]directory.Entry, uint64, error) {
	at, err := d.watch(ctx, 0, true)
	return []directory.Entry{{ID: "e", Service: "s"}}, at, err
}

// EndpointChanges waits for changes of endpoints; there are none.
func (d *door) EndpointChanges(ctx context.Context, _ uint64, atOnce bool) ([]directory.Change, uint64, error) {
	at, err := d.watch(ctx, 1<<62, atOnce)
	return nil, at, err
}

// box is one simulated box.
type box struct {
	name       string
	fleet      *fleet
	door       *door
	follower   *follow.Follower
	discoverer *discover.Discoverer

	mutex sync.Mutex
	cut   bool
	// moved is when the table in force changed last, and longest the longest time without a
	// change since the measurement began.
	moved   time.Time
	longest time.Duration
}

type fleet struct {
	store *store
	names []string
	boxes map[string]*box
}

func newFleet(size int) *fleet {
	f := &fleet{store: &store{changed: make(chan struct{}), revision: 1}, boxes: make(map[string]*box)}
	for i := range size {
		f.names = append(f.names, fmt.Sprintf("b%03d", i))
	}
	for _, name := range f.names {
		b := &box{name: name, fleet: f, door: &door{store: f.store, moved: make(chan struct{})}}
		b.discoverer = discover.New(discover.Config{
			Source: b.door, Self: name, Peers: b, Ranked: f.ranked, Log: log.Discard(),
			OnLost: func() { b.follower.Refresh() }, OnReading: func() { b.follower.Refresh() },
			Vouches: func() bool { return b.follower.Reaches() },
		})
		b.follower = follow.New(follow.Config{
			Self: name, Platform: b.door, Peers: b, Ranked: f.ranked, Settle: settle, Wait: tableWait,
			FirstMayBeStale: true, Reads: b.discoverer.Reading, Turn: b.discoverer.Turn, Log: log.Discard(),
		})
		b.follower.OnChange(func(table.Table) { b.noteMoved() })
		f.boxes[name] = b
	}
	return f
}

func (f *fleet) ranked(key string) []string { return rank.Of(f.names).Order(key) }

// at returns the box with a position in the order of the boxes that watch the store.
func (f *fleet) at(position int) *box { return f.boxes[f.ranked("endpoints")[position]] }

// run starts the boxes and the store's changes until the context ends.
func (f *fleet) run(ctx context.Context) {
	f.start(ctx)
	go func() {
		for ctx.Err() == nil {
			time.Sleep(changePeriod)
			f.store.accept()
		}
	}()
}

// start starts the boxes.
func (f *fleet) start(ctx context.Context) {
	for _, b := range f.boxes {
		go func() { _ = b.discoverer.Run(ctx) }()
		go func() { _ = b.follower.Run(ctx) }()
		go b.gossip(ctx)
	}
}

func (b *box) gossip(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(gossipPeriod)
		if to := b.fleet.names[i%len(b.fleet.names)]; to != b.name {
			stamp := b.follower.Table().Stamp()
			b.send(to, func(other *box) { other.follower.Heard(b.name, stamp) })
		}
	}
}

func (b *box) noteMoved() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.longest = max(b.longest, time.Since(b.moved))
	b.moved = time.Now()
}

// measure starts a measurement of the longest time without a newer table.
func (b *box) measure() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.moved, b.longest = time.Now(), 0
}

// stall returns the longest time without a newer table since measure.
func (b *box) stall() time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return max(b.longest, time.Since(b.moved))
}

func (b *box) setCut(cut bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.cut = cut
}

func (b *box) isCut() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.cut
}

// send delivers a message to another box after linkDelay, unless one of them is cut off.
func (b *box) send(to string, deliver func(*box)) {
	other := b.fleet.boxes[to]
	if b.isCut() || other.isCut() {
		return
	}
	time.AfterFunc(linkDelay, func() {
		if !other.isCut() {
			deliver(other)
		}
	})
}

// SendUpdate sends an update of the endpoints, with the stamp of the table.
func (b *box) SendUpdate(u directory.Update, to ...string) {
	stamp := b.follower.Table().Stamp()
	for _, name := range to {
		b.send(name, func(other *box) {
			other.follower.Heard(b.name, stamp)
			other.discoverer.Receive(b.name, u)
		})
	}
}

// SendUpdatePull asks for updates of the endpoints.
func (b *box) SendUpdatePull(to string, have uint64) {
	b.send(to, func(other *box) { other.discoverer.Pull(b.name, have) })
}

// SendChange sends a change of the table.
func (b *box) SendChange(d table.Delta, to ...string) {
	for _, name := range to {
		b.send(name, func(other *box) { other.follower.Receive(b.name, d) })
	}
}

// SendPull asks for changes of the table.
func (b *box) SendPull(to string, have table.Stamp) {
	b.send(to, func(other *box) { other.follower.Pull(b.name, have) })
}

// fault disturbs the box at a position for a time.
type fault struct {
	at, lasts time.Duration
	position  int
	mode      mode
	// frozen cuts the box off from the other boxes too.
	frozen bool
}

// play runs the boxes through the faults and returns how long each box that no fault touches
// went without a newer table, by position.
func play(t *testing.T, size int, faults []fault) map[int]time.Duration {
	t.Helper()
	stalls := make(map[int]time.Duration)
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(size)
		ctx, end := context.WithCancel(t.Context())
		f.run(ctx)
		time.Sleep(startTime)
		touched, length := make(map[int]bool), time.Duration(0)
		for _, b := range f.boxes {
			b.measure()
		}
		for _, x := range faults {
			b := f.at(x.position)
			touched[x.position] = true
			length = max(length, x.at+x.lasts)
			time.AfterFunc(x.at, func() { b.door.set(x.mode); b.setCut(x.frozen) })
			time.AfterFunc(x.at+x.lasts, func() { b.door.set(up); b.setCut(false) })
		}
		time.Sleep(length + 2*maxStall)
		for position := range size {
			if !touched[position] {
				stalls[position] = f.at(position).stall()
			}
		}
		end()
		time.Sleep(time.Minute)
	})
	return stalls
}

// lost returns faults that take the store from some positions at the same time.
func lost(at, lasts time.Duration, m mode, positions ...int) []fault {
	var out []fault
	for _, p := range positions {
		out = append(out, fault{at: at, lasts: lasts, position: p, mode: m})
	}
	return out
}

func TestTablesStallWhileWatchersLoseTheStore(t *testing.T) {
	const s = time.Second
	frozen := func(at, lasts time.Duration, position int) fault {
		return fault{at: at, lasts: lasts, position: position, mode: silent, frozen: true}
	}
	cases := map[string][]fault{
		"the watchers lose it silently":          lost(0, 8*s, silent, 0, 1, 2),
		"the watchers are refused":               lost(0, 8*s, refused, 0, 1, 2),
		"all but the last box lose it silently":  lost(0, 8*s, silent, 0, 1, 2, 3, 4, 5),
		"all but the last box are refused":       lost(0, 8*s, refused, 0, 1, 2, 3, 4, 5),
		"two lose it, the third is frozen later": append(lost(0, 8*s, silent, 0, 1, 3, 4), frozen(2*s+s/10, 5*s, 2)),
		"they lose it in turns":                  slices.Concat(lost(0, 4*s, silent, 0, 2, 4, 5), lost(3*s, 4*s, silent, 1, 3), lost(6*s, 4*s, silent, 0, 2, 4, 5), lost(9*s, 4*s, silent, 1, 3)),
		"they are refused, then cut off":         slices.Concat(lost(0, 6*s, refused, 0, 1, 3, 4, 5), lost(3*s, 8*s, refused, 2), lost(9*s, 4*s, silent, 0, 1, 3)),
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			for position, stall := range play(t, 7, faults) {
				if stall > maxStall {
					t.Errorf("the box at position %d had no newer table for %v, want at most %v", position, stall, maxStall)
				}
			}
		})
	}
}

// randomFaults draws faults that leave one box alone.
func randomFaults(random *rand.Rand, size int) []fault {
	alone := random.IntN(size)
	var out []fault
	free := make(map[int]time.Duration)
	for at := time.Duration(0); at < 30*time.Second; at += time.Duration(500+random.IntN(3000)) * time.Millisecond {
		m, share := silent, 0.3+0.7*random.Float64()
		if random.IntN(2) == 0 {
			m = refused
		}
		lasts := time.Duration(1000+random.IntN(6000)) * time.Millisecond
		frozen := random.IntN(4) == 0
		for position := range size {
			if position == alone || free[position] > at || random.Float64() > share {
				continue
			}
			free[position] = at + lasts
			out = append(out, fault{at: at, lasts: lasts, position: position, mode: m, frozen: frozen && random.IntN(3) == 0})
		}
	}
	return out
}

func TestTablesStallUnderRandomLosses(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			faults := randomFaults(rand.New(rand.NewPCG(seed, 63)), 7)
			stalls := play(t, 7, faults)
			for _, position := range slices.Sorted(maps.Keys(stalls)) {
				if stalls[position] > maxStall {
					t.Errorf("the box at position %d had no newer table for %v, want at most %v", position, stalls[position], maxStall)
				}
			}
		})
	}
}

// maxDelay is the time within which an accepted table is in force at each box that is not disturbed.
const maxDelay = 2 * time.Second

func TestReadersWithoutTheTableKeepOthersFromReadingIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7)
		ctx, end := context.WithCancel(t.Context())
		f.run(ctx)
		time.Sleep(startTime)
		for position := range 3 {
			f.at(position).door.loseTable()
		}
		time.Sleep(2 * maxDelay)
		for _, b := range f.boxes {
			b.measure()
		}
		time.Sleep(10 * time.Second)
		for _, name := range f.names {
			if stall := f.boxes[name].stall(); stall > maxDelay {
				t.Errorf("%s had no newer table for %v, want at most %v", name, stall, maxDelay)
			}
		}
		end()
		time.Sleep(time.Minute)
	})
}

func TestOneBoxThatStandsStillHoldsChangesBackFromOthers(t *testing.T) {
	// soon is enough for a read, the turns of two readers and the links between boxes.
	const soon = 250 * time.Millisecond
	for _, size := range []int{7, 60} {
		t.Run(fmt.Sprintf("%d boxes", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(size)
				ctx, end := context.WithCancel(t.Context())
				f.start(ctx)
				time.Sleep(startTime)
				late := 0
				for position := range size {
					still := f.at(position)
					still.door.set(silent)
					still.setCut(true)
					f.store.accept()
					time.Sleep(soon)
					newest, _ := f.store.state()
					for _, b := range f.boxes {
						if b != still && b.follower.Table().Version != newest {
							late++
						}
					}
					still.door.set(up)
					still.setCut(false)
					time.Sleep(3 * time.Second)
				}
				// Only boxes below one that forwards may have to ask.
				if want := max(size-1-spread.Fanout, 0); late > want {
					t.Errorf("%d times a box had a change late, want at most %d", late, want)
				}
				end()
				time.Sleep(time.Minute)
			})
		})
	}
}
