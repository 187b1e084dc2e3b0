// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"runridge.example/runridge/state/locality"
)

// TestSyncOfALargeFleet has a started box request the whole view of another one. The answer comes
// in parts, and the initial synchronization must not end before the last part has arrived.
func TestSyncOfALargeFleet(t *testing.T) {
	cases := map[string]struct{ boxes, parts int }{
		"a small fleet":                {10, 1},
		"as many as one message holds": {MaxSync, 1},
		"one more":                     {MaxSync + 1, 2},
		"986 boxes":                    {986, 4},
		"2000 boxes":                   {2000, 8},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			known := New(Config{Self: Box{Name: "known", Start: 1, Incarnation: 1}}, now)
			for i := range c.boxes - 1 {
				b := Box{Name: fmt.Sprintf("b%04d", i), Start: 1, Incarnation: 1}
				known.Receive(now, b.Name, Message{Kind: Ping, Updates: []Box{b}})
			}
			fresh := New(Config{Self: Box{Name: "fresh", Start: 2, Incarnation: 2}}, now)
			fresh.Receive(now, "known", Message{Kind: Ping, Updates: []Box{{Name: "known", Start: 1, Incarnation: 1}}})
			answer := known.Receive(now, "fresh", Message{Kind: SyncRequest})
			if len(answer) != c.parts {
				t.Fatalf("%d parts, want %d", len(answer), c.parts)
			}
			// The second answer brings nothing new.
			for range minSyncs {
				for i, part := range answer {
					if fresh.syncing.done {
						t.Fatalf("synchronization ended after %d of %d parts", i, c.parts)
					}
					if len(part.Message.Updates) > MaxSync {
						t.Fatalf("%d boxes in one message", len(part.Message.Updates))
					}
					fresh.Receive(now, "known", part.Message)
				}
				fresh.syncing.requests++
			}
			for _, part := range answer {
				fresh.Receive(now, "known", part.Message)
			}
			if got := len(fresh.boxes); got != c.boxes+1 {
				t.Fatalf("%d boxes are known, want %d", got, c.boxes+1)
			}
		})
	}
	t.Run("a part is lost", func(t *testing.T) {
		now := time.Unix(1_700_000_000, 0)
		fresh := New(Config{Self: Box{Name: "fresh"}}, now)
		fresh.syncing.requests = minSyncs
		part := func(name string) Message {
			return Message{Kind: Sync, Total: 2, Updates: []Box{{Name: name, Incarnation: 1}}}
		}
		fresh.Receive(now, "a", part("a"))
		fresh.Receive(now, "b", part("a"))
		if fresh.syncing.received != 1 {
			t.Fatalf("parts from two boxes were counted as one answer with %d boxes", fresh.syncing.received)
		}
		fresh.Receive(now, "b", part("b"))
		fresh.Receive(now, "c", part("a"))
		fresh.Receive(now, "c", part("b"))
		if !fresh.syncing.done {
			t.Fatal("a complete answer that brought nothing new did not end the synchronization")
		}
	})
}

// TestStateOfALaterBuild checks that an update with a state which only a later build knows is
// ignored, in every kind of message.
func TestStateOfALaterBuild(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	later := Dead + 1
	for _, kind := range []MessageKind{Ping, Ack, PingRequest, SyncRequest, Sync, Sync + 1} {
		v := New(Config{Self: Box{Name: "self"}}, now)
		v.Receive(now, "known", Message{Kind: Ping, Updates: []Box{{Name: "known", Incarnation: 1}}})
		v.Receive(now, "known", Message{Kind: kind, Updates: []Box{
			{Name: "known", Incarnation: 2, State: later}, {Name: "new", Incarnation: 1, State: later},
		}})
		known, _ := v.Box("known")
		if _, found := v.Box("new"); found || known.State != Live || known.Incarnation != 1 {
			t.Errorf("kind %d: %+v is known, and a new box: %v", kind, known, found)
		}
	}
	if later.String() != "unknown" {
		t.Errorf("the state is called %q", later)
	}
}

// TestSyncOfTheSame checks that a box with the same view does not answer a request, so that later
// requests in an unchanged fleet cost almost nothing.
func TestSyncOfTheSame(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	box := func(name string, start uint64) Box { return Box{Name: name, Start: start, Incarnation: start} }
	a, b := New(Config{Self: box("a", 1)}, now), New(Config{Self: box("b", 1)}, now)
	cases := []struct {
		name  string
		learn Box
		parts int
	}{
		{"b does not know a", Box{}, 1},
		{"both know both", box("a", 1), 0},
		{"another box has started", box("c", 2), 1},
	}
	a.Receive(now, "b", Message{Kind: Ping, Updates: []Box{box("b", 1)}})
	for _, c := range cases {
		if c.learn.Name != "" {
			b.Receive(now, c.learn.Name, Message{Kind: Ping, Updates: []Box{c.learn}})
		}
		if got := len(b.sync("a", a.digest())); got != c.parts {
			t.Errorf("%s: the answer has %d parts, want %d", c.name, got, c.parts)
		}
	}
}

// TestStartOfAFleet starts all boxes of a fleet at once, each with half of the earlier ones on
// the platform's list. All boxes must soon know each other, at a cost per box that grows little
// faster than the fleet. Before boxes repeated their requests until an answer brought nothing
// new, 300 boxes took over 40 s, and each had sent 2,900 updates by then.
func TestStartOfAFleet(t *testing.T) {
	cases := map[int]struct {
		within  time.Duration
		updates int
	}{
		30:  {within: 4 * time.Second, updates: 8 * 30},
		100: {within: 4 * time.Second, updates: 8 * 100},
		200: {within: 6 * time.Second, updates: 8 * 200},
	}
	for n, c := range cases {
		t.Run(fmt.Sprintf("%d boxes", n), func(t *testing.T) {
			w := newSeededNetwork(0, locality.Map{}, 0)
			r := rand.New(rand.NewPCG(1, uint64(n)))
			for i := range n {
				w.join(fmt.Sprintf("b%04d", i), func() bool { return r.IntN(2) == 0 })
			}
			w.run(c.within)
			if missing := w.missing(); missing > n*n/1000 {
				t.Errorf("of %d pairs %d do not know each other after %s", n*n, missing, c.within)
			}
			w.run(40 * time.Second)
			if missing := w.missing(); missing > 0 {
				t.Errorf("%d pairs still do not know each other at the end", missing)
			}
			// A box sends its own state on each of its roughly four messages a second.
			own := 4 * int((c.within + 40*time.Second).Seconds())
			if got := w.carried/n - own; got > c.updates {
				t.Errorf("each box sent %d updates about others, want at most %d", got, c.updates)
			}
		})
	}
}

// join starts a box that finds some of the earlier ones on the platform's list.
func (w *network) join(name string, listed func() bool) {
	w.zones[name] = fmt.Sprintf("z%d", len(w.names)%2)
	start := uint64(w.now.UnixMilli()) + uint64(len(w.names))
	self := Box{Name: name, Address: name, Zone: w.zones[name], Start: start, Incarnation: start}
	w.views[name] = New(Config{Self: self, Seed: start}, w.now)
	for _, other := range w.names {
		if listed() {
			w.views[name].AddListed(w.now, Box{Name: other, Address: other, Zone: w.zones[other]})
		}
	}
	w.names = append(w.names, name)
}

// missing counts the pairs of boxes of which one does not know the other or its start.
func (w *network) missing() int {
	count := 0
	for _, v := range w.views {
		for _, name := range w.names {
			if e, known := v.boxes[name]; !known || e.Incarnation == 0 {
				count++
			}
		}
	}
	return count
}

// TestSyncAnswersAreNotCountedAsSent checks that the answers to started boxes do not count as sent
// updates: updates are spread as often as before, however many boxes start meanwhile.
func TestSyncAnswersAreNotCountedAsSent(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	v := New(Config{Self: Box{Name: "self", Start: 1, Incarnation: 1}}, now)
	for i := range 40 {
		b := Box{Name: fmt.Sprintf("b%02d", i), Start: 1, Incarnation: 1}
		v.Receive(now, b.Name, Message{Kind: Ping, Updates: []Box{b}})
	}
	countSent := func() int {
		n := 0
		for _, e := range v.boxes {
			n += e.sent
		}
		return n
	}
	before := countSent()
	for i := range 40 {
		v.Receive(now, fmt.Sprintf("fresh%02d", i), Message{Kind: SyncRequest})
	}
	if got := countSent(); got != before {
		t.Errorf("%d updates count as sent, want %d", got, before)
	}
}
