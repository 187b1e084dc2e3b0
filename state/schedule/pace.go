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

// Cold engines can serve few requests per second and crash when they get more. Each grant
// counts against the limit of the cold engines that it will reach, and an engine that has
// reached its limit is left out until the next request may go. Without this, on a day when the
// engines of a zone came back and could serve 1 request per second, the limit of 6.5 was
// exceeded 75 times and engines crashed 149 times (docs/design/places.md).

// ColdChange reports that an engine has become cold or warm.
type ColdChange struct {
	Engine string
	Cold   bool
	// For is how long the engine will stay cold.
	For time.Duration
}

// learnedSpeed is what was learned of an engine's prefill and step times.
type learnedSpeed struct{ prefill, step estimate.Factor }

// coldGrantLimit returns how many grants a cold engine may have within pace.Span.
func (g *Group) coldGrantLimit(t int64) int {
	if g.cfg.ColdLimit == nil {
		return pace.Unbounded
	}
	if g.coldLimitAt != t || t == 0 {
		g.coldLimit, g.coldLimitAt = g.cfg.ColdLimit(g.start.Add(time.Duration(t))), t
	}
	return g.coldLimit
}

// updateCold detects engines that have become cold or warm. Without a limit no engine counts as
// cold.
func (g *Group) updateCold(t int64) {
	for i := range g.engines {
		e := &g.engines[i]
		remaining := e.coldRemaining(g.start, t)
		cold := remaining > 0 && g.coldGrantLimit(t) != pace.Unbounded
		if cold == e.cold {
			continue
		}
		e.cold = cold
		if cold {
			e.warmSpeed = learnedSpeed{e.prefillFactor, e.stepFactor}
			g.seedPacedWindow(t, i)
		} else {
			e.restoreWarmSpeed()
		}
		g.refresh(i)
		g.coldChanges = append(g.coldChanges, ColdChange{Engine: e.spec.Name, Cold: cold, For: remaining})
	}
}

// restoreWarmSpeed restores what was learned of the engine before it became cold. If nothing
// was, as for a new engine, its times while cold are the best estimate until it has served more
// requests. Starting again from the table's rates made all new engines seem four times as fast
// as they were, and cost 0.05 of a day's score (the mean value of answers to callers, Worth in
// modules/timeline).
func (e *engine) restoreWarmSpeed() {
	if e.warmSpeed.prefill.Seen() > 0 {
		e.prefillFactor = e.warmSpeed.prefill
	}
	if e.warmSpeed.step.Seen() > 0 {
		e.stepFactor = e.warmSpeed.step
	}
}

// coldRemaining returns how long the engine will still be cold.
func (e *engine) coldRemaining(start time.Time, t int64) time.Duration {
	if e.spec.ColdUntil.IsZero() {
		return 0
	}
	return max(e.spec.ColdUntil.Sub(start)-time.Duration(t), 0)
}

// seedPacedWindow counts the grants that an engine got before it was known to be cold.
func (g *Group) seedPacedWindow(t int64, i int) {
	e := &g.engines[i]
	for _, gr := range g.grants {
		at := gr.grantedAt
		switch {
		case gr.decodeUnsent:
			continue
		case gr.decode == i && gr.prefill != none && !gr.prefilled:
			gr.decodeUnsent = true
			e.pacedWindow = e.pacedWindow.WithOpen(time.Duration(gr.grantedAt))
			continue
		case gr.decode == i:
			at = gr.decodeStartedAt
		case gr.prefill != i || gr.reuse:
			continue
		}
		if time.Duration(t-at) < pace.Span {
			e.pacedWindow = e.pacedWindow.WithSent(time.Duration(at))
		}
	}
}

// excludePaced removes engines from the view that have reached their limit, either as cold
// engines or the limit that they announce.
func (g *Group) excludePaced(t int64) {
	g.fillBuckets(t)
	for i := range g.engines {
		e, v := &g.engines[i], &g.view.Engines[i]
		spent := e.cold && e.pacedWindow.Count(time.Duration(t)) >= g.coldGrantLimit(t) || e.limit.exhausted()
		v.Paced = (v.Prefill || v.Decode) && spent
		if v.Paced {
			v.Prefill, v.Decode = false, false
		}
	}
}

// isPaced reports whether the number of grants to the engine is limited.
func (e *engine) isPaced() bool { return e.cold || e.limit.Named }

// updatePacing updates the view if any engine's grants are limited, or if it was last updated for an
// ask that is bound to another software version.
func (g *Group) updatePacing(t int64, a Ask) {
	g.updateCold(t)
	if g.viewSoftware != a.Software || slices.ContainsFunc(g.engines, func(e engine) bool { return e.isPaced() }) {
		g.updateAvailability(t, a)
	}
}

// pacedCount returns the number of engines left out because of a limit.
func (g *Group) pacedCount() int {
	n := 0
	for i := range g.view.Engines {
		if g.view.Engines[i].Paced {
			n++
		}
	}
	return n
}

// countPaced counts a grant against the limits of the engines that it will reach.
func (g *Group) countPaced(t int64, gr *grant) {
	if gr.prefill != none && !gr.reuse && g.engines[gr.prefill].isPaced() {
		e := &g.engines[gr.prefill]
		e.limit.consume()
		if e.cold {
			e.pacedWindow = e.pacedWindow.WithSent(time.Duration(t))
		}
		gr.pacedPrefill = true
	}
	if gr.decode != none {
		g.countPacedDecode(t, gr)
	}
}

// countPacedDecode counts a grant against the limit of its decode engine, if it has one. The
// request is sent there when its prefill is done.
func (g *Group) countPacedDecode(t int64, gr *grant) {
	e := &g.engines[gr.decode]
	if !e.isPaced() {
		return
	}
	gr.pacedDecode = true
	e.limit.consume()
	switch {
	case !e.cold:
	case gr.prefill == none || gr.prefilled:
		e.pacedWindow = e.pacedWindow.WithSent(time.Duration(t))
	default:
		gr.decodeUnsent = true
		e.pacedWindow = e.pacedWindow.WithOpen(time.Duration(gr.grantedAt))
	}
}

// noteDecodeSent records that a grant's decode is sent now, or was sent before.
func (g *Group) noteDecodeSent(t int64, gr *grant) {
	if !gr.decodeUnsent || gr.decode == none {
		return
	}
	gr.decodeUnsent = false
	e := &g.engines[gr.decode]
	e.pacedWindow = e.pacedWindow.WithDone(time.Duration(gr.grantedAt), time.Duration(t))
}

// keepPacedDecode leaves an attempt counted against its cold engine as it is: its box may still
// send it, because it has another home by now or is cut off.
func (g *Group) keepPacedDecode(id lifecycle.AttemptID) {
	if gr, ok := g.grants[id]; ok {
		gr.decodeUnsent = false
	}
}

// paceWaitNS returns how long a waiter would wait until engines with a limit may serve those
// before it and itself; 0 if a stage still has an engine without a limit.
func (g *Group) paceWaitNS(w *waiter, t int64) int64 {
	if g.pacedCount() == 0 {
		return 0
	}
	key, before := g.orderKey(w, t), 0
	for _, o := range g.waiting {
		if g.orderKey(o, t) < key {
			before++
		}
	}
	prefill := g.pacedCapacityWaitNS(t, before, func(i int) bool { return g.engines[i].spec.Prefill })
	decode := g.pacedCapacityWaitNS(t, before, func(i int) bool { return g.engines[i].spec.Decode })
	return max(prefill, decode)
}

// pacedCapacityWaitNS returns the time until the engines of a stage may get more than the given
// number of requests, or until the first of them is no longer limited.
func (g *Group) pacedCapacityWaitNS(t int64, before int, of func(i int) bool) int64 {
	var engines []pacedCapacity
	warm := int64(0)
	for i := range g.engines {
		e, v := &g.engines[i], &g.view.Engines[i]
		if !of(i) || !v.Prefill && !v.Decode && !v.Paced {
			continue
		}
		if !e.isPaced() {
			return 0
		}
		if remaining := int64(e.coldRemaining(g.start, t)); !e.limit.Named && (warm == 0 || remaining < warm) {
			warm = remaining
		}
		engines = append(engines, g.pacedCapacityOf(t, e))
	}
	wait := int64(0)
	for range before + 1 {
		next, at := none, int64(math.MaxInt64)
		for k := range engines {
			if free := engines[k].nextFreeAt(); next == none || free < at {
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

// longestPaceWait is the maximum wait estimated where no capacity becomes free.
const longestPaceWait = 10 * time.Second

// pacedCapacity yields the times at which one engine with a limit may get its next requests.
type pacedCapacity struct {
	// coldFree are the times at which the engine may get requests while cold; nil means no
	// limit.
	coldFree []time.Duration
	limit    engineLimitState
	// rate is the rate of its announced limit, in requests per second.
	rate  float64
	taken int
}

func (g *Group) pacedCapacityOf(t int64, e *engine) pacedCapacity {
	p := pacedCapacity{limit: e.limit, rate: g.limitRate(t, e)}
	if e.cold {
		p.coldFree = e.pacedWindow.FreeAt(time.Duration(t), g.coldGrantLimit(t))
		slices.Sort(p.coldFree)
	}
	return p
}

// nextFreeAt returns the time at which the engine may get its next request. A cold engine may
// get another one pace.Span after each.
func (p pacedCapacity) nextFreeAt() int64 {
	at := time.Duration(0)
	if p.limit.Named {
		at = p.limit.bucket.FreeAt(p.taken, p.rate)
	}
	switch {
	case p.coldFree == nil:
	case len(p.coldFree) == 0:
		return math.MaxInt64
	default:
		turns, place := p.taken/len(p.coldFree), p.taken%len(p.coldFree)
		at = max(at, p.coldFree[place]+time.Duration(turns)*pace.Span)
	}
	return int64(at)
}

// Paced returns the recent grants to the group's cold engines, for a group that has these
// engines later.
func (g *Group) Paced() map[string]pace.Window {
	out := make(map[string]pace.Window)
	for i := range g.engines {
		if e := &g.engines[i]; e.cold {
			out[e.spec.Name] = e.pacedWindow
		}
	}
	return out
}

// ColdChanges returns the engines that have become cold or warm since the last call.
func (g *Group) ColdChanges(now time.Time) []ColdChange {
	g.updateCold(sinceStart(g.start, now))
	out := g.coldChanges
	g.coldChanges = nil
	return out
}

// ColdEngine is the status of a cold engine, for operators.
type ColdEngine struct {
	Engine string
	// Until is when the engine will be warm.
	Until time.Time
	// Counted is the number of grants within the last pace.Span, and Limit the maximum.
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
				Counted: e.pacedWindow.Count(time.Duration(t)), Limit: g.coldGrantLimit(t),
			})
		}
	}
	return out
}
