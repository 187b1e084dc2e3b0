// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"slices"
	"time"

	"runridge.example/runridge/state/lifecycle"
)

// refuseEarly turns away what would be refused later anyway, before it waits.
func (g *Group) refuseEarly(w *waiter, t int64) (Refuse, bool) {
	g.updatePace(t, w.ask)
	refuse := func(reason lifecycle.Reason, after, wait int64) (Refuse, bool) {
		retry := max(time.Duration(after), retryFloor)
		if reason == lifecycle.ReasonHopeless && !w.ask.Spill && !w.late {
			retry = g.scheduleRetry(t, retry, w.ask.Patience)
		}
		return Refuse{Ask: w.ask, Reason: reason, RetryAfter: retry, Seen: g.inputs(w, t, wait)}, true
	}
	if !g.canDecode(t, w.ask) {
		return refuse(lifecycle.ReasonNoEngine, int64(noEngineRetry), g.waitNS(w, t))
	}
	if w.ask.Resume {
		return Refuse{}, false
	}
	limit := 0
	if g.cfg.AccountLimit != nil {
		limit = g.cfg.AccountLimit(w.ask.Account)
	}
	if limit > 0 && g.accounts.active[w.ask.Account] >= limit {
		return refuse(lifecycle.ReasonAccountLimit, int64(retryFloor), g.waitNS(w, t))
	}
	if len(g.waiting) >= g.cfg.MaxWaiting {
		wait := g.waitNS(w, t)
		return refuse(lifecycle.ReasonQueueFull, wait, wait)
	}
	if g.cfg.Policy.NoEarlyRefusal {
		return Refuse{}, false
	}
	if w.late {
		if wait, fits := g.lateWaitNS(w, t); !fits {
			return refuse(lifecycle.ReasonHopeless, wait, wait)
		}
		return Refuse{}, false
	}
	if wait := g.waitNS(w, t); t+wait+w.idle > w.deadline && !g.startsInTime(w, t) {
		return refuse(lifecycle.ReasonHopeless, wait, wait)
	}
	return Refuse{}, false
}

// startsInTime says whether a new waiter is the first in order and would start now and
// meet its deadline: a decode engine may read its prompt while the prefill engines are
// busy for too long.
func (g *Group) startsInTime(w *waiter, t int64) bool {
	own := g.key(w, t)
	if slices.ContainsFunc(g.waiting, func(o *waiter) bool { return g.key(o, t) < own }) {
		return false
	}
	c, ok := g.place(t, w)
	return ok && t+c.FirstTokenNS <= w.deadline
}

// inputs are the figures behind a refusal; wait is what waitNS gave.
func (g *Group) inputs(w *waiter, t, wait int64) Inputs {
	free, _ := g.slots()
	return Inputs{
		Waiting:   len(g.waiting),
		Granted:   len(g.grants),
		FreeSlots: free,
		Idle:      time.Duration(w.idle),
		Wait:      time.Duration(wait),
		Left:      time.Duration(w.deadline - t),
		Paced:     g.pacedOut(),
		Limited:   g.limitedOut(),
	}
}

const (
	// asksHalfLife is how fast the usual rate of asks is forgotten: slowly, so
	// that a burst does not pass for usual.
	asksHalfLife = float64(10 * time.Second)
	// leastSpare is the part of the rate of releases that is held to be free
	// for callers who come back, whatever the usual rate of asks.
	leastSpare = 0.25
	// unknownPatience stands in for the patience of callers who do not say how long they
	// will wait.
	unknownPatience = 10 * time.Second
)

// scheduleRetry tells a refused caller when to come again: at the earliest after
// the given wait, and each after the one before, at the rate that the group
// can serve beside its usual asks. Those for whom the line is longer than they
// will wait come as late as they will: they are late in any case, and the longer
// a rush lasts the more are served after it.
func (g *Group) scheduleRetry(t int64, after, patience time.Duration) time.Duration {
	releases := max(g.releaseRate(t), minReleaseRate)
	usual := g.asks.rate(t, asksHalfLife)
	spare := max(releases-usual, releases*leastSpare)
	next := max(g.nextReturn, t+int64(after)) + int64(1/spare)
	if patience <= 0 {
		patience = unknownPatience
	}
	if next-t <= int64(patience) {
		g.nextReturn = next
		return time.Duration(next - t)
	}
	return patience
}

// canDecode says whether the group has any engine to decode on for an ask. One that is
// ejected counts: it comes back.
func (g *Group) canDecode(t int64, a Ask) bool {
	return slices.ContainsFunc(g.engines, func(e engine) bool {
		return e.spec.Decode && !e.leaves(t) && !a.excludes(e.spec.Name)
	})
}

// refuseStranded turns away those that no engine is left for.
func (g *Group) refuseStranded(t int64) []Decision {
	var out []Decision
	for i := 0; i < len(g.waiting); {
		w := g.waiting[i]
		if g.canDecode(t, w.ask) {
			i++
			continue
		}
		g.remove(i)
		out = append(out, Refuse{Ask: w.ask, Reason: lifecycle.ReasonNoEngine, RetryAfter: noEngineRetry, Seen: g.inputs(w, t, 0)})
	}
	return out
}

// noEngineRetry is when to come again to a group that has no engine now.
const noEngineRetry = time.Second

// retryFloor is the least that a refused caller is told to wait.
const retryFloor = 200 * time.Millisecond

// waitNS estimates how long a new waiter would wait: the longer of the time in
// which the prefill engines work off what goes before it, and the time in
// which enough decode slots come free.
func (g *Group) waitNS(w *waiter, t int64) int64 {
	return max(g.roomWaitNS(w, t), g.paceWaitNS(w, t))
}

// roomWaitNS is the same with no regard to cold engines' pace.
func (g *Group) roomWaitNS(w *waiter, t int64) int64 {
	own := g.key(w, t)
	ahead, before := float64(0), 0
	for _, o := range g.waiting {
		if g.key(o, t) < own {
			ahead += float64(o.idle)
			before++
		}
	}
	engines, slots := 0, 0
	for i := range g.view.Engines {
		v := &g.view.Engines[i]
		if v.Prefill || v.Paced && g.engines[i].spec.Prefill {
			engines++
			ahead += float64(max(v.FreeAt-t, 0))
		}
		if v.Decode || v.Paced && g.engines[i].spec.Decode {
			slots += max(v.Cap-v.Held, 0)
		}
	}
	prefill := ahead / float64(max(engines, 1))
	if g.cfg.Growing {
		// Each one before takes the room that comes free first.
		turn := float64(before) / max(g.releaseRate(t), minReleaseRate)
		if memory := g.memoryWaitNS(t, w.ask); memory > 0 {
			return int64(max(prefill, float64(memory)+turn))
		}
	}
	short := before + len(g.open) + 1 - slots
	if short <= 0 {
		return int64(prefill)
	}
	return int64(max(prefill, float64(short)/max(g.releaseRate(t), minReleaseRate)))
}

// minReleaseRate, slots per nanosecond, stands in while nothing was released.
const minReleaseRate = 1.0 / float64(time.Second)

// releaseHalfLife is how fast released slots are forgotten.
const releaseHalfLife = float64(2 * time.Second)

// releaseRate is the number of decode slots that come free per nanosecond.
func (g *Group) releaseRate(t int64) float64 {
	return g.releases.rate(t, releaseHalfLife)
}

func (g *Group) dropHopeless(t int64, out []Decision) []Decision {
	if g.cfg.Policy.NoEarlyRefusal {
		return out
	}
	for i := 0; i < len(g.waiting); {
		w := g.waiting[i]
		if !w.hopeless(t) {
			i++
			continue
		}
		g.remove(i)
		wait := g.waitNS(w, t)
		if w.late {
			out = append(out, Refuse{Ask: w.ask, Reason: lifecycle.ReasonHopeless, RetryAfter: max(time.Duration(wait), retryFloor), Seen: g.inputs(w, t, wait)})
			continue
		}
		retry := g.scheduleRetry(t, max(time.Duration(wait), retryFloor), w.ask.Patience)
		out = append(out, Refuse{Ask: w.ask, Reason: lifecycle.ReasonHopeless, RetryAfter: retry, Seen: g.inputs(w, t, wait)})
	}
	return out
}
