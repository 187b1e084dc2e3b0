// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"time"

	"runridge.example/runridge/state/health"
)

// An engine that turns a request away does not say whether it has no memory or
// could not fetch the prefill result. Two engines that turn away the same
// result speak against the result: else, while many engines lose theirs at once,
// decode engines are held back for memory that they have (docs/large.md).

// takeoverTime is for how long after the first request that it is told of a group takes an engine that
// turns a request away for full, whatever else speaks against the result: an earlier
// home may have granted what the engine holds, for as long as an answer takes. Without it
// a home that takes over has all engines that prefill out in a moment.
const takeoverTime = 4 * time.Second

// begin notes when the group is told of its first request, asked for or adopted.
func (g *Group) begin(t int64) {
	if !g.asked {
		g.asked, g.begun = true, t
	}
}

// resultLost says whether a request that was turned away speaks against its
// prefill result rather than against the engine that turned it away: another
// one has turned the same result away before, or the result's engine has lost
// others lately.
func (g *Group) resultLost(t int64, gr *grant) bool {
	if gr.prefill == none || t-g.begun < int64(takeoverTime) {
		return false
	}
	return gr.reuse || g.engines[gr.prefill].results.Suspect()
}

// noteResultLost takes the engine whose result was lost out of prefilling for a
// while, all of them if need be: decode engines read prompts too. Those that
// turned the same result away before were not full.
func (g *Group) noteResultLost(now time.Time, gr *grant) {
	for _, name := range gr.ask.Avoid {
		if i, ok := g.index[name]; ok {
			e := &g.engines[i]
			e.fullUntil, e.unaccounted = 0, 0
			e.memory.drop()
		}
	}
	if g.cfg.Policy.NoEjection {
		return
	}
	rules := g.cfg.Health
	rules.Failures, rules.MaxOutShare = 1, 1
	e := &g.engines[gr.prefill]
	e.results = e.results.WithFailure(now, rules, health.Failure{Total: 1}, g.random)
	g.ejections = append(g.ejections, Ejection{Engine: e.spec.Name, For: e.results.OutFor(now), ResultsLost: true})
}
