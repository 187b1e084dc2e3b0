// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package discover

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/cover"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/rank"
)

// fleet is a set of boxes whose messages reach the others at once.
type fleet struct {
	names []string
	// mutex guards got, pulls, payload and cut.
	mutex sync.Mutex
	boxes map[string]*Discoverer
	// got counts the updates sent to each box, and pulls the pulls.
	got, pulls map[string]int
	// payload counts the updates with changes sent to each box; nil counts none.
	payload map[string]int
	cut     map[string]bool
	// sources overrides the platform for some boxes.
	sources map[string]Source
	// listedAfter is how long a read of the list of boxes takes.
	listedAfter time.Duration
	// lose reports whether a message is lost; nil loses none.
	lose func(from, to string) bool
}

func newFleet(n int, source Source) *fleet {
	f := &fleet{boxes: make(map[string]*Discoverer), got: make(map[string]int), pulls: make(map[string]int), cut: make(map[string]bool), sources: make(map[string]Source)}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("b%03d", i))
	}
	for _, name := range f.names {
		f.boxes[name] = New(Config{Source: source, Self: name, Peers: link{f, name}, Ranked: f.ranked, Log: log.Discard()})
	}
	return f
}

func (f *fleet) ranked(key string) []string { return rank.Of(f.names).Order(key) }

// readers returns the boxes that read the list for all, and lastRanked the last box in
// rank.
func (f *fleet) readers() []string  { return f.ranked(rankKey)[:cover.Readers] }
func (f *fleet) lastRanked() string { return f.ranked(rankKey)[len(f.names)-1] }

type link struct {
	f    *fleet
	from string
}

func (l link) SendUpdate(n directory.Update, to ...string) {
	for _, box := range to {
		if l.f.arrives(l.from, box, len(n.Changes) > 0) {
			l.f.boxes[box].Receive(l.from, n)
		}
	}
}

// arrives reports whether an update reaches a box, and counts it if it does.
func (f *fleet) arrives(from, box string, payload bool) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.cut[box] || f.lose != nil && f.lose(from, box) {
		return false
	}
	f.got[box]++
	if f.payload != nil && payload {
		f.payload[box]++
	}
	return true
}

func (l link) SendUpdatePull(to string, have uint64) {
	l.f.mutex.Lock()
	l.f.pulls[to]++
	cut := l.f.cut[to] || l.f.lose != nil && l.f.lose(l.from, to)
	l.f.mutex.Unlock()
	if !cut {
		l.f.boxes[to].Pull(l.from, have)
	}
}

func TestUpdatesReachEveryBoxOnce(t *testing.T) {
	f := newFleet(150, nil)
	first := f.readers()[0]
	f.boxes[first].announce(directory.Update{After: 0, At: 3, Changes: []directory.Change{{Entry: entry("a")}}})
	for _, name := range f.names {
		want := 1
		if name == first {
			want = 0
		}
		if f.got[name] != want {
			t.Errorf("%s got the update %d times", name, f.got[name])
		}
		if at := f.boxes[name].Directory().At(); want == 1 && at != 3 {
			t.Errorf("%s stands at %d", name, at)
		}
	}
	f.boxes[f.lastRanked()].announce(directory.Update{After: 3, At: 4})
	for _, name := range f.names {
		if at := f.boxes[name].Directory().At(); at == 4 {
			t.Errorf("%s received an update from a box that reads for nobody", name)
		}
	}
}

func TestChangesAreAnnouncedOnce(t *testing.T) {
	cases := map[string]struct {
		// silent is how many of the readers, first in rank, announce nothing.
		silent int
		within time.Duration
	}{
		"the first reader announces":     {within: 0},
		"the second one in its place":    {silent: 1, within: cover.TurnStep},
		"the third one in place of both": {silent: 2, within: 2 * cover.TurnStep},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(50, nil)
				payloads := make(map[string]int)
				f.payload = payloads
				for _, reader := range f.readers()[c.silent:] {
					f.boxes[reader].announce(directory.Update{At: 3, Changes: []directory.Change{{Entry: entry("a")}}})
				}
				time.Sleep(c.within + time.Millisecond)
				other := f.lastRanked()
				if at := f.boxes[other].Directory().At(); at != 3 {
					t.Errorf("after %v the last box stands at %d", c.within, at)
				}
				time.Sleep(time.Second)
				synctest.Wait()
				if payloads[other] != 1 {
					t.Errorf("the last box got the changes %d times", payloads[other])
				}
			})
		})
	}
}

func TestMissedUpdatesAreAskedFor(t *testing.T) {
	f := newFleet(5, nil)
	first, other := f.readers()[0], f.lastRanked()
	step := func(at uint64, id string) {
		n := directory.Update{After: at - 1, At: at, Changes: []directory.Change{{Entry: entry(id)}}}
		f.boxes[first].update(func(d directory.Directory) directory.Directory { return d.WithUpdate(time.Time{}, n) })
		f.boxes[first].announce(n)
	}
	step(1, "a")
	f.cut[other] = true
	step(2, "b")
	f.cut[other] = false
	step(3, "c")
	d := f.boxes[other].Directory()
	if d.Len() != 3 || d.At() != 3 {
		t.Errorf("after a gap the box knows %d endpoints at %d, pulls %v", d.Len(), d.At(), f.pulls)
	}
}

func TestUpdatesKeepABoxFromReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := scriptedSource{calls: make(chan call)}
		f := newFleet(6, s)
		box := f.boxes[f.lastRanked()]
		ctx, end := context.WithCancel(t.Context())
		defer end()
		go func() { _ = box.Run(ctx) }()
		s.next().reply <- reply{list: []directory.Entry{entry("a")}, at: 5}
		synctest.Wait()
		update := func(after, at uint64, lost bool) {
			box.Receive(f.readers()[0], directory.Update{Origin: f.readers()[0], Sequence: at, After: after, At: at, Lost: lost})
		}
		update(5, 6, false)
		// From here on only updates arrive, and no call may be made as long as they do.
		for at := uint64(7); at < 12; at++ {
			time.Sleep(cover.Validity / 2)
			update(at-1, at, false)
			select {
			case c := <-s.calls:
				t.Fatalf("the box asked the platform after %d although it has updates", c.after)
			default:
			}
		}
		time.Sleep(cover.Validity + time.Millisecond)
		select {
		case c := <-s.calls:
			if c.after != 11 {
				t.Errorf("after the updates ended the box goes on after %d", c.after)
			}
		case <-time.After(10 * cover.Validity):
			t.Error("after the updates ended the box does not follow the list")
		}
	})
}

func TestUpdatesThatCoverNobody(t *testing.T) {
	covers := func(n directory.Update) bool { return n.At == 6 }
	cases := map[string]directory.Update{
		"that fits":                {Origin: "b", Sequence: 1, After: 5, At: 6},
		"older than what is known": {Origin: "b", Sequence: 1, After: 1, At: 2},
		"the platform is lost":     {Origin: "b", Sequence: 1, After: 5, At: 5, Lost: true},
		"with a gap":               {Origin: "b", Sequence: 1, After: 7, At: 9},
	}
	for name, n := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(6, nil)
				box := f.boxes[f.lastRanked()]
				n.Origin = f.readers()[0]
				box.update(func(d directory.Directory) directory.Directory {
					return d.WithList(time.Now(), 5, []directory.Entry{entry("a")})
				})
				lost := 0
				box.cfg.OnLost = func() { lost++ }
				time.Sleep(10 * cover.Validity)
				box.Receive(n.Origin, n)
				// Longer than a box in a fleet of six waits before its own attempt, and shorter
				// than a fitting update would keep it from reading.
				time.Sleep(cover.Validity/2 + 50*time.Millisecond)
				if reads := box.decide(time.Now()).Read; reads == covers(n) {
					t.Errorf("the box reads the list itself: %v", reads)
				}
				if n.Lost != (lost == 1) {
					t.Errorf("notified of a loss %d times", lost)
				}
			})
		})
	}
}

func TestUpdatesDoNotGoInCircles(t *testing.T) {
	f := newFleet(20, nil)
	// Each box has its own order of the others.
	for i, name := range f.names {
		f.boxes[name].cfg.Ranked = func(string) []string { return append(slices.Clone(f.names[i:]), f.names[:i]...) }
	}
	f.boxes["b000"].announce(directory.Update{At: 1})
	for name, n := range f.got {
		if n > 20 {
			t.Errorf("%s got the same update %d times", name, n)
		}
	}
}

func TestEntriesMayLapseInAnOutage(t *testing.T) {
	cases := map[string]struct {
		away time.Duration
		// failed has how long each failed call took, with a bound of callBound.
		failed []time.Duration
		usable bool
	}{
		"after an outage":                         {away: 3 * time.Second, failed: []time.Duration{time.Second, time.Second}, usable: true},
		"after calls that were refused":           {away: 3 * time.Second, failed: []time.Duration{0, 0, 0}, usable: true},
		"after one long call":                     {away: 3 * time.Second, failed: []time.Duration{2 * time.Second}, usable: true},
		"after a short failure":                   {away: 500 * time.Millisecond, failed: []time.Duration{0, 0}},
		"after a silence without fault":           {away: 3 * time.Second},
		"after one lost watch":                    {away: 3 * time.Second, failed: []time.Duration{time.Second}},
		"after calls that the box itself held up": {away: 9 * time.Second, failed: []time.Duration{3 * time.Second, 3 * time.Second}},
		"after a lost watch and a suspension":     {away: 9 * time.Second, failed: []time.Duration{time.Second, 5 * time.Second}},
	}
	const callBound = 2 * time.Second
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(6, nil)
				box := f.boxes[f.lastRanked()]
				from := f.readers()[0]
				box.Receive(from, directory.Update{Origin: from, Sequence: 1, At: 5, Changes: []directory.Change{{Entry: entry("a")}}})
				time.Sleep(c.away)
				for _, took := range c.failed {
					box.noteFailed(took, callBound)
				}
				box.Receive(from, directory.Update{Origin: from, Sequence: 2, After: 5, At: 6, Changes: []directory.Change{{Entry: entry("a"), Gone: true}}})
				if w, _ := box.Directory().Status("a"); w.Usable() != c.usable {
					t.Errorf("usable: %v", w.Usable())
				}
				time.Sleep(gracePeriod + time.Millisecond)
				synctest.Wait()
				if w, _ := box.Directory().Status("a"); w.Usable() {
					t.Error("an endpoint that did not come back is still used")
				}
			})
		})
	}
}
