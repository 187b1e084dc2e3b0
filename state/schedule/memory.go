// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"cmp"
	"slices"
	"time"
)

// load is the memory of one request on an engine, in tokens.
type load struct {
	// held is what it takes now; rest is how much it is expected to grow
	// before it ends and gives all back.
	held, rest int
}

const (
	// guessBias is the mean length of an answer over the caller's guess, which
	// is right in the median: long answers are longer than short ones are short.
	guessBias = 1.15
	// overrunShare is the part of the guess that is expected to come yet of an
	// answer that is as long as guessed already, and leastRest the least.
	overrunShare = 0.25
	leastRest    = 128
	// memoryMargin is the part of an engine's memory that is filled.
	memoryMargin = 0.88
)

// restOf is how much an answer is expected to grow.
func restOf(guess, made int) int {
	expected := int(float64(guess) * guessBias)
	return max(expected-made, int(float64(guess)*overrunShare), leastRest)
}

// usualLoad is the mean memory of what is asked for lately, in tokens.
type usualLoad struct{ held, rest float64 }

// usualShare is the weight of one ask in the mean.
const usualShare = 1.0 / 32

// with returns the mean after one more ask.
func (u usualLoad) with(l load) usualLoad {
	if u == (usualLoad{}) {
		return usualLoad{held: float64(l.held), rest: float64(l.rest)}
	}
	u.held += (float64(l.held) - u.held) * usualShare
	u.rest += (float64(l.rest) - u.rest) * usualShare
	return u
}

// atMost is a load, or the usual one if that is smaller.
func (u usualLoad) atMost(l load) load {
	return load{held: min(l.held, int(u.held)), rest: min(l.rest, int(u.rest))}
}

// byEnd puts loads in the order in which they end.
func byEnd(loads []load) {
	slices.SortFunc(loads, func(a, b load) int { return cmp.Compare(a.rest, b.rest) })
}

// peak is the most memory that loads take together from now on, when each
// grows by a token a step until it ends. The loads are put in order.
func peak(loads []load) int {
	byEnd(loads)
	held := 0
	for _, l := range loads {
		held += l.held
	}
	highest := held
	left := len(loads)
	for _, l := range loads {
		// Just before this one ends, all that are left have grown as far.
		highest = max(highest, held+left*l.rest)
		held -= l.held
		left--
	}
	return highest
}

// stepsUntilRoom is after how many steps a further load fits beside others in
// a memory, or -1 if it never does. The loads are put in order.
func stepsUntilRoom(loads []load, further load, memory int) int {
	byEnd(loads)
	scratch := make([]load, 0, len(loads)+1)
	for first := 0; first <= len(loads); first++ {
		steps := 0
		if first > 0 {
			steps = loads[first-1].rest
		}
		scratch = scratch[:0]
		for _, l := range loads[first:] {
			scratch = append(scratch, load{held: l.held + steps, rest: l.rest - steps})
		}
		if peak(append(scratch, further)) <= memory {
			return steps
		}
	}
	return -1
}

// loadsOn lists the memory of the requests on each engine: those granted, and
// those whose answer was lost, for as long as they should take.
func (g *Group) loadsOn(t int64) [][]load {
	out := make([][]load, len(g.engines))
	for _, gr := range g.grants {
		if gr.decode != none {
			out[gr.decode] = append(out[gr.decode], g.loadOf(t, gr))
		}
	}
	for i := range g.engines {
		if hidden := g.engines[i].hiddenBy(t); hidden > 0 {
			out[i] = append(out[i], load{held: hidden, rest: leastRest})
		}
	}
	g.lost = slices.DeleteFunc(g.lost, func(gr *grant) bool {
		if gr.decode == none || g.madeBy(t, gr) >= int(float64(gr.ask.OutputTokens)*guessBias) {
			return true
		}
		out[gr.decode] = append(out[gr.decode], g.loadOf(t, gr))
		return false
	})
	return out
}

const (
	// fullPause is how long an engine that turned a request away gets nothing.
	fullPause = int64(100 * time.Millisecond)
	// hiddenFor is how long memory that must be held for others is reckoned
	// with; it shrinks evenly over that time.
	hiddenFor = int64(1500 * time.Millisecond)
)

// noteFull takes in that an engine turned a request away although the forecast
// had room for it: it holds memory that this group knows nothing of, granted by
// a home before or beside this one.
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
	for _, l := range g.loadsOn(t)[i] {
		known += l.held
	}
	// What is known includes what was reckoned as hidden before.
	e.hidden = e.hiddenBy(t) + max(e.spec.KVTokens-gr.ask.PromptTokens-known, 0)
	e.hiddenAt = t
}

// hiddenBy is the memory that the engine is reckoned to hold for others.
func (e *engine) hiddenBy(t int64) int {
	left := hiddenFor - (t - e.hiddenAt)
	if left <= 0 {
		return 0
	}
	return int(float64(e.hidden) * float64(left) / float64(hiddenFor))
}

// loadOf is the memory of one grant.
func (g *Group) loadOf(t int64, gr *grant) load {
	made := g.madeBy(t, gr)
	return load{held: gr.ask.PromptTokens + made, rest: restOf(gr.ask.OutputTokens, made)}
}

// madeBy is how many tokens a grant's engine should have made.
func (g *Group) madeBy(t int64, gr *grant) int {
	if !gr.prefilled && gr.prefill != none {
		return 0
	}
	v := &g.view.Engines[gr.decode]
	return int(float64(max(t-gr.decodeAt, 0)) / max(v.stepNS(v.Held), 1))
}

// forecastMemory sets what each engine can still promise to an ask, by the
// highest point that its memory is expected to reach.
func (g *Group) forecastMemory(t int64, a Ask) {
	further := load{held: a.PromptTokens, rest: restOf(a.OutputTokens, 0)}
	need := a.PromptTokens + a.OutputTokens
	for i, loads := range g.loadsOn(t) {
		memory := int(float64(g.engines[i].spec.KVTokens) * memoryMargin)
		g.view.Engines[i].KVFree = memory - peak(append(loads, further)) + need
	}
}

// memoryWaitNS is how long an ask waits until the first engine has room. One
// that is larger than usual is reckoned as one of usual size: by its own size it
// would be refused far more often than the others.
func (g *Group) memoryWaitNS(t int64, a Ask) int64 {
	further := g.usual.atMost(load{held: a.PromptTokens, rest: restOf(a.OutputTokens, 0)})
	earliest := int64(-1)
	for i, loads := range g.loadsOn(t) {
		v := &g.view.Engines[i]
		if !v.Decode {
			continue
		}
		memory := int(float64(g.engines[i].spec.KVTokens) * memoryMargin)
		steps := stepsUntilRoom(loads, further, memory)
		if steps < 0 {
			continue
		}
		if wait := int64(float64(steps) * v.stepNS(max(v.Held, 1))); earliest < 0 || wait < earliest {
			earliest = wait
		}
	}
	return max(earliest, 0)
}
