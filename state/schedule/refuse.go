// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"slices"
	"time"

	"runridge.example/runridge/state/lifecycle"
)

// refuseEarly refuses a new request at once if it would be refused later anyway.
func (g *Group) refuseEarly(w *waiter, t int64) (Refusal, bool) {
	g.updatePacing(t, w.ask)
	refuse := func(reason lifecycle.Reason, after, wait int64) (Refusal, bool) {
		retry := max(time.Duration(after), minRetryAfter)
		if reason == lifecycle.ReasonTargetUnreachable && !w.ask.Spill && !w.late {
			retry = g.scheduleRetry(t, retry, w.ask.Patience)
		}
		return Refusal{Ask: w.ask, Reason: reason, RetryAfter: retry, Inputs: g.inputs(w, t, wait)}, true
	}
	if !g.canDecode(t, w.ask) {
		return refuse(lifecycle.ReasonNoEngine, int64(noEngineRetry), g.waitNS(w, t))
	}
	if w.ask.Resume {
		return Refusal{}, false
	}
	limit := 0
	if g.cfg.AccountLimit != nil {
		limit = g.cfg.AccountLimit(w.ask.Account)
	}
	if limit > 0 && g.accounts.inFlight[w.ask.Account] >= limit {
		return refuse(lifecycle.ReasonAccountLimit, int64(minRetryAfter), g.waitNS(w, t))
	}
	if len(g.waiting) >= g.cfg.MaxWaiting {
		wait := g.waitNS(w, t)
		return refuse(lifecycle.ReasonQueueFull, wait, wait)
	}
	if g.cfg.Policy.NoEarlyRefusal {
		return Refusal{}, false
	}
	if w.late {
		if wait, fits := g.lateWaitNS(w, t); !fits {
			return refuse(lifecycle.ReasonTargetUnreachable, wait, wait)
		}
		return Refusal{}, false
	}
	if w.trial = g.isTrial(w, t); w.trial {
		return Refusal{}, false
	}
	if wait := g.waitNS(w, t); t+wait+w.idleNS > w.deadline && !g.startsInTime(w, t) {
		return refuse(lifecycle.ReasonTargetUnreachable, wait, wait)
	}
	return Refusal{}, false
}

// isTrial reports whether a request that should be refused is started to correct the estimates.
// They are learned only from requests that run, so estimates that refuse all requests would stay
// wrong. That is so if the learned time on an idle group alone exceeds the target, and the time by
// the engines' stated speeds doesn't; then one request at a time is started, or one in that time
// if others run.
func (g *Group) isTrial(w *waiter, t int64) bool {
	if w.arrivedAt+w.idleNS <= w.deadline || w.arrivedAt+g.statedIdleNS(w.ask) > w.deadline {
		return false
	}
	if len(g.waiting) > 0 || len(g.grants) > 0 && t-g.trialAt < w.idleNS {
		return false
	}
	_, ok := g.place(t, w)
	return ok
}

// statedIdleNS returns the time to the first token of an ask on an idle group by the engines'
// stated speeds; 0 for plain requests, for which none is stated.
func (g *Group) statedIdleNS(a Ask) int64 {
	lowest := int64(0)
	for i := range g.engines {
		e := &g.engines[i].spec
		if g.cfg.Plain || !e.Prefill && !e.Decode {
			continue
		}
		prefill := float64(a.PromptTokens) * float64(time.Second) / max(e.PrefillRate, 1)
		if stated := int64(prefill) + int64(e.StepBase+e.StepPerRequest); lowest == 0 || stated < lowest {
			lowest = stated
		}
	}
	return lowest
}

// startsInTime reports whether a new waiter is first in order, would start now and would meet
// its deadline. That is possible although the prefill engines are busy for too long, because a
// decode engine may prefill.
func (g *Group) startsInTime(w *waiter, t int64) bool {
	key := g.orderKey(w, t)
	if slices.ContainsFunc(g.waiting, func(o *waiter) bool { return g.orderKey(o, t) < key }) {
		return false
	}
	c, ok := g.place(t, w)
	return ok && t+c.FirstTokenNS <= w.deadline
}

// inputs returns the figures behind a refusal; wait is the result of waitNS.
func (g *Group) inputs(w *waiter, t, wait int64) Inputs {
	free, _ := g.slots()
	return Inputs{
		Waiting:      len(g.waiting),
		Granted:      len(g.grants),
		FreeSlots:    free,
		IdleLatency:  time.Duration(w.idleNS),
		Wait:         time.Duration(wait),
		SinceLearned: time.Duration(t - g.learnedAt),
		Remaining:    time.Duration(w.deadline - t),
		Paced:        g.pacedCount(),
		Limited:      g.limitedCount(),
	}
}

const (
	// asksHalfLife is the half-life of the usual rate of asks. It is long, so that a burst does
	// not count as usual.
	asksHalfLife = float64(10 * time.Second)
	// minSpareShare is the minimum share of the release rate that is assumed to be available to
	// callers who retry, whatever the usual rate of asks.
	minSpareShare = 0.25
	// unknownPatience is the patience assumed for callers who do not announce one.
	unknownPatience = 10 * time.Second
)

// scheduleRetry returns the Retry-After time of a refused caller: at least the given time, and
// spaced after the previous one at the rate that the group can serve beyond its usual asks. If
// that exceeds the caller's patience, it returns the patience: such a request is late in any
// case, and the longer a burst lasts the more of them are served after it.
func (g *Group) scheduleRetry(t int64, after, patience time.Duration) time.Duration {
	releases := max(g.releaseRate(t), minReleaseRate)
	usual := g.usualAsks.rate(t, asksHalfLife)
	spare := max(releases-usual, releases*minSpareShare)
	next := max(g.nextRetryAt, t+int64(after)) + int64(1/spare)
	if patience <= 0 {
		patience = unknownPatience
	}
	if next-t <= int64(patience) {
		g.nextRetryAt = next
		return time.Duration(next - t)
	}
	return patience
}

// canDecode reports whether the group has any engine that can decode for an ask. Ejected
// engines count, because they come back.
func (g *Group) canDecode(t int64, a Ask) bool {
	return slices.ContainsFunc(g.engines, func(e engine) bool {
		return e.spec.Decode && !e.isLeaving(t) && !a.excludes(e.spec.Name) && a.mayDecodeOn(e.spec)
	})
}

// refuseWithoutEngine refuses waiting requests that have no engine left.
func (g *Group) refuseWithoutEngine(t int64) []Decision {
	var out []Decision
	for i := 0; i < len(g.waiting); {
		w := g.waiting[i]
		if g.canDecode(t, w.ask) {
			i++
			continue
		}
		g.remove(i)
		out = append(out, Refusal{Ask: w.ask, Reason: lifecycle.ReasonNoEngine, RetryAfter: noEngineRetry, Inputs: g.inputs(w, t, 0)})
	}
	return out
}

// noEngineRetry is the Retry-After time of a group that has no engine now.
const noEngineRetry = time.Second

// minRetryAfter is the minimum Retry-After time of a refused caller.
const minRetryAfter = 200 * time.Millisecond

// waitNS returns the estimated wait of a new waiter: the longer of the time in which the
// prefill engines finish what goes before it, and the time until enough decode slots and
// engines with a limit are available.
func (g *Group) waitNS(w *waiter, t int64) int64 {
	return max(g.capacityWaitNS(w, t), g.paceWaitNS(w, t))
}

// capacityWaitNS returns the same without the limits of engines.
func (g *Group) capacityWaitNS(w *waiter, t int64) int64 {
	key := g.orderKey(w, t)
	prefillBacklog, before := float64(0), 0
	for _, o := range g.waiting {
		if g.orderKey(o, t) < key {
			prefillBacklog += float64(o.idleNS)
			before++
		}
	}
	engines, slots := 0, 0
	for i := range g.view.Engines {
		v := &g.view.Engines[i]
		if v.Prefill || v.Paced && g.engines[i].spec.Prefill {
			engines++
			prefillBacklog += float64(max(v.FreeAt-t, 0))
		}
		if v.Decode || v.Paced && g.engines[i].spec.Decode {
			slots += max(v.MaxHeld-v.Held, 0)
		}
	}
	prefill := prefillBacklog / float64(max(engines, 1))
	if g.cfg.GrowingMemory {
		// Those before it get the memory that is released first.
		queueWait := float64(before) / max(g.releaseRate(t), minReleaseRate)
		if memory := g.memoryWaitNS(t, w.ask); memory > 0 {
			return int64(max(prefill, float64(memory)+queueWait))
		}
	}
	missing := before + len(g.awaitingDecode) + 1 - slots
	if missing <= 0 {
		return int64(prefill)
	}
	return int64(max(prefill, float64(missing)/max(g.releaseRate(t), minReleaseRate)))
}

// minReleaseRate is the minimum release rate in slots per nanosecond, used while nothing has
// been released.
const minReleaseRate = 1.0 / float64(time.Second)

// releaseHalfLife is the half-life of the counts of released slots and recent asks.
const releaseHalfLife = float64(2 * time.Second)

// releaseRate returns the number of decode slots released per nanosecond.
func (g *Group) releaseRate(t int64) float64 {
	return g.releases.rate(t, releaseHalfLife)
}

func (g *Group) refuseHopeless(t int64, out []Decision) []Decision {
	if g.cfg.Policy.NoEarlyRefusal {
		return out
	}
	for i := 0; i < len(g.waiting); {
		w := g.waiting[i]
		if !w.cannotMeetDeadline(t) {
			i++
			continue
		}
		g.remove(i)
		wait := g.waitNS(w, t)
		if w.late {
			out = append(out, Refusal{Ask: w.ask, Reason: lifecycle.ReasonTargetUnreachable, RetryAfter: max(time.Duration(wait), minRetryAfter), Inputs: g.inputs(w, t, wait)})
			continue
		}
		retry := g.scheduleRetry(t, max(time.Duration(wait), minRetryAfter), w.ask.Patience)
		out = append(out, Refusal{Ask: w.ask, Reason: lifecycle.ReasonTargetUnreachable, RetryAfter: retry, Inputs: g.inputs(w, t, wait)})
	}
	return out
}
