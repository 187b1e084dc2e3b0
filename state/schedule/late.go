// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import "slices"

// Requests that cannot meet their target any more are worth less than those
// that can, to their callers too, who have waited already. They start on what
// the others leave, and wait only where that will be enough in time. In rushes of
// twice the usual load over 64 engines, 2,042 of 2,408 streams were in time
// instead of 1,970, and 22,227 of 24,731 plain requests instead of 18,738 on a
// day with faults (docs/large.md).

// lateWaitNS is how long a late request would wait for its turn, and whether it
// would be served before its caller gives up. Nothing is left for it while more
// is asked for than comes free.
func (g *Group) lateWaitNS(w *waiter, t int64) (int64, bool) {
	wait := g.waitNS(w, t)
	if g.canStart(t, w.ask) {
		return 0, true
	}
	spare := g.releaseRate(t) - g.recentAsks.rate(t, releaseHalfLife)
	if spare <= 0 {
		return wait, false
	}
	ahead := 1
	for _, o := range g.waiting {
		if o.late {
			ahead++
		}
	}
	turn := int64(float64(ahead) / spare)
	wait = max(wait, turn)
	return wait, t+wait+w.idle <= w.deadline
}

// othersWait says whether a request in time waits. Then what is free is not left
// for a late one.
func (g *Group) othersWait() bool {
	return slices.ContainsFunc(g.waiting, func(w *waiter) bool { return !w.late })
}

// canStart says whether a late request could start now: an engine has a slot and
// memory for it, and no request in time waits.
func (g *Group) canStart(t int64, a Ask) bool {
	if g.othersWait() {
		return false
	}
	g.setOut(t, a)
	if g.cfg.Growing {
		g.forecastMemory(t, a)
	}
	tokens := a.PromptTokens + a.OutputTokens
	return slices.ContainsFunc(g.view.Engines, func(v EngineView) bool {
		return v.Decode && v.Held < v.Cap && v.KVFree >= tokens
	})
}
