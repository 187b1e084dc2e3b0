// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"slices"
	"time"

	"runridge.example/runridge/state/lifecycle"
)

// waits is the waiter of an ask, if it is in the queue.
func (g *Group) waits(id lifecycle.AttemptID) *waiter {
	i := slices.IndexFunc(g.waiting, func(w *waiter) bool { return w.ask.ID == id })
	if i < 0 {
		return nil
	}
	return g.waiting[i]
}

// waiter works out an ask's deadline and its time on an idle system.
func (g *Group) waiter(a Ask, t int64) *waiter {
	w := &waiter{ask: a, asked: t, arrived: t - int64(a.Waited), idle: g.idleNS(a), late: a.Late}
	if g.cfg.Plain {
		w.idle = int64(g.serviceNS)
	}
	if a.Late {
		w.deadline = t + int64(a.GiveUp) - onTheWay(a)
		return w
	}
	targets := g.cfg.Targets
	target := targets.FirstToken + time.Duration(float64(targets.FirstTokenPer1K)*float64(a.PromptTokens)/1000)
	if a.Deadline > 0 {
		target = a.Deadline
	}
	margin := 1 - goodputMargin - wasteMargin*targets.WasteWeight
	bound := int64(float64(target) * margin)
	if a.Deadline == 0 {
		bound = max(bound, int64(float64(w.idle)*idleSlack))
	}
	w.deadline = w.arrived + bound - onTheWay(a)
	return w
}

// tripsFromFar is how many round trips a request from another region makes: the
// question and the grant, the request and its answer.
const tripsFromFar = 2

// onTheWay is the time that the messages of a request from another region take.
func onTheWay(a Ask) int64 { return tripsFromFar * int64(a.Travel) }

// keptFromFar is the part of an engine's memory that requests from other regions
// leave free: their decode comes some tens of milliseconds after the grant, and an
// engine that is full by then has had a prompt read in vain.
const keptFromFar = 0.04

// keptRoom is the memory that an ask leaves free beside its own, in tokens.
func (g *Group) keptRoom(a Ask) int {
	if a.Travel <= 0 || !g.cfg.Growing {
		return 0
	}
	most := 0
	for i := range g.engines {
		most = max(most, g.engines[i].spec.KVTokens)
	}
	return int(keptFromFar * float64(most))
}

const (
	// goodputMargin is the part of the target kept for what is not estimated:
	// round trips and the engine's own jitter.
	goodputMargin = 0.05
	// wasteMargin is the further part kept when wasted prefill counts.
	wasteMargin = 0.10
)

// idleNS is the time to the first token when nothing else runs.
func (g *Group) idleNS(a Ask) int64 {
	lowest := int64(0)
	g.setCached(a)
	defer g.clearCached(a)
	for i := range g.view.Engines {
		v := &g.view.Engines[i]
		if !v.Prefill && !v.Decode && !v.Paced {
			continue
		}
		t := int64(v.prefillNS(Need{PromptTokens: a.PromptTokens}) + v.stepNS(1))
		if lowest == 0 || t < lowest {
			lowest = t
		}
	}
	return lowest
}

// pump starts what can start and drops what has become hopeless.
func (g *Group) pump(now time.Time) []Decision {
	t := sinceStart(g.start, now)
	out := g.fillOpen(t)
	if g.stranded {
		g.stranded = false
		out = append(out, g.refuseStranded(t)...)
	}
	out = g.dropHopeless(t, out)
	for len(g.waiting) > 0 {
		d, ok := g.startOne(t)
		if !ok {
			break
		}
		out = append(out, d)
	}
	return out
}

// startOne grants the first waiter in order that can start now.
func (g *Group) startOne(t int64) (Decision, bool) {
	last := float64(-1 << 62)
	for range tries {
		i, k := g.next(t, last)
		if i == none {
			return nil, false
		}
		last = k
		w := g.waiting[i]
		c, ok := g.place(t, w)
		if !ok || w.late && g.othersWait() {
			continue
		}
		late := t+c.FirstTokenNS > w.deadline
		if late && !w.ask.Resume && !g.cfg.Policy.NoEarlyRefusal {
			// Another engine may come free in time; dropHopeless ends the wait.
			continue
		}
		g.remove(i)
		return g.admit(t, w, c), true
	}
	return nil, false
}

// place asks the pure decision for a choice, under this ask's own conditions.
func (g *Group) place(t int64, w *waiter) (Choice, bool) {
	a := w.ask
	g.setCached(a)
	defer g.clearCached(a)
	g.setOut(t, a)
	g.weighZones(t)
	g.bind(t, w.idle)
	if g.cfg.Growing {
		g.forecastMemory(t, a)
	}
	need := Need{
		PromptTokens: a.PromptTokens,
		KVTokens:     a.PromptTokens + a.OutputTokens + g.keptRoom(a),
		LeftNS:       float64(w.deadline - t),
	}
	if i, ok := g.index[a.Kept]; ok && a.Kept != "" {
		return PlaceKept(&g.view, t, need, i)
	}
	return Place(&g.view, t, need)
}

// slots counts the decode slots that are free now, and all there are.
func (g *Group) slots() (free, all int) {
	for i := range g.view.Engines {
		v := &g.view.Engines[i]
		if v.Decode {
			free += max(v.Cap-v.Held, 0)
			all += max(v.Cap, 0)
		}
	}
	return free, all
}

// bind chooses how a request comes to its decode slot. While slots are
// plentiful it takes one with its grant, which saves a message. When they are
// scarce it gets one when its prefill is done, so that no slot stands idle
// meanwhile; then as many prefills may be under way as slots are free or
// expected to come free by the time they end, the fewer beyond the free ones
// the more wasted prefill counts. Engines whose memory grows keep results too
// short a time for that: there a slot always comes with the grant.
func (g *Group) bind(t, idle int64) {
	v := &g.view
	v.Late, v.Book = false, false
	if g.cfg.Policy.NoJoint {
		return
	}
	free, all := g.slots()
	left := free - len(g.open)
	v.Late = !g.cfg.Growing && float64(left) <= scarceShare*float64(all)
	ahead := float64(idle + int64(bookAhead))
	expected := g.releaseRate(t) * ahead * (1 - g.cfg.Targets.WasteWeight)
	v.Book = float64(left)+expected >= 1
	v.Recompute = !g.cfg.Policy.NoRecompute && left > 0
}

// scarceShare is the part of all slots below which the free ones are scarce.
const scarceShare = 0.25

// bookAhead is how long a finished prefill may wait for its slot, well within
// the few seconds that its result is kept.
const bookAhead = 250 * time.Millisecond

// setOut takes engines that are ejected, not for the ask, or held back out of the view.
func (g *Group) setOut(t int64, a Ask) {
	now := g.start.Add(time.Duration(t))
	g.noteCold(t)
	defer g.holdBack(t)
	for i := range g.engines {
		e, v := &g.engines[i], &g.view.Engines[i]
		out := e.leaves(t) || e.breaker.Out(now) || t < e.fullUntil || t < e.changingUntil || a.excludes(e.spec.Name)
		v.Prefill = e.spec.Prefill && !out && !e.results.Out(now)
		v.Decode = e.spec.Decode && !out
		if v.Queued > 0 && v.FreeAt < t {
			v.FreeAt = t + int64(overdue)
		}
	}
}

func (g *Group) setCached(a Ask) {
	if g.cfg.Policy.NoPrefix {
		return
	}
	for k := range a.Marks {
		for _, name := range g.marks.Holders(a.Marks[k]) {
			if i, ok := g.index[name]; ok {
				g.view.Engines[i].Cached = max(g.view.Engines[i].Cached, min(a.MarkTokens[k], a.PromptTokens))
			}
		}
	}
}

func (g *Group) clearCached(a Ask) {
	if len(a.Marks) == 0 {
		return
	}
	for i := range g.view.Engines {
		g.view.Engines[i].Cached = 0
	}
}
