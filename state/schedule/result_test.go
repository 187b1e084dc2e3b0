// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// resultGroup returns a group of two prefill engines, p and q, and two decode engines, a and b.
// Its first request was long enough ago that engines hold nothing of an earlier home.
func resultGroup() *Group {
	cfg := growingGroup(2, 100_000).cfg
	second := cfg.Engines[0]
	second.Name = "q"
	cfg.Engines = append(cfg.Engines, second)
	g := New(cfg, start)
	g.noteFirstRequest(-int64(takeoverTime))
	return g
}

// rejectDecode sends a request, whose result may be kept by an engine, and has the decode
// engine reject it as full. It returns the engines of the plan.
func rejectDecode(g *Group, at time.Time, n uint64, attempt uint32, kept string, avoid ...string) (prefill, decode string) {
	a := newAskOfSize(n, 1000, 100)
	a.ID.Number, a.KeptBy, a.Resume, a.Avoid = attempt, kept, kept != "", avoid
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
	convey.Convey("Rejections after a takeover mean full engines, not lost results", t, func() {
		cfg := resultGroup().cfg
		g := New(cfg, start)
		prefill, first := rejectDecode(g, start, 1, 1, "")
		rejectDecode(g, start.Add(time.Millisecond), 1, 2, prefill, first)
		convey.So(g.Ejections(), convey.ShouldBeEmpty)
		convey.So(g.engines[g.index[first]].fullUntil, convey.ShouldBeGreaterThan, 0)
	})
}

func TestLostResults(t *testing.T) {
	convey.Convey("A result rejected by two engines ejects the engine that computed it", t, func() {
		g := resultGroup()
		prefill, first := rejectDecode(g, start, 1, 1, "")
		convey.So(g.Ejections(), convey.ShouldBeEmpty)
		_, second := rejectDecode(g, start, 1, 2, prefill, first)
		convey.So(second, convey.ShouldNotEqual, first)
		ejections := g.Ejections()
		convey.So(ejections, convey.ShouldHaveLength, 1)
		convey.So(ejections[0].Engine, convey.ShouldEqual, prefill)
		convey.So(ejections[0].ResultsLost, convey.ShouldBeTrue)
		convey.So(ejections[0].For, convey.ShouldBeGreaterThan, 0)
		// The second engine does not count as full.
		convey.So(g.engines[g.index[second]].fullUntil, convey.ShouldEqual, 0)

		other, _ := rejectDecode(g, start, 2, 1, "")
		convey.So(other, convey.ShouldNotEqual, prefill)
	})
	convey.Convey("If all prefill engines lose results, decode engines prefill until one is tried again", t, func() {
		g := resultGroup()
		for n := range uint64(2) {
			prefill, first := rejectDecode(g, start, n, 1, "")
			rejectDecode(g, start, n, 2, prefill, first)
		}
		later := start.Add(200 * time.Millisecond)
		prefill, decode := rejectDecode(g, later, 10, 1, "")
		convey.So(prefill, convey.ShouldBeEmpty)
		convey.So(decode, convey.ShouldNotBeEmpty)
		later = start.Add(2 * time.Second)
		p := &g.engines[g.index["p"]]
		convey.So(p.resultBreaker.Ejected(later), convey.ShouldBeFalse)
		// The engine is a suspect: one more lost result is enough.
		a := newAskOfSize(11, 1000, 100)
		g.grants[a.ID] = &grant{ask: a, prefill: g.index["p"], decode: g.index["a"], prefilled: true}
		g.Done(later, Report{ID: a.ID, Failed: "a", Full: true})
		convey.So(p.resultBreaker.Ejected(later), convey.ShouldBeTrue)
	})
	convey.Convey("An engine whose result was used is no longer a suspect", t, func() {
		g := resultGroup()
		prefill, first := rejectDecode(g, start, 1, 1, "")
		rejectDecode(g, start, 1, 2, prefill, first)
		i := g.index[prefill]
		convey.So(g.engines[i].resultBreaker.Suspect(), convey.ShouldBeTrue)
		a := newAskOfSize(2, 1000, 100)
		g.grants[a.ID] = &grant{ask: a, prefill: i, decode: g.index["a"], prefilled: true}
		g.Done(start, Report{ID: a.ID, Finished: true})
		convey.So(g.engines[i].resultBreaker.Suspect(), convey.ShouldBeFalse)
	})
}
