// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// lateAsk returns a late request whose caller waits for three more seconds.
func lateAsk(n uint64) Ask {
	a := newAskOfSize(n, 1000, 1000)
	a.Late, a.RemainingPatience, a.Elapsed = true, 3*time.Second, 4*time.Second
	return a
}

// kindOf returns the kind of the first decision for an ask, or an empty string if there is
// none.
func kindOf(decisions []Decision, a Ask) string {
	for _, d := range decisions {
		if Asked(d).ID != a.ID {
			continue
		}
		switch d.(type) {
		case Grant:
			return "grant"
		case Refusal:
			return "refuse"
		case Queued:
			return "queue"
		}
	}
	return ""
}

// setRates sets the rates of new requests in time and of released slots, per second.
func setRates(g *Group, at time.Time, asks, releases float64) {
	t := sinceStart(g.start, at)
	perNS := func(rate float64) decayedSum {
		return decayedSum{at: t}.plus(t, rate*releaseHalfLife/float64(time.Second)/0.693, releaseHalfLife)
	}
	g.recentAsks, g.releases = perNS(asks), perNS(releases)
}

func TestLateRequests(t *testing.T) {
	const second = time.Second
	cases := map[string]struct {
		engines int
		// taken is the number of requests that run already.
		taken          uint64
		asks, releases float64
		giveUp         time.Duration
		want           string
	}{
		"idle group": {engines: 2, giveUp: 3 * second, want: "grant"},
		"free slots despite many requests in time":       {engines: 2, asks: 100, releases: 100, giveUp: 3 * second, want: "grant"},
		"full, more requests than releases":              {engines: 1, taken: 8, asks: 10, releases: 5, giveUp: 3 * second, want: "refuse"},
		"full, more releases than requests":              {engines: 1, taken: 8, asks: 2, releases: 8, giveUp: 3 * second, want: "queue"},
		"full, free slot only after the caller gives up": {engines: 1, taken: 8, asks: 2, releases: 2.1, giveUp: 3 * second, want: "refuse"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := growingGroup(c.engines, 10_000)
			admitted(g, c.taken, start)
			now := start.Add(200 * time.Millisecond)
			setRates(g, now, c.asks, c.releases)
			a := lateAsk(100)
			a.RemainingPatience = c.giveUp
			if got := kindOf(g.Ask(now, a), a); got != c.want {
				t.Errorf("decision: %q, want %q", got, c.want)
			}
		})
	}
}

func TestLateBehindOthers(t *testing.T) {
	convey.Convey("A free slot goes to a request in time that arrived after a late one", t, func() {
		g := growingGroup(1, 10_000)
		admitted(g, 4, start)
		now := start.Add(50 * time.Millisecond)
		setRates(g, now, 1, 50)
		late, urgent := lateAsk(100), newAskOfSize(101, 1000, 1000)
		convey.So(kindOf(g.Ask(now, late), late), convey.ShouldEqual, "queue")
		// More late requests than are tried for one slot.
		for n := range uint64(2 * maxPlacementTries) {
			other := lateAsk(200 + n)
			other.RemainingPatience += time.Duration(n) * time.Millisecond
			convey.So(kindOf(g.Ask(now, other), other), convey.ShouldEqual, "queue")
		}
		urgent.Priority, urgent.Deadline = -3, 4*time.Second
		convey.So(kindOf(g.Ask(now, urgent), urgent), convey.ShouldEqual, "queue")
		out := g.Done(now.Add(time.Millisecond), Report{ID: newAskOfSize(0, 0, 0).ID, Finished: true})
		convey.So(kindOf(out, urgent), convey.ShouldEqual, "grant")
		convey.So(kindOf(out, late), convey.ShouldBeEmpty)
	})
	convey.Convey("A waiting late request is refused once its caller would give up", t, func() {
		g := growingGroup(1, 10_000)
		admitted(g, 4, start)
		now := start.Add(50 * time.Millisecond)
		setRates(g, now, 1, 50)
		late := lateAsk(100)
		late.RemainingPatience = 2 * time.Second
		convey.So(kindOf(g.Ask(now, late), late), convey.ShouldEqual, "queue")
		convey.So(kindOf(g.Tick(now.Add(time.Second)), late), convey.ShouldBeEmpty)
		convey.So(kindOf(g.Tick(now.Add(2*time.Second)), late), convey.ShouldEqual, "refuse")
	})
	convey.Convey("Late requests do not count as new requests", t, func() {
		g := growingGroup(2, 10_000)
		for i := range uint64(20) {
			g.Ask(start, lateAsk(i))
		}
		convey.So(g.usualAsks.amount, convey.ShouldEqual, 0)
		convey.So(g.recentAsks.amount, convey.ShouldEqual, 0)
	})
}

// plainGroup returns a group with one endpoint of two slots, whose requests take 100 ms, after
// the given number of further requests was sent to it.
func plainGroup(taken uint64) (*Group, time.Time) {
	g := New(Config{
		Plain:   true,
		Targets: Targets{FirstToken: 5 * time.Second, PerToken: 5 * time.Second},
		Engines: []EngineSpec{{Name: "a", Zone: "z", Decode: true, Slots: 2, PrefillRate: 1e12}},
	}, start)
	now := start
	for n := range uint64(50) {
		a := plainAsk(n)
		g.Ask(now, a)
		now = now.Add(100 * time.Millisecond)
		g.Done(now, Report{ID: a.ID, Finished: true})
	}
	for n := range taken {
		g.Ask(now, plainAsk(1000+n))
		now = now.Add(time.Millisecond)
	}
	return g, now
}

func plainAsk(n uint64) Ask {
	a := newAskOfSize(n, 0, 0)
	a.Deadline = 300 * time.Millisecond
	return a
}

func TestPlainRequestsInTime(t *testing.T) {
	cases := map[string]struct {
		taken          uint64
		spill, late    bool
		waited, giveUp time.Duration
		want           string
	}{
		"free slot":                               {want: "grant"},
		"free slot, but deadline too close":       {waited: 250 * time.Millisecond, want: "refuse"},
		"no free slot, but one soon":              {taken: 2, want: "queue"},
		"too many before it to meet the deadline": {taken: 8, want: "refuse"},
		"spill without a free slot":               {taken: 2, spill: true, want: "refuse"},
		"late, free slot":                         {late: true, waited: time.Second, giveUp: time.Second, want: "grant"},
		"late, all slots in use":                  {taken: 8, late: true, waited: time.Second, giveUp: time.Second, want: "refuse"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, now := plainGroup(c.taken)
			a := plainAsk(5000)
			a.Spill, a.Late, a.Elapsed, a.RemainingPatience = c.spill, c.late, c.waited, c.giveUp
			if got := kindOf(g.Ask(now, a), a); got != c.want {
				t.Errorf("decision: %q, want %q", got, c.want)
			}
		})
	}
}
