// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"slices"
	"time"
)

// meanLoad is the mean size of recent asks, in tokens.
type meanLoad struct{ promptTokens, outputTokens float64 }

// meanLoadWeight is the weight of one ask in the mean.
const meanLoadWeight = 1.0 / 32

// with returns the mean after one more ask.
func (u meanLoad) with(a Ask) meanLoad {
	if u == (meanLoad{}) {
		return meanLoad{promptTokens: float64(a.PromptTokens), outputTokens: float64(a.OutputTokens)}
	}
	u.promptTokens += (float64(a.PromptTokens) - u.promptTokens) * meanLoadWeight
	u.outputTokens += (float64(a.OutputTokens) - u.outputTokens) * meanLoadWeight
	return u
}

// atMost returns the memory of an ask, limited to that of a mean one.
func (u meanLoad) atMost(a Ask) requestMemory {
	return requestMemory{heldTokens: min(a.PromptTokens, int(u.promptTokens)), expectedOutput: min(a.OutputTokens, int(u.outputTokens))}
}

// usualLength returns the expected answer length of a mean ask, in tokens.
func (g *Group) usualLength() float64 {
	return max(g.lengths.Expected(int(g.meanAsk.outputTokens)), 1)
}

// memoryByEngine returns, for each wanted engine, the memory of its requests: those that are
// granted, and those whose answer was lost, until they should have ended. Unconfirmed grants
// that should have ended are removed.
func (g *Group) memoryByEngine(t int64, wanted func(i int) bool) [][]requestMemory {
	out := make([][]requestMemory, len(g.engines))
	for _, gr := range g.grants {
		if gr.decode != none && wanted(gr.decode) {
			out[gr.decode] = append(out[gr.decode], g.memoryOf(t, gr))
		}
	}
	for i := range g.engines {
		if unaccounted := g.engines[i].unaccountedTokensAt(t); unaccounted > 0 && wanted(i) {
			out[i] = append(out[i], requestMemory{heldTokens: unaccounted})
		}
	}
	g.unconfirmed = slices.DeleteFunc(g.unconfirmed, func(gr *grant) bool {
		if gr.decode == none || float64(g.generatedBy(t, gr)) >= g.lengths.Expected(gr.ask.OutputTokens) {
			return true
		}
		if wanted(gr.decode) {
			out[gr.decode] = append(out[gr.decode], g.memoryOf(t, gr))
		}
		return false
	})
	return out
}

const (
	// fullPause is how long an engine gets no requests after it rejected one as full.
	fullPause = int64(100 * time.Millisecond)
	// unaccountedDecay is the time in which the memory that an engine must be holding for
	// others is assumed to fall linearly to zero.
	unaccountedDecay = int64(1500 * time.Millisecond)
)

// noteFull records that an engine rejected a request although the forecast had room for it: it
// holds memory that this group did not grant, but an earlier or a concurrent home.
func (g *Group) noteFull(t int64, gr *grant, name string) {
	i, ok := g.index[name]
	if !ok {
		return
	}
	e := &g.engines[i]
	e.fullUntil = t + fullPause
	if gr.decode != i {
		return
	}
	known := 0
	for _, l := range g.memoryByEngine(t, func(j int) bool { return j == i })[i] {
		known += l.heldTokens
	}
	// known includes the memory that was counted as unaccounted before.
	e.unaccountedTokens = e.unaccountedTokensAt(t) + max(e.spec.KVTokens-gr.ask.PromptTokens-known, 0)
	e.unaccountedSince = t
	e.memory.invalidate()
}

// unaccountedTokensAt returns the memory that the engine is assumed to hold for others, in
// tokens.
func (e *engine) unaccountedTokensAt(t int64) int {
	remaining := unaccountedDecay - (t - e.unaccountedSince)
	if remaining <= 0 {
		return 0
	}
	return int(float64(e.unaccountedTokens) * float64(remaining) / float64(unaccountedDecay))
}

// memoryOf returns the estimated memory of a grant.
func (g *Group) memoryOf(t int64, gr *grant) requestMemory {
	made := g.generatedBy(t, gr)
	return requestMemory{heldTokens: gr.ask.PromptTokens + made, expectedOutput: max(gr.ask.OutputTokens, 1), generated: made}
}

// generatedBy returns how many tokens the engine should have generated for a grant by now.
func (g *Group) generatedBy(t int64, gr *grant) int {
	if !gr.prefilled && gr.prefill != none {
		return 0
	}
	v := &g.view.Engines[gr.decode]
	return int(float64(max(t-gr.decodeStartedAt, 0)) / max(v.stepNS(v.Held), 1))
}

// updateForecasts recomputes all stale forecasts.
func (g *Group) updateForecasts(t int64) {
	stale := make([]bool, len(g.engines))
	for i := range g.engines {
		stale[i] = g.engines[i].spec.Decode && g.engines[i].memory.stale(t)
	}
	if !slices.Contains(stale, true) {
		return
	}
	usual := g.usualLength()
	for i, loads := range g.memoryByEngine(t, func(i int) bool { return stale[i] }) {
		if !stale[i] {
			continue
		}
		f := forecast{}
		for _, l := range loads {
			f = f.with(l, usual, g.lengths)
		}
		g.engines[i].memory = cachedForecast{forecast: f, computedAt: max(t, 1)}
	}
}

// forecastMemory updates the free memory of each engine for an ask, based on the peak that its
// memory use is expected to reach.
func (g *Group) forecastMemory(t int64, a Ask) {
	g.updateForecasts(t)
	further := forecast{}.with(requestMemory{heldTokens: a.PromptTokens, expectedOutput: max(a.OutputTokens, 1)}, g.usualLength(), g.lengths)
	need := a.PromptTokens + a.OutputTokens
	for i := range g.engines {
		e := &g.engines[i]
		if e.spec.Decode {
			with := e.memory.plus(&further)
			g.view.Engines[i].KVFree = e.spec.KVTokens - int(with.peak()) + need
		}
	}
}

// memoryWaitNS returns how long an ask waits until the first engine has room for it, or the
// whole length of the forecast if none has. An ask larger than the mean is treated as one of
// mean size: by its own size it would be refused far more often than others.
func (g *Group) memoryWaitNS(t int64, a Ask) int64 {
	g.updateForecasts(t)
	usual := g.usualLength()
	further := forecast{}.with(g.meanAsk.atMost(a), usual, g.lengths)
	earliest, found := int64(0), false
	for i := range g.engines {
		v, e := &g.view.Engines[i], &g.engines[i]
		if !v.Decode && (!v.Paced || !e.spec.Decode) {
			continue
		}
		steps := e.memory.stepsUntilFits(&further, usual, float64(e.spec.KVTokens))
		if steps < 0 {
			steps = usual
		}
		wait := int64(steps * v.stepNS(max(v.Held, 1)))
		if !found || wait < earliest {
			earliest, found = wait, true
		}
	}
	return earliest
}
