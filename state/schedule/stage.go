// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"slices"
	"time"

	"runridge.example/runridge/state/stages"
)

// noteWork takes in the prompt work of an ask that comes for the first time.
func (g *Group) noteWork(a Ask, t int64) {
	if !g.cfg.Growing || a.Resume || a.Spill {
		return
	}
	g.work.Add(time.Duration(t), float64(a.PromptTokens)*g.tokenNS()/float64(time.Second))
}

// tokenNS is the time in which the fastest engine that prefills reads one token, or
// the fastest of the others where none does. What is learnt of the slower ones
// holds the time for which prompts waited in them too.
func (g *Group) tokenNS() float64 {
	fastest := [2]float64{}
	for i := range g.engines {
		role := 0
		if g.engines[i].spec.Prefill {
			role = 1
		}
		if ns := g.view.Engines[i].PrefillNS; fastest[role] == 0 || ns < fastest[role] {
			fastest[role] = ns
		}
	}
	if fastest[1] > 0 {
		return fastest[1]
	}
	return fastest[0]
}

// Stages is what the planning of stages looks at. Engines that leave are none of it:
// those that stay have to cover what they did.
func (g *Group) Stages(now time.Time) ([]stages.Engine, stages.Load) {
	t := sinceStart(g.start, now)
	out := make([]stages.Engine, 0, len(g.engines))
	for i := range g.engines {
		e := &g.engines[i]
		if e.leaves(t) {
			// The others have to do without it.
			continue
		}
		changing := t < e.changingUntil
		out = append(out, stages.Engine{
			Name:     e.spec.Name,
			Prefill:  e.spec.Prefill != changing,
			Changing: changing,
			Ready:    !changing && !e.breaker.Out(now),
			TokenNS:  g.view.Engines[i].PrefillNS,
		})
	}
	load := g.work.Load(time.Duration(t))
	load.Fill = g.decodeFill(t)
	if g.usual.prompt > 0 {
		load.Prompt = time.Duration(g.usual.prompt * g.usualTokenNS())
		load.Answer = g.answerTime(t)
	}
	return out, load
}

// usualTokenNS is the time in which a usual engine that prefills reads one token: the
// lower quartile of those that have read some, since what is learnt of the slower ones
// holds waiting, and that of the fastest one may be a single short prompt.
func (g *Group) usualTokenNS() float64 {
	var learned []float64
	for i := range g.engines {
		if e := &g.engines[i]; e.spec.Prefill && e.prefill.Seen() > 0 {
			learned = append(learned, g.view.Engines[i].PrefillNS)
		}
	}
	if len(learned) == 0 {
		return g.tokenNS()
	}
	slices.Sort(learned)
	return learned[len(learned)/4]
}

// fullShare is the part of an engine's memory that is in use at most, as the forecast
// keeps some for answers that become longer than guessed: engines of 28,217 tokens
// held 7.5 requests of 3,500 in a rush.
const fullShare = 0.93

// answerTime is for how long one usual answer takes an engine whose memory is full of
// such: its whole time, shared by as many as there is room for; 0 while none has been
// observed to answer.
func (g *Group) answerTime(t int64) time.Duration {
	length := g.usualLength()
	sum, engines := 0.0, 0
	for i := range g.engines {
		e, v := &g.engines[i], &g.view.Engines[i]
		if !e.spec.Decode || e.leaves(t) || e.step.Seen() == 0 {
			continue
		}
		// Answers grow evenly: on the way one takes half of its length on average.
		room := fullShare * float64(e.spec.KVTokens) / (g.usual.prompt + length/2)
		batch := max(min(room, float64(e.spec.Slots)), 1)
		sum += length * (v.StepBaseNS + v.StepPerNS*batch) / batch
		engines++
	}
	if engines == 0 {
		return 0
	}
	return time.Duration(sum / float64(engines))
}

// decodeFill is the part of the memory that is promised, over the decode engines that
// stay.
func (g *Group) decodeFill(t int64) float64 {
	free, all := 0, 0
	for i := range g.engines {
		if g.engines[i].spec.Decode && !g.engines[i].leaves(t) {
			free += g.view.Engines[i].KVFree
			all += g.view.Engines[i].KVTokens
		}
	}
	if all == 0 {
		return 0
	}
	return 1 - float64(free)/float64(all)
}

// Change notes that an engine is ordered to change its stage: it gets nothing until
// it has, or until some time has passed.
func (g *Group) Change(now time.Time, engine string, lasts time.Duration) {
	if i, ok := g.index[engine]; ok {
		g.engines[i].changingUntil = sinceStart(g.start, now) + int64(lasts)
	}
}

// Unchanged notes that an engine does not change after all.
func (g *Group) Unchanged(engine string) {
	if i, ok := g.index[engine]; ok {
		g.engines[i].changingUntil = 0
	}
}
