// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"slices"
	"time"

	"runridge.example/runridge/state/lifecycle"
)

// findWaiter returns the waiter of an ask, or nil if it is not in the queue.
func (g *Group) findWaiter(id lifecycle.AttemptID) *waiter {
	i := slices.IndexFunc(g.waiting, func(w *waiter) bool { return w.ask.ID == id })
	if i < 0 {
		return nil
	}
	return g.waiting[i]
}

// newWaiter returns a waiter with the deadline of an ask and its time on an idle group.
func (g *Group) newWaiter(a Ask, t int64) *waiter {
	w := &waiter{ask: a, askedAt: t, arrivedAt: t - int64(a.Elapsed), idleNS: g.idleNS(a), late: a.Late}
	if g.cfg.Plain {
		w.idleNS = int64(g.serviceNS)
	}
	if a.Resume && a.RemainingPatience > 0 {
		w.giveUpAt = t + int64(a.RemainingPatience) - messageTime(a)
	}
	if a.Late {
		w.deadline = t + int64(a.RemainingPatience) - messageTime(a)
		return w
	}
	targets := g.cfg.Targets
	target := targets.FirstToken + time.Duration(float64(targets.FirstTokenPer1K)*float64(a.PromptTokens)/1000)
	if a.Deadline > 0 {
		target = a.Deadline
	}
	margin := 1 - goodputMargin - wasteMargin*targets.WasteWeight
	allowed := int64(float64(target) * margin)
	if a.Deadline == 0 {
		allowed = max(allowed, int64(float64(w.idleNS)*idleLatencyFactor))
	}
	w.deadline = w.arrivedAt + allowed - messageTime(a)
	return w
}

// remoteRoundTrips is the number of round trips of a request from another region: ask and
// grant, request and answer.
const remoteRoundTrips = 2

// messageTime returns the time that messages of a request from another region take.
func messageTime(a Ask) int64 { return remoteRoundTrips * int64(a.RegionRoundTrip) }

// remoteReserveShare is the share of an engine's memory that requests from other regions must
// leave free. Their decode starts some tens of milliseconds after the grant, and if the engine
// is full by then, the prefill was wasted.
const remoteReserveShare = 0.04

// remoteReserve returns the memory that an ask must leave free in addition to its own, in
// tokens.
func (g *Group) remoteReserve(a Ask) int {
	if a.RegionRoundTrip <= 0 || !g.cfg.GrowingMemory {
		return 0
	}
	largest := 0
	for i := range g.engines {
		largest = max(largest, g.engines[i].spec.KVTokens)
	}
	return int(remoteReserveShare * float64(largest))
}

const (
	// goodputMargin is the share of the target reserved for what is not estimated: round trips
	// and the engine's own jitter.
	goodputMargin = 0.05
	// wasteMargin is the additional share reserved at a WasteWeight of 1.
	wasteMargin = 0.10
)

// idleNS returns the time to the first token of an ask on an idle group.
func (g *Group) idleNS(a Ask) int64 {
	lowest := int64(0)
	g.markCached(a)
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

// startWaiting starts the requests that can start now and refuses those that can no longer meet
// their deadline.
func (g *Group) startWaiting(now time.Time) []Decision {
	t := sinceStart(g.start, now)
	out := g.assignDecodeSlots(t)
	if g.leavingChanged {
		g.leavingChanged = false
		out = append(out, g.refuseWithoutEngine(t)...)
	}
	out = g.refuseHopeless(t, out)
	for len(g.waiting) > 0 {
		d, ok := g.startNext(t)
		if !ok {
			break
		}
		out = append(out, d)
	}
	return out
}

// startNext grants the first waiter in order that can start now.
func (g *Group) startNext(t int64) (Decision, bool) {
	last := float64(-1 << 62)
	for range maxPlacementTries {
		i, k := g.nextWaiter(t, last)
		if i == none {
			return nil, false
		}
		last = k
		w := g.waiting[i]
		c, ok := g.place(t, w)
		if !ok || w.late && g.onTimeWaiting() {
			continue
		}
		late := t+c.FirstTokenNS > w.deadline
		if late && !w.ask.Resume && !g.cfg.Policy.NoEarlyRefusal {
			// Another engine may become free in time; otherwise refuseHopeless ends the wait.
			continue
		}
		g.remove(i)
		return g.admit(t, w, c), true
	}
	return nil, false
}

// place updates the view for one waiter and returns its placement, or false if it cannot start
// now.
func (g *Group) place(t int64, w *waiter) (Choice, bool) {
	a := w.ask
	g.markCached(a)
	defer g.clearCached(a)
	g.updateAvailability(t, a)
	g.updateZoneCosts(t)
	g.chooseSlotTiming(t, w.idleNS)
	if g.cfg.GrowingMemory {
		g.forecastMemory(t, a)
	}
	need := Need{
		PromptTokens: a.PromptTokens,
		KVTokens:     a.PromptTokens + a.OutputTokens + g.remoteReserve(a),
		RemainingNS:  float64(w.deadline - t),
	}
	if i, ok := g.index[a.KeptBy]; ok && a.KeptBy != "" {
		return PlaceKept(&g.view, t, need, i)
	}
	return Place(&g.view, t, need)
}

// slots returns the number of free decode slots and of all.
func (g *Group) slots() (free, all int) {
	for i := range g.view.Engines {
		v := &g.view.Engines[i]
		if v.Decode {
			free += max(v.MaxHeld-v.Held, 0)
			all += max(v.MaxHeld, 0)
		}
	}
	return free, all
}

// chooseSlotTiming decides when requests get their decode slot. While slots are plentiful a
// request gets one with its grant, which saves a message. When they are scarce it gets one when
// its prefill is done, so that no slot is idle meanwhile. Then the number of prefills in flight
// is limited to the slots that are free or expected to become free by the time they end; the
// more wasted prefill counts, the fewer beyond the free slots. Engines with growing memory keep
// results for too short a time for that, so there a slot always comes with the grant.
func (g *Group) chooseSlotTiming(t, idle int64) {
	v := &g.view
	v.DeferDecode, v.MayDefer = false, false
	if g.cfg.Policy.NoJoint {
		return
	}
	free, all := g.slots()
	available := free - len(g.awaitingDecode)
	v.DeferDecode = !g.cfg.GrowingMemory && float64(available) <= scarceShare*float64(all)
	window := float64(idle + int64(maxSlotWait))
	expected := g.releaseRate(t) * window * (1 - g.cfg.Targets.WasteWeight)
	v.MayDefer = float64(available)+expected >= 1
	v.Recompute = !g.cfg.Policy.NoRecompute && available > 0
}

// scarceShare is the share of free slots at or below which slots are scarce.
const scarceShare = 0.25

// maxSlotWait is how long a finished prefill may wait for its slot, well within the few seconds
// that its result is kept.
const maxSlotWait = 250 * time.Millisecond

// updateAvailability updates which engines the view offers to an ask: engines that are leaving,
// ejected, full, changing their stage, excluded by the ask or at their limit are left out.
func (g *Group) updateAvailability(t int64, a Ask) {
	now := g.start.Add(time.Duration(t))
	g.updateCold(t)
	defer g.excludePaced(t)
	g.viewSoftware = a.Software
	for i := range g.engines {
		e, v := &g.engines[i], &g.view.Engines[i]
		excluded := e.isLeaving(t) || e.breaker.Ejected(now) || t < e.fullUntil || t < e.changingUntil || a.excludes(e.spec.Name)
		v.Prefill = e.spec.Prefill && !excluded && !e.resultBreaker.Ejected(now)
		v.Decode = e.spec.Decode && !excluded && a.mayDecodeOn(e.spec)
		if v.Queued > 0 && v.FreeAt < t {
			v.FreeAt = t + int64(overduePrefillRemaining)
		}
	}
}

func (g *Group) markCached(a Ask) {
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
