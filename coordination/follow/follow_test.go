// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/table"
)

// call is a read of the object.
type call struct {
	after uint64
	// bound is the time left until the read's deadline.
	bound time.Duration
	ctx   context.Context
	reply chan reply
}

type reply struct {
	object adapter.Object
	err    error
}

// scriptedPlatform passes each read to the test, which answers it.
type scriptedPlatform struct{ calls chan call }

func (s scriptedPlatform) Get(ctx context.Context, _ string, after uint64) (adapter.Object, error) {
	deadline, _ := ctx.Deadline()
	c := call{after: after, bound: time.Until(deadline), ctx: ctx, reply: make(chan reply, 1)}
	select {
	case s.calls <- c:
	case <-ctx.Done():
		return adapter.Object{}, ctx.Err()
	}
	select {
	case r := <-c.reply:
		return r.object, r.err
	case <-ctx.Done():
		return adapter.Object{}, ctx.Err()
	}
}

func (s scriptedPlatform) GetStale(ctx context.Context, name string) (adapter.Object, error) {
	return s.Get(ctx, name, 0)
}

// silentPeers drops all messages to other boxes.
type silentPeers struct{}

func (silentPeers) SendChange(table.Delta, ...string) {}
func (silentPeers) SendPull(string, table.Stamp)      {}

func object(t *testing.T, generation uint64) adapter.Object {
	t.Helper()
	value, err := json.Marshal(table.Table{})
	if err != nil {
		t.Fatal(err)
	}
	return adapter.Object{Version: generation, Value: value}
}

// startFollower runs a follower whose reads the test answers.
func startFollower(t *testing.T) (*Follower, scriptedPlatform) {
	t.Helper()
	return startFollowerWith(t, Config{Settle: time.Nanosecond})
}

// startFollowerWith is like startFollower with the given configuration.
func startFollowerWith(t *testing.T, cfg Config) (*Follower, scriptedPlatform) {
	t.Helper()
	platform := scriptedPlatform{calls: make(chan call)}
	cfg.Self, cfg.Platform, cfg.Peers = "box-1", platform, silentPeers{}
	cfg.Reads = func() bool { return true }
	cfg.Ranked = func(string) []string { return []string{"box-1"} }
	cfg.Wait, cfg.Log = time.Minute, log.Discard()
	f := New(cfg)
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = f.Run(ctx)
	}()
	t.Cleanup(func() {
		end()
		<-ended
	})
	return f, platform
}

func TestReads(t *testing.T) {
	convey.Convey("A read that doesn't wait for a change has a short timeout, so that a silent platform costs little", t, func() {
		_, platform := startFollower(t)
		first := <-platform.calls
		convey.So(first.after, convey.ShouldEqual, 0)
		convey.So(first.bound, convey.ShouldBeLessThanOrEqualTo, readTimeout)
		first.reply <- reply{object: object(t, 5)}
		wait := <-platform.calls
		convey.So(wait.after, convey.ShouldEqual, 5)
		convey.So(wait.bound, convey.ShouldBeGreaterThan, readTimeout)
	})
	convey.Convey("After a dropped history the object is read again, and no older table is taken", t, func() {
		f, platform := startFollower(t)
		(<-platform.calls).reply <- reply{object: object(t, 5)}
		(<-platform.calls).reply <- reply{err: adapter.ErrHistoryGone}
		again := <-platform.calls
		convey.So(again.after, convey.ShouldEqual, 0)
		again.reply <- reply{object: object(t, 4)}
		<-platform.calls
		convey.So(f.Table().Generation, convey.ShouldEqual, 5)
	})
	convey.Convey("A refresh ends a wait that may never end by itself and reads the object again", t, func() {
		f, platform := startFollower(t)
		(<-platform.calls).reply <- reply{object: object(t, 5)}
		stuck := <-platform.calls
		f.Refresh()
		<-stuck.ctx.Done()
		again := <-platform.calls
		convey.So(again.after, convey.ShouldEqual, 0)
		again.reply <- reply{object: object(t, 9)}
		<-platform.calls
		convey.So(f.Table().Generation, convey.ShouldEqual, 9)
	})
	convey.Convey("A watch goes on from the platform's position, not from the object's", t, func() {
		_, platform := startFollower(t)
		o := object(t, 5)
		o.At = 8
		(<-platform.calls).reply <- reply{object: o}
		convey.So((<-platform.calls).after, convey.ShouldEqual, 8)
	})
	convey.Convey("A follower never takes an older generation from another box", t, func() {
		f, platform := startFollower(t)
		(<-platform.calls).reply <- reply{object: object(t, 5)}
		<-platform.calls
		f.Offer(table.Table{Generation: 5, Zones: []table.Zone{{Name: "again"}}})
		f.Offer(table.Table{Generation: 4})
		convey.So(f.Table().Generation, convey.ShouldEqual, 5)
		convey.So(f.Table().Zones, convey.ShouldBeEmpty)
	})
}

func TestFirstTable(t *testing.T) {
	cases := map[string]struct {
		alone bool
		want  uint64
	}{
		"a box without others needs no report from one": {alone: true, want: 5},
		"a box that may have others waits for it":       {alone: false, want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("When all boxes start at once, no box names a table", t, func() {
				f, platform := startFollowerWith(t, Config{Settle: time.Hour, Alone: func() bool { return c.alone }})
				(<-platform.calls).reply <- reply{object: object(t, 5)}
				<-platform.calls
				convey.So(f.Table().Generation, convey.ShouldEqual, c.want)
			})
		})
	}
}

// TestTablesOfAnOlderStore offers a box that holds version 16, of generation 28, another
// table from the store or from another box. A store restored from an older copy may give a
// later version a lower generation.
func TestTablesOfAnOlderStore(t *testing.T) {
	route := func(n int) []table.Route { return []table.Route{{Name: fmt.Sprintf("r%d", n)}} }
	known := table.Table{Version: 16, Generation: 28, Routes: route(16)}
	cases := map[string]struct {
		offered table.Table
		taken   bool
	}{
		"a later version under a lower generation":  {offered: table.Table{Version: 20, Generation: 24, Routes: route(20)}, taken: true},
		"an earlier version under a higher one":     {offered: table.Table{Version: 13, Generation: 30, Routes: route(13)}},
		"the same version under a lower one":        {offered: table.Table{Version: 16, Generation: 24, Routes: route(16)}},
		"no version, under a higher one":            {offered: table.Table{Generation: 29, Routes: route(1)}, taken: true},
		"no version, under a lower one":             {offered: table.Table{Generation: 24, Routes: route(1)}},
		"the same version, written again, of more":  {offered: table.Table{Version: 16, Generation: 31, Routes: route(16)}, taken: true},
		"a later version under the same generation": {offered: table.Table{Version: 20, Generation: 28, Routes: route(20)}, taken: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ways := map[string]func(f *Follower){
				"from the store":                func(f *Follower) { f.Offer(c.offered) },
				"from another box":              func(f *Follower) { f.Receive("box-2", table.WholeDelta(c.offered)) },
				"from another box, as a change": func(f *Follower) { f.Receive("box-2", table.Diff(known, c.offered)) },
			}
			for way, offer := range ways {
				f := New(Config{Self: "box-1", Peers: silentPeers{}, Ranked: func(string) []string { return nil }, Log: log.Discard()})
				f.gateOpen = true
				f.Offer(known)
				offer(f)
				want := known
				if c.taken {
					want = c.offered
				}
				if got := f.Table(); got.Stamp() != want.Stamp() || got.Routes[0].Name != want.Routes[0].Name {
					t.Errorf("%s: has %+v, want %+v", way, got.Stamp(), want.Stamp())
				}
			}
		})
	}
}

// pullCounter counts the pulls that a box sends.
type pullCounter struct {
	silentPeers
	asked *atomic.Int64
}

func (p pullCounter) SendPull(string, table.Stamp) { p.asked.Add(1) }

func TestNewerTablesAreAskedFor(t *testing.T) {
	cases := map[string]struct {
		have uint64
		// starts is set for a box that has put no table into force yet.
		starts bool
		// heard is the generation that others name every 100 ms; comes reports whether that
		// table arrives along the tree after 200 ms.
		heard uint64
		comes bool
		want  int
	}{
		"a box without a table asks at once":           {starts: true, heard: 5, want: 1},
		"one that starts on an old table asks at once": {starts: true, have: 4, heard: 5, want: 1},
		"one that the tree reaches in time never asks": {have: 4, heard: 5, comes: true},
		"one that it does not reach asks after a wait": {have: 4, heard: 5, want: 1},
		"nothing newer": {have: 5, heard: 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var asked atomic.Int64
				f := New(Config{Self: "box-1", Peers: pullCounter{asked: &asked}, Ranked: func(string) []string { return nil }, Log: log.Discard()})
				f.gateOpen = !c.starts
				f.Offer(table.Table{Generation: c.have})
				f.Heard("box-2", table.Stamp{Generation: c.heard})
				if c.starts != (asked.Load() == 1) {
					t.Errorf("asked at once: %v", asked.Load() == 1)
				}
				for k := range 5 {
					if c.comes && k == 2 {
						f.Offer(table.Table{Generation: c.heard})
					}
					f.Heard("box-2", table.Stamp{Generation: c.heard})
					time.Sleep(100 * time.Millisecond)
				}
				if got := int(asked.Load()); got != c.want {
					t.Errorf("asked %d times, want %d", got, c.want)
				}
			})
		})
	}
}

func TestNewerTableNamedOnceIsNotAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked atomic.Int64
		f := New(Config{Self: "box-1", Peers: pullCounter{asked: &asked}, Ranked: func(string) []string { return nil }, Log: log.Discard()})
		f.gateOpen = true
		f.Offer(table.Table{Generation: 4})
		f.Heard("box-2", table.Stamp{Generation: 5})
		time.Sleep(2 * pullGrace)
		synctest.Wait()
		if got := asked.Load(); got != 1 {
			t.Errorf("asked %d times, want once", got)
		}
		f.Offer(table.Table{Generation: 5})
		f.Heard("box-2", table.Stamp{Generation: 6})
		f.Offer(table.Table{Generation: 6})
		time.Sleep(2 * pullGrace)
		if got := asked.Load(); got != 1 {
			t.Errorf("asked %d times after the table had arrived, want once", got)
		}
	})
}

func TestStartingBoxTakesTheTableOfTheFirstBoxItHears(t *testing.T) {
	const own, before = 16, 27
	cases := map[string]struct {
		// heard holds the generations that other boxes name, in order.
		heard []uint64
		want  uint64
	}{
		"nobody has named one":              {},
		"only one that is as old":           {heard: []uint64{own}},
		"one as old, then a newer one":      {heard: []uint64{own, before}},
		"two, none newer":                   {heard: []uint64{own, own}, want: own},
		"two that have just started":        {heard: []uint64{0, 0}, want: own},
		"a newer one, then one that is old": {heard: []uint64{before, own}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			boxes := []string{"box-1", "box-2", "box-3", "box-4"}
			f := New(Config{
				Self: "box-1", Peers: silentPeers{}, Log: log.Discard(), FirstMayBeStale: true,
				Ranked: func(string) []string { return boxes },
			})
			f.Offer(table.Table{Generation: own})
			for i, generation := range c.heard {
				f.Heard(boxes[i+1], table.Stamp{Generation: generation})
			}
			if got := f.Table().Generation; got != c.want {
				t.Errorf("generation %d in force, want %d", got, c.want)
			}
		})
	}
}

func TestStartingBoxStopsWaitingForANewerTableThatWasNamed(t *testing.T) {
	const own, named = 16, 27
	cases := map[string]struct {
		after time.Duration
		want  uint64
	}{
		"not yet":                {after: routedSettle, want: 0},
		"its namer has vanished": {after: settleFactor * routedSettle, want: own},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, platform := startFollowerWith(t, Config{Settle: routedSettle})
				(<-platform.calls).reply <- reply{object: object(t, own)}
				<-platform.calls
				f.Heard("box-2", table.Stamp{Generation: named})
				time.Sleep(c.after)
				synctest.Wait()
				if got := f.Table().Generation; got != c.want {
					t.Errorf("generation %d in force after %v, want %d", got, c.after, c.want)
				}
			})
		})
	}
}

// routedSettle is the Settle of boxes with routed services.
const routedSettle = 500 * time.Millisecond
