// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/state/lifecycle"
)

// growingGroup returns a group of one prefill engine and some decode engines whose memory grows
// with answers.
func growingGroup(engines, memory int) *Group {
	cfg := Config{GrowingMemory: true, Targets: Targets{FirstToken: 900 * time.Millisecond, PerToken: 4 * time.Millisecond}}
	cfg.Engines = append(cfg.Engines, EngineSpec{Name: "p", Zone: "z", Prefill: true, Slots: 64, KVTokens: memory, PrefillRate: 40_000})
	for i := range engines {
		cfg.Engines = append(cfg.Engines, EngineSpec{
			Name: string(rune('a' + i)), Zone: "z", Decode: true, Slots: 64, KVTokens: memory,
			PrefillRate: 20_000, StepBase: time.Millisecond, StepPerRequest: 20 * time.Microsecond,
		})
	}
	return New(cfg, start)
}

func newAskOfSize(n uint64, prompt, output int) Ask {
	return Ask{
		ID:           lifecycle.AttemptID{Request: lifecycle.RequestID{Box: "box", Incarnation: 1, Sequence: n}, Number: 1},
		Box:          "box",
		PromptTokens: prompt, OutputTokens: output,
	}
}

// grantsIn returns the number of grants among the decisions.
func grantsIn(decisions []Decision) int {
	n := 0
	for _, d := range decisions {
		if _, ok := d.(Grant); ok {
			n++
		}
	}
	return n
}

// admitted sends n requests of 1,000 tokens with answers of about the same length, completes
// the prefill of each before the next, and returns how many were granted.
func admitted(g *Group, n uint64, at time.Time) int {
	count := 0
	for i := range n {
		a := newAskOfSize(i, 1000, 1000)
		count += grantsIn(g.Ask(at, a))
		g.Prefilled(at, a.ID, 0, 0)
		at = at.Add(10 * time.Millisecond)
	}
	return count
}

func TestGrowingMemory(t *testing.T) {
	convey.Convey("An engine gets as many requests as fit into memory at their expected peak", t, func() {
		// Each holds 1,000 tokens of prompt and about 1,130 more at its end. The fifth starts
		// once the first have generated part of their answers: then all together may need
		// 10,650 tokens, with a small probability (TestOracleRisk).
		convey.So(admitted(growingGroup(1, 10_000), 12, start), convey.ShouldEqual, 5)
	})
	convey.Convey("A request whose answer was lost holds its memory for a limited time", t, func() {
		g := growingGroup(1, 10_000)
		convey.So(admitted(g, 4, start), convey.ShouldEqual, 4)
		now := start.Add(50 * time.Millisecond)
		for i := range uint64(4) {
			g.Done(now, Report{ID: newAskOfSize(i, 0, 0).ID, Failed: "a", MayBeRunning: true})
		}
		g.engines[1].breaker = g.engines[1].breaker.WithSuccess(0)
		convey.So(grantsIn(g.Ask(now, newAskOfSize(10, 1000, 1000))), convey.ShouldEqual, 0)
		later := now.Add(30 * time.Second)
		convey.So(grantsIn(g.Ask(later, newAskOfSize(11, 1000, 1000))), convey.ShouldBeGreaterThan, 0)
	})
	convey.Convey("A finished request releases its memory at once", t, func() {
		g := growingGroup(1, 10_000)
		admitted(g, 4, start)
		now := start.Add(50 * time.Millisecond)
		g.Done(now, Report{ID: newAskOfSize(0, 0, 0).ID, Finished: true})
		convey.So(grantsIn(g.Ask(now, newAskOfSize(10, 1000, 1000))), convey.ShouldEqual, 1)
	})
}

func TestRetryAfter(t *testing.T) {
	convey.Convey("The Retry-After times of refused callers are spaced", t, func() {
		g := growingGroup(1, 10_000)
		last := time.Duration(0)
		for range 10 {
			after := g.scheduleRetry(0, minRetryAfter, 0)
			convey.So(after, convey.ShouldBeGreaterThan, last)
			last = after
		}
		convey.So(last, convey.ShouldBeGreaterThan, minRetryAfter)
	})
}

func TestUnreachableEngineIsEjectedAtOnce(t *testing.T) {
	convey.Convey("One refused connection ejects an engine, one failure does not", t, func() {
		g := growingGroup(3, 100_000)
		g.recordFailure(start, "b", Report{Failed: "a"})
		convey.So(g.engines[1].breaker.Ejected(start), convey.ShouldBeFalse)
		g.recordFailure(start, "b", Report{Failed: "b", Unreachable: true})
		convey.So(g.engines[2].breaker.Ejected(start), convey.ShouldBeTrue)
		ejections := g.Ejections()
		convey.So(ejections, convey.ShouldHaveLength, 1)
		convey.So(ejections[0].Engine, convey.ShouldEqual, "b")
		convey.So(ejections[0].Unreachable, convey.ShouldBeTrue)
		convey.So(ejections[0].For, convey.ShouldBeGreaterThan, 0)
		convey.So(g.Ejections(), convey.ShouldBeEmpty)
	})
}

func TestFullEngine(t *testing.T) {
	convey.Convey("An engine that is full gets fewer requests for a while, but is not ejected", t, func() {
		g := growingGroup(1, 10_000)
		first := newAskOfSize(0, 1000, 1000)
		convey.So(grantsIn(g.Ask(start, first)), convey.ShouldEqual, 1)
		g.Prefilled(start, first.ID, 0, 0)
		g.Done(start, Report{ID: first.ID, Failed: "a", Full: true})
		convey.So(g.engines[1].breaker.Ejected(start), convey.ShouldBeFalse)
		convey.So(grantsIn(g.Ask(start.Add(200*time.Millisecond), newAskOfSize(1, 1200, 1000))), convey.ShouldEqual, 0)
		later := start.Add(2 * time.Second)
		convey.So(grantsIn(g.Ask(later, newAskOfSize(2, 1000, 1000))), convey.ShouldBeGreaterThan, 0)
	})
}

func TestRetryAfterWithinPatience(t *testing.T) {
	convey.Convey("Callers for whom no retry time within their patience is left are told their patience", t, func() {
		g := growingGroup(1, 10_000)
		const patience = 4 * time.Second
		last, latest := time.Duration(0), 0
		for range 200 {
			after := g.scheduleRetry(0, minRetryAfter, patience)
			convey.So(after, convey.ShouldBeBetweenOrEqual, minRetryAfter, patience)
			convey.So(after, convey.ShouldBeGreaterThanOrEqualTo, last)
			last = after
			if after == patience {
				latest++
			}
		}
		convey.So(latest, convey.ShouldBeBetween, 150, 200)
	})
	convey.Convey("After a burst the next refused caller gets a short Retry-After time", t, func() {
		g := growingGroup(1, 10_000)
		for range 200 {
			g.scheduleRetry(0, minRetryAfter, 4*time.Second)
		}
		later := int64(10 * time.Second)
		convey.So(g.scheduleRetry(later, minRetryAfter, 4*time.Second), convey.ShouldBeLessThan, 2*time.Second)
	})
}

// fullGroup returns a group of one decode engine whose memory is taken by four requests, the
// first of which ends in about a second.
func fullGroup() (*Group, time.Time) {
	g := growingGroup(1, 10_000)
	admitted(g, 4, start)
	return g, start.Add(50 * time.Millisecond)
}

func TestSpill(t *testing.T) {
	cases := map[string]struct {
		full bool
		want string
	}{
		"free memory":    {full: false, want: "move"},
		"no free memory": {full: true, want: "target_cannot_be_met"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A spilled request is granted at once or refused, and reserves no retry time", t, func() {
				g, now := growingGroup(1, 10_000), start
				if c.full {
					g, now = fullGroup()
				}
				a := newAskOfSize(10, 1000, 1000)
				a.Spill = true
				decisions := g.Ask(now, a)
				convey.So(decisions, convey.ShouldHaveLength, 1)
				convey.So(describe(decisions[0]), convey.ShouldEqual, c.want)
				convey.So(g.Waiting(), convey.ShouldEqual, 0)
				convey.So(g.nextRetryAt, convey.ShouldEqual, 0)
			})
		})
	}
}

func TestNoPrefillWithoutSlot(t *testing.T) {
	convey.Convey("If prefill results expire soon, no prefill starts without a decode slot", t, func() {
		g := growingGroup(1, 1_000_000)
		g.engines[1].spec.Slots = 4
		g.refresh(1)
		now := start
		// The slots are full all the time: they are released and taken again quickly.
		for n := range uint64(40) {
			g.Done(now, Report{ID: newAskOfSize(n-4, 0, 0).ID, Finished: true})
			g.Ask(now, newAskOfSize(n, 100, 100))
			g.Prefilled(now, newAskOfSize(n, 0, 0).ID, 0, 0)
			now = now.Add(5 * time.Millisecond)
		}
		convey.So(g.Granted(), convey.ShouldEqual, 4)
		for n := range uint64(4) {
			convey.So(grantsIn(g.Ask(now, newAskOfSize(100+n, 100, 100))), convey.ShouldEqual, 0)
		}
	})
}

// sizes is the number of classes of prompt length in an overload, and sizeStep the difference
// between two of them, in tokens.
const (
	sizes    = 10
	sizeStep = 1000
)

// overload sends a group half as many requests again as it can serve, with very different
// prompt lengths, and counts the requests and grants of each length.
type overload struct {
	group            *Group
	random           *rand.Rand
	now              time.Time
	size             map[lifecycle.AttemptID]int
	until            map[lifecycle.AttemptID]time.Time
	offered, started [sizes]int
}

func (o *overload) take(decisions []Decision) {
	for _, d := range decisions {
		if grant, ok := d.(Grant); ok {
			o.started[o.size[grant.Ask.ID]]++
			o.until[grant.Ask.ID] = o.now.Add(time.Second)
			o.take(o.group.Prefilled(o.now, grant.Ask.ID, 0, 0))
		}
	}
}

func (o *overload) run(requests uint64, pause time.Duration) {
	for n := range requests {
		o.now = o.now.Add(time.Duration(o.random.Int64N(int64(2 * pause))))
		for id, until := range o.until {
			if o.now.After(until) {
				delete(o.until, id)
				o.take(o.group.Done(o.now, Report{ID: id, Finished: true}))
			}
		}
		size := o.random.IntN(sizes)
		a := newAskOfSize(n, (size+1)*sizeStep, 3000)
		o.size[a.ID] = size
		o.offered[size]++
		o.take(o.group.Ask(o.now, a))
		o.take(o.group.Tick(o.now))
	}
}

func TestNoLengthStarves(t *testing.T) {
	for seed := range uint64(4) {
		convey.Convey("Under overload the longest prompts start at least half as often as all, and so do the next shorter ones, seed "+strconv.FormatUint(seed, 10), t, func() {
			o := &overload{
				group:  growingGroup(2, 60_000),
				random: rand.New(rand.NewPCG(seed, 1)),
				now:    start,
				size:   make(map[lifecycle.AttemptID]int),
				until:  make(map[lifecycle.AttemptID]time.Time),
			}
			o.run(3000, 40*time.Millisecond)
			came, began := 0, 0
			for i := range sizes {
				came += o.offered[i]
				began += o.started[i]
			}
			all := float64(began) / float64(came)
			t.Log(o.offered, o.started)
			convey.So(all, convey.ShouldBeBetween, 0.3, 0.95)
			longest := float64(o.started[sizes-1]) / float64(o.offered[sizes-1])
			below := float64(o.started[sizes-2]+o.started[sizes-3]) / float64(o.offered[sizes-2]+o.offered[sizes-3])
			convey.So(longest, convey.ShouldBeGreaterThan, all/2)
			convey.So(below, convey.ShouldBeGreaterThan, all/2)
		})
	}
}

func TestRemoteReserve(t *testing.T) {
	cases := map[string]struct {
		prompt int
		travel time.Duration
		want   string
	}{
		"fits, same region":            {prompt: 1700, want: "grant"},
		"too large for another region": {prompt: 1700, travel: 40 * time.Millisecond, want: "refuse"},
		"fits, another region":         {prompt: 500, travel: 40 * time.Millisecond, want: "grant"},
		"too large, same region":       {prompt: 2600, want: "refuse"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A request from another region leaves part of the engine's memory free", t, func() {
				g := growingGroup(1, 10_000)
				first := newAskOfSize(1, 8000, 100)
				g.Ask(start, first)
				g.Prefilled(start, first.ID, 0, 0)
				a := newAskOfSize(10, c.prompt, 100)
				a.Spill, a.RegionRoundTrip = true, c.travel
				convey.So(kindOf(g.Ask(start, a), a), convey.ShouldEqual, c.want)
			})
		})
	}
}
