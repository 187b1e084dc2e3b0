// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"slices"
	"time"

	"runridge.example/runridge/state/stages"
)

// addPromptWork adds the prefill work of a new request.
func (g *Group) addPromptWork(a Ask, t int64) {
	if !g.cfg.GrowingMemory || a.Resume || a.Spill {
		return
	}
	g.promptWork.Add(time.Duration(t), float64(a.PromptTokens)*g.tokenNS()/float64(time.Second))
}

// tokenNS returns the prefill time per token of the fastest prefill engine, or of the fastest
// other engine if there is none. The learned times of slower engines include time that prompts
// spent waiting in them.
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

// Stages returns the input for planning which engines prefill and which decode. Engines that
// are leaving are not part of it, because the others have to take over their work.
func (g *Group) Stages(now time.Time) ([]stages.Engine, stages.Load) {
	t := sinceStart(g.start, now)
	out := make([]stages.Engine, 0, len(g.engines))
	for i := range g.engines {
		e := &g.engines[i]
		if e.isLeaving(t) {
			// The other engines take over its work.
			continue
		}
		changing := t < e.changingUntil
		out = append(out, stages.Engine{
			Name:     e.spec.Name,
			Prefill:  e.spec.Prefill != changing,
			Changing: changing,
			Ready:    !changing && !e.breaker.Ejected(now),
			TokenNS:  g.view.Engines[i].PrefillNS,
			Software: e.spec.Software,
		})
	}
	load := g.promptWork.Load(time.Duration(t))
	load.Fill = g.decodeFill(t)
	if g.meanAsk.promptTokens > 0 {
		load.Prompt = time.Duration(g.meanAsk.promptTokens * g.usualTokenNS())
		load.Answer = g.answerTime(t)
	}
	return out, load
}

// usualTokenNS returns the prefill time per token of a typical prefill engine: the lower
// quartile of those that have served prompts. The learned times of slower engines include
// waiting, and that of the fastest may come from a single short prompt.
func (g *Group) usualTokenNS() float64 {
	var learned []float64
	for i := range g.engines {
		if e := &g.engines[i]; e.spec.Prefill && e.prefillFactor.Seen() > 0 {
			learned = append(learned, g.view.Engines[i].PrefillNS)
		}
	}
	if len(learned) == 0 {
		return g.tokenNS()
	}
	slices.Sort(learned)
	return learned[len(learned)/4]
}

// maxMemoryUse is the maximum share of an engine's memory in use, as the forecast reserves some
// for answers that become longer than estimated: engines of 28,217 tokens held 7.5 requests of
// 3,500 under overload.
const maxMemoryUse = 0.93

// answerTime returns the engine time of one usual answer on an engine whose memory is full of
// such answers: its whole duration, divided by the number of answers that fit; 0 if no engine's
// step time has been learned.
func (g *Group) answerTime(t int64) time.Duration {
	length := g.usualLength()
	sum, engines := 0.0, 0
	for i := range g.engines {
		e, v := &g.engines[i], &g.view.Engines[i]
		if !e.spec.Decode || e.isLeaving(t) || e.stepFactor.Seen() == 0 {
			continue
		}
		// Answers grow evenly, so that on average one holds half of its length.
		room := maxMemoryUse * float64(e.spec.KVTokens) / (g.meanAsk.promptTokens + length/2)
		batch := max(min(room, float64(e.spec.Slots)), 1)
		sum += length * (v.StepBaseNS + v.StepPerNS*batch) / batch
		engines++
	}
	if engines == 0 {
		return 0
	}
	return time.Duration(sum / float64(engines))
}

// decodeFill returns the share of memory that is reserved, over all decode engines that are not
// leaving.
func (g *Group) decodeFill(t int64) float64 {
	free, all := 0, 0
	for i := range g.engines {
		if g.engines[i].spec.Decode && !g.engines[i].isLeaving(t) {
			free += g.view.Engines[i].KVFree
			all += g.view.Engines[i].KVTokens
		}
	}
	if all == 0 {
		return 0
	}
	return 1 - float64(free)/float64(all)
}

// BeginStageChange records that an engine was ordered to change its stage: it gets no requests
// until it has, or until the given time has passed.
func (g *Group) BeginStageChange(now time.Time, engine string, lasts time.Duration) {
	if i, ok := g.index[engine]; ok {
		g.engines[i].changingUntil = sinceStart(g.start, now) + int64(lasts)
	}
}

// CancelStageChange records that an engine will not change its stage after all.
func (g *Group) CancelStageChange(engine string) {
	if i, ok := g.index[engine]; ok {
		g.engines[i].changingUntil = 0
	}
}
