// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"time"

	"runridge.example/runridge/state/lifecycle"
)

// baseline grants at once, as a router without joint decisions would: the
// engines' own queues take what does not fit.
func (g *Group) baseline(now time.Time, a Ask) []Decision {
	t := sinceStart(g.start, now)
	g.setOut(t, a)
	p := g.pick(func(v *EngineView) bool { return v.Prefill }, func(v *EngineView) int { return v.Queued })
	d := g.pick(func(v *EngineView) bool { return v.Decode }, func(v *EngineView) int { return v.Held })
	if d == none {
		return []Decision{Refuse{Ask: a, Reason: lifecycle.ReasonNoEngine, RetryAfter: time.Second}}
	}
	c := Choice{Mode: lifecycle.Move, Prefill: p, Decode: d}
	if p == none {
		c.Mode = lifecycle.Recompute
	}
	return []Decision{g.admit(t, &waiter{ask: a, asked: t}, c)}
}

// pick takes the next engine in turn, or the one with the least outstanding,
// the next in turn where several have as few.
func (g *Group) pick(fits func(*EngineView) bool, outstanding func(*EngineView) int) int {
	var able []int
	for i := range g.view.Engines {
		if fits(&g.view.Engines[i]) {
			able = append(able, i)
		}
	}
	if len(able) == 0 {
		return none
	}
	first := g.turn / rolesPerAsk % len(able)
	g.turn++
	chosen := able[first]
	if g.cfg.Policy.Name == PolicyRoundRobin {
		return chosen
	}
	for k := range able {
		i := able[(first+k)%len(able)]
		if outstanding(&g.view.Engines[i]) < outstanding(&g.view.Engines[chosen]) {
			chosen = i
		}
	}
	return chosen
}

// rolesPerAsk is how often pick is called for one ask.
const rolesPerAsk = 2
