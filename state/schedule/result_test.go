// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// resultGroup has two prefill engines, p and q, and two decode engines, a and b. It has
// been asked for long enough that engines hold nothing of an earlier home.
func resultGroup() *Group {
	cfg := growingGroup(2, 100_000).cfg
	second := cfg.Engines[0]
	second.Name = "q"
	cfg.Engines = append(cfg.Engines, second)
	g := New(cfg, start)
	g.noteFirstRequest(-int64(takeoverTime))
	return g
}

// turnAway asks for a request whose result is kept by an engine, if any, and has
// the decode engine turn it away. It returns the plan's engines.
func turnAway(g *Group, at time.Time, n uint64, attempt uint32, kept string, avoid ...string) (prefill, decode string) {
	a := askOf(n, 1000, 100)
	a.ID.Number, a.Kept, a.Resume, a.Avoid = attempt, kept, kept != "", avoid
	for _, d := range g.Ask(at, a) {
		if gr, ok := d.(Grant); ok {
			prefill, decode = gr.Plan.Prefill, gr.Plan.Decode
		}
	}
	if kept == "" {
		g.Prefilled(at, a.ID, 0, 0)
	}
	g.Done(at, Report{ID: a.ID, Failed: decode, Full: true})
	return prefill, decode
}

func TestResultsAfterTakeover(t *testing.T) {
	convey.Convey("Engines that turn requests of a new home away are full, and no result is lost", t, func() {
		cfg := resultGroup().cfg
		g := New(cfg, start)
		prefill, first := turnAway(g, start, 1, 1, "")
		turnAway(g, start.Add(time.Millisecond), 1, 2, prefill, first)
		convey.So(g.Ejections(), convey.ShouldBeEmpty)
		convey.So(g.engines[g.index[first]].fullUntil, convey.ShouldBeGreaterThan, 0)
	})
}

func TestLostResults(t *testing.T) {
	convey.Convey("A result that two engines turn away speaks against the engine that made it", t, func() {
		g := resultGroup()
		prefill, first := turnAway(g, start, 1, 1, "")
		convey.So(g.Ejections(), convey.ShouldBeEmpty)
		_, second := turnAway(g, start, 1, 2, prefill, first)
		convey.So(second, convey.ShouldNotEqual, first)
		told := g.Ejections()
		convey.So(told, convey.ShouldHaveLength, 1)
		convey.So(told[0].Engine, convey.ShouldEqual, prefill)
		convey.So(told[0].ResultsLost, convey.ShouldBeTrue)
		convey.So(told[0].For, convey.ShouldBeGreaterThan, 0)
		// The second engine is not taken for full.
		convey.So(g.engines[g.index[second]].fullUntil, convey.ShouldEqual, 0)

		other, _ := turnAway(g, start, 2, 1, "")
		convey.So(other, convey.ShouldNotEqual, prefill)
	})
	convey.Convey("Where all lose their results, prompts are read on decode engines until one is tried again", t, func() {
		g := resultGroup()
		for n := range uint64(2) {
			prefill, first := turnAway(g, start, n, 1, "")
			turnAway(g, start, n, 2, prefill, first)
		}
		later := start.Add(200 * time.Millisecond)
		prefill, decode := turnAway(g, later, 10, 1, "")
		convey.So(prefill, convey.ShouldBeEmpty)
		convey.So(decode, convey.ShouldNotBeEmpty)
		later = start.Add(2 * time.Second)
		p := &g.engines[g.index["p"]]
		convey.So(p.resultBreaker.Out(later), convey.ShouldBeFalse)
		// It is under suspicion: one more lost result is enough.
		a := askOf(11, 1000, 100)
		g.grants[a.ID] = &grant{ask: a, prefill: g.index["p"], decode: g.index["a"], prefilled: true}
		g.Done(later, Report{ID: a.ID, Failed: "a", Full: true})
		convey.So(p.resultBreaker.Out(later), convey.ShouldBeTrue)
	})
	convey.Convey("An engine whose result was used is under suspicion no more", t, func() {
		g := resultGroup()
		prefill, first := turnAway(g, start, 1, 1, "")
		turnAway(g, start, 1, 2, prefill, first)
		i := g.index[prefill]
		convey.So(g.engines[i].resultBreaker.Suspect(), convey.ShouldBeTrue)
		a := askOf(2, 1000, 100)
		g.grants[a.ID] = &grant{ask: a, prefill: i, decode: g.index["a"], prefilled: true}
		g.Done(start, Report{ID: a.ID, Finished: true})
		convey.So(g.engines[i].resultBreaker.Suspect(), convey.ShouldBeFalse)
	})
}
