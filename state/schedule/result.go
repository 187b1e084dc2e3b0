// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"time"

	"runridge.example/runridge/state/health"
)

// An engine that rejects a request does not report whether it has no memory or could not fetch
// the prefill result. If two engines reject the same result, the result is assumed to be lost.
// Otherwise, while many engines lose their results at once, decode engines would be left out
// for lack of memory that they have (docs/large.md).

// takeoverTime is how long after its first request a group attributes every rejection to a full
// engine, whatever else indicates a lost result: an earlier home may have granted what the
// engine holds, for as long as an answer takes. Without it a home that takes over ejects all
// prefill engines at once.
const takeoverTime = 4 * time.Second

// noteFirstRequest records the time of the group's first request, asked for or adopted.
func (g *Group) noteFirstRequest(t int64) {
	if !g.hadRequest {
		g.hadRequest, g.firstRequestAt = true, t
	}
}

// resultLost reports whether a rejection indicates a lost prefill result rather than a full
// engine: another engine has rejected the same result before, or the engine of the result has
// recently lost others.
func (g *Group) resultLost(t int64, gr *grant) bool {
	if gr.prefill == none || t-g.firstRequestAt < int64(takeoverTime) {
		return false
	}
	return gr.reuse || g.engines[gr.prefill].resultBreaker.Suspect()
}

// noteResultLost ejects the engine whose result was lost from prefilling for a while. All
// prefill engines may be ejected, because decode engines can prefill too. The engines that
// rejected the same result before no longer count as full.
func (g *Group) noteResultLost(now time.Time, gr *grant) {
	for _, name := range gr.ask.Avoid {
		if i, ok := g.index[name]; ok {
			e := &g.engines[i]
			e.fullUntil, e.unaccountedTokens = 0, 0
			e.memory.invalidate()
		}
	}
	if g.cfg.Policy.NoEjection {
		return
	}
	rules := g.cfg.Health
	rules.Failures, rules.MaxOutShare = 1, 1
	e := &g.engines[gr.prefill]
	e.resultBreaker = e.resultBreaker.WithFailure(now, rules, health.Failure{Total: 1}, g.random)
	g.ejections = append(g.ejections, Ejection{Engine: e.spec.Name, For: e.resultBreaker.EjectedFor(now), Box: gr.ask.Box, OtherAnswered: e.otherAnswered(now, gr.ask.Box), ResultsLost: true})
}
