// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"math"
	"slices"
	"time"

	"runridge.example/runridge/state/estimate"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/pace"
)

// Cold engines bear few requests a second and fall over when they get more. Each
// grant is counted for the cold engines that it will reach, and one that was granted
// what it bears is left out until the next may go. While the engines of a zone came
// back and bore 1 request a second, the bound of 6.5 was broken 75 times on a day
// without this, and engines fell over 149 times (docs/design/places.md).

// ColdChange is an engine that has become cold, or warm.
type ColdChange struct {
	Engine string
	Cold   bool
	// For is how long it will be cold.
	For time.Duration
}

// speed is what was learnt of an engine's times.
type speed struct{ prefill, step estimate.Factor }

// paceLimit is what a cold engine may be granted now.
func (g *Group) paceLimit(t int64) int {
	if g.cfg.ColdLimit == nil {
		return pace.Unbounded
	}
	if g.coldLimitAt != t || t == 0 {
		g.coldLimit, g.coldLimitAt = g.cfg.ColdLimit(g.start.Add(time.Duration(t))), t
	}
	return g.coldLimit
}

// noteCold takes in which engines have become cold or warm. Without a bound none is.
func (g *Group) noteCold(t int64) {
	for i := range g.engines {
		e := &g.engines[i]
		left := e.coldFor(g.start, t)
		cold := left > 0 && g.paceLimit(t) != pace.Unbounded
		if cold == e.cold {
			continue
		}
		e.cold = cold
		if cold {
			e.warm = speed{e.prefill, e.step}
			g.seedPace(t, i)
		} else {
			e.regainSpeed()
		}
		g.refresh(i)
		g.coldChanges = append(g.coldChanges, ColdChange{Engine: e.spec.Name, Cold: cold, For: left})
	}
}

// regainSpeed brings back what was learnt of the engine before it was cold. Of a new
// one nothing was: what it took when cold is the best guess until it has done more.
// Begun anew from the table's figures, all new engines seemed four times as fast as
// they were, and 0.05 of a day's worth was lost.
func (e *engine) regainSpeed() {
	if e.warm.prefill.Seen() > 0 {
		e.prefill = e.warm.prefill
	}
	if e.warm.step.Seen() > 0 {
		e.step = e.warm.step
	}
}

// coldFor is how long the engine is still cold.
func (e *engine) coldFor(start time.Time, t int64) time.Duration {
	if e.spec.ColdUntil.IsZero() {
		return 0
	}
	return max(e.spec.ColdUntil.Sub(start)-time.Duration(t), 0)
}

// seedPace counts what was granted for an engine before it was known to be cold.
func (g *Group) seedPace(t int64, i int) {
	e := &g.engines[i]
	for _, gr := range g.grants {
		at := gr.granted
		switch {
		case gr.openDecode:
			continue
		case gr.decode == i && gr.prefill != none && !gr.prefilled:
			gr.openDecode = true
			e.paced = e.paced.WithOpen(time.Duration(gr.granted))
			continue
		case gr.decode == i:
			at = gr.decodeAt
		case gr.prefill != i || gr.reuse:
			continue
		}
		if time.Duration(t-at) < pace.Span {
			e.paced = e.paced.WithSent(time.Duration(at))
		}
	}
}

// holdBack takes the engines out of the view that were granted what they bear while cold,
// or what they name as their limit.
func (g *Group) holdBack(t int64) {
	g.fillBuckets(t)
	for i := range g.engines {
		e, v := &g.engines[i], &g.view.Engines[i]
		spent := e.cold && e.paced.Count(time.Duration(t)) >= g.paceLimit(t) || e.limit.spent()
		v.Paced = (v.Prefill || v.Decode) && spent
		if v.Paced {
			v.Prefill, v.Decode = false, false
		}
	}
}

// bounded says whether what the engine may be granted is bounded.
func (e *engine) bounded() bool { return e.cold || e.limit.Named }

// updatePace has the view say which engines are held back now, if any may be.
func (g *Group) updatePace(t int64, a Ask) {
	g.noteCold(t)
	if slices.ContainsFunc(g.engines, func(e engine) bool { return e.bounded() }) {
		g.setOut(t, a)
	}
}

// pacedOut is the number of engines that are held back.
func (g *Group) pacedOut() int {
	n := 0
	for i := range g.view.Engines {
		if g.view.Engines[i].Paced {
			n++
		}
	}
	return n
}

// takePace counts a grant for the bounded engines that it will reach.
func (g *Group) takePace(t int64, gr *grant) {
	if gr.prefill != none && !gr.reuse && g.engines[gr.prefill].bounded() {
		e := &g.engines[gr.prefill]
		e.limit.take()
		if e.cold {
			e.paced = e.paced.WithSent(time.Duration(t))
		}
		gr.pacedPrefill = true
	}
	if gr.decode != none {
		g.takeDecodePace(t, gr)
	}
}

// takeDecodePace counts a grant for its decode engine, if that is bounded. The request
// is sent there when its prefill is done.
func (g *Group) takeDecodePace(t int64, gr *grant) {
	e := &g.engines[gr.decode]
	if !e.bounded() {
		return
	}
	gr.pacedDecode = true
	e.limit.take()
	switch {
	case !e.cold:
	case gr.prefill == none || gr.prefilled:
		e.paced = e.paced.WithSent(time.Duration(t))
	default:
		gr.openDecode = true
		e.paced = e.paced.WithOpen(time.Duration(gr.granted))
	}
}

// paceDone notes that a grant's decode is sent now, or was sent before.
func (g *Group) paceDone(t int64, gr *grant) {
	if !gr.openDecode || gr.decode == none {
		return
	}
	gr.openDecode = false
	e := &g.engines[gr.decode]
	e.paced = e.paced.WithDone(time.Duration(gr.granted), time.Duration(t))
}

// abandon leaves what an attempt was counted for as it is: its box may send it all
// the same, having another home now or being cut off.
func (g *Group) abandon(id lifecycle.AttemptID) {
	if gr, ok := g.grants[id]; ok {
		gr.openDecode = false
	}
}

// paceWaitNS is how long a waiter would wait until enough places of bounded engines are
// free for those before it and itself; 0 where an unbounded engine of the stage is left.
func (g *Group) paceWaitNS(w *waiter, t int64) int64 {
	if g.pacedOut() == 0 {
		return 0
	}
	own, before := g.key(w, t), 0
	for _, o := range g.waiting {
		if g.key(o, t) < own {
			before++
		}
	}
	prefill := g.placesFreeNS(t, before, func(i int) bool { return g.engines[i].spec.Prefill })
	decode := g.placesFreeNS(t, before, func(i int) bool { return g.engines[i].spec.Decode })
	return max(prefill, decode)
}

// placesFreeNS is when one more than so many places are free among the engines of a
// stage, or the first of them is bounded no more.
func (g *Group) placesFreeNS(t int64, before int, of func(i int) bool) int64 {
	var engines []places
	warm := int64(0)
	for i := range g.engines {
		e, v := &g.engines[i], &g.view.Engines[i]
		if !of(i) || !v.Prefill && !v.Decode && !v.Paced {
			continue
		}
		if !e.bounded() {
			return 0
		}
		if left := int64(e.coldFor(g.start, t)); !e.limit.Named && (warm == 0 || left < warm) {
			warm = left
		}
		engines = append(engines, g.placesOf(t, e))
	}
	wait := int64(0)
	for range before + 1 {
		next, at := none, int64(math.MaxInt64)
		for k := range engines {
			if free := engines[k].next(); next == none || free < at {
				next, at = k, free
			}
		}
		if next == none {
			return warm
		}
		engines[next].taken++
		wait = min(max(at-t, 0), int64(longestPaceWait))
	}
	if warm > 0 {
		return min(wait, warm)
	}
	return wait
}

// longestPaceWait is how long a waiter is taken to wait where nothing comes free.
const longestPaceWait = 10 * time.Second

// places are when the places of one bounded engine are free, one after the other.
type places struct {
	// window are those that it has while cold; nil is any number.
	window []time.Duration
	limit  limited
	// rate is that of its limit, in requests a second.
	rate  float64
	taken int
}

func (g *Group) placesOf(t int64, e *engine) places {
	p := places{limit: e.limit, rate: g.limitRate(t, e)}
	if e.cold {
		p.window = e.paced.Free(time.Duration(t), g.paceLimit(t))
		slices.Sort(p.window)
	}
	return p
}

// next is when the next place is free; places of a cold engine come free again after the
// span that a request counts.
func (p places) next() int64 {
	at := time.Duration(0)
	if p.limit.Named {
		at = p.limit.bucket.Free(p.taken, p.rate)
	}
	switch {
	case p.window == nil:
	case len(p.window) == 0:
		return math.MaxInt64
	default:
		turns, place := p.taken/len(p.window), p.taken%len(p.window)
		at = max(at, p.window[place]+time.Duration(turns)*pace.Span)
	}
	return int64(at)
}

// Paced is what the group's cold engines were granted, for a group that has them later.
func (g *Group) Paced() map[string]pace.Window {
	out := make(map[string]pace.Window)
	for i := range g.engines {
		if e := &g.engines[i]; e.cold {
			out[e.spec.Name] = e.paced
		}
	}
	return out
}

// ColdChanges returns the engines that became cold or warm since it was last asked.
func (g *Group) ColdChanges(now time.Time) []ColdChange {
	g.noteCold(sinceStart(g.start, now))
	out := g.coldChanges
	g.coldChanges = nil
	return out
}

// ColdEngine is what operators see of a cold engine.
type ColdEngine struct {
	Engine string
	// Until is when it is warm.
	Until time.Time
	// Counted is what it was granted in the span before, and Limit the most.
	Counted, Limit int
}

// ColdEngines lists the cold engines of the group.
func (g *Group) ColdEngines(now time.Time) []ColdEngine {
	t := sinceStart(g.start, now)
	var out []ColdEngine
	for i := range g.engines {
		e := &g.engines[i]
		if e.cold {
			out = append(out, ColdEngine{
				Engine: e.spec.Name, Until: e.spec.ColdUntil,
				Counted: e.paced.Count(time.Duration(t)), Limit: g.paceLimit(t),
			})
		}
	}
	return out
}
