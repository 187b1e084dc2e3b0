// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"time"

	"runridge.example/runridge/state/lifecycle"
)

// grantBaseline grants at once, as a router without joint decisions would: requests that do not
// fit wait in the engines' own queues.
func (g *Group) grantBaseline(now time.Time, a Ask) []Decision {
	t := sinceStart(g.start, now)
	g.updateAvailability(t, a)
	p := g.pickBaseline(func(v *EngineView) bool { return v.Prefill }, func(v *EngineView) int { return v.Queued })
	d := g.pickBaseline(func(v *EngineView) bool { return v.Decode }, func(v *EngineView) int { return v.Held })
	if d == none {
		return []Decision{Refusal{Ask: a, Reason: lifecycle.ReasonNoEngine, RetryAfter: time.Second}}
	}
	c := Choice{Mode: lifecycle.Move, Prefill: p, Decode: d}
	if p == none {
		c.Mode = lifecycle.Recompute
	}
	return []Decision{g.admit(t, &waiter{ask: a, askedAt: t}, c)}
}

// pickBaseline returns the next engine in round-robin order, or the one with the fewest
// outstanding requests, using round-robin order among equals.
func (g *Group) pickBaseline(fits func(*EngineView) bool, outstanding func(*EngineView) int) int {
	var able []int
	for i := range g.view.Engines {
		if fits(&g.view.Engines[i]) {
			able = append(able, i)
		}
	}
	if len(able) == 0 {
		return none
	}
	first := g.nextTurn / rolesPerAsk % len(able)
	g.nextTurn++
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

// rolesPerAsk is how often pickBaseline is called for one ask.
const rolesPerAsk = 2
