// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"slices"
	"time"

	"runridge.example/runridge/state/health"
	"runridge.example/runridge/state/lifecycle"
)

// Prefilled records that a prefill is done. Worked is the engine's own time for it, and
// computed the number of tokens that were not in its cache; 0 means that the engine did not
// report it.
func (g *Group) Prefilled(now time.Time, id lifecycle.AttemptID, computed int, worked time.Duration) []Decision {
	gr, ok := g.grants[id]
	if !ok || gr.prefill == none || gr.prefilled {
		return nil
	}
	t := sinceStart(g.start, now)
	gr.prefilled = true
	gr.decodeStartedAt = t
	e := &g.engines[gr.prefill]
	if computed >= minLearnTokens && !g.cfg.Policy.NoLearning {
		expected := time.Duration(float64(computed) * float64(time.Second) / max(e.spec.PrefillRate, 1))
		e.prefillFactor = e.prefillFactor.With(expected, worked)
	}
	g.noteDecodeSent(t, gr)
	e.observers = e.observers.WithSuccess(now, gr.ask.Box)
	e.breaker = e.breaker.WithSuccess(0)
	g.dequeuePrefill(t, gr.prefill, id)
	g.refresh(gr.prefill)
	return g.startWaiting(now)
}

// minLearnTokens excludes very short prefills, which are mostly overhead, from the learned
// rate.
const minLearnTokens = 64

// dequeuePrefill removes a prefill from its engine and reschedules the others from now on.
func (g *Group) dequeuePrefill(t int64, i int, id lifecycle.AttemptID) {
	e, v := &g.engines[i], &g.view.Engines[i]
	at := slices.Index(e.prefills, id)
	if at < 0 {
		return
	}
	e.prefills = slices.Delete(e.prefills, at, at+1)
	v.Queued = len(e.prefills)
	v.FreeAt = t
	for _, rest := range e.prefills {
		if gr, ok := g.grants[rest]; ok {
			v.FreeAt += gr.prefillNS
		}
	}
}

// Done records the end of an attempt, whether it succeeded or failed.
func (g *Group) Done(now time.Time, r Report) []Decision {
	gr, ok := g.grants[r.ID]
	if !ok {
		return nil
	}
	t := sinceStart(g.start, now)
	delete(g.grants, r.ID)
	g.accounts.release(gr.ask.Account)
	g.noteDecodeSent(t, gr)
	if gr.prefill != none && !gr.prefilled {
		g.dequeuePrefill(t, gr.prefill, r.ID)
	}
	if gr.decode != none {
		g.releaseDecode(t, gr)
	}
	if r.MayBeRunning && g.cfg.GrowingMemory && gr.decode != none {
		g.unconfirmed = append(g.unconfirmed, gr)
	}
	g.learn(now, gr, r)
	return g.startWaiting(now)
}

func (g *Group) releaseDecode(t int64, gr *grant) {
	v := &g.view.Engines[gr.decode]
	v.Held--
	v.KVFree += gr.kvTokens
	g.engines[gr.decode].memory.invalidate()
	g.releases = g.releases.plus(t, 1, releaseHalfLife)
}

// learn updates estimates and engine health from a report.
func (g *Group) learn(now time.Time, gr *grant, r Report) {
	switch {
	case r.Failed != "" && r.Full && g.resultLost(sinceStart(g.start, now), gr):
		g.noteResultLost(now, gr)
	case r.Failed != "" && r.Full && g.cfg.GrowingMemory:
		g.noteFull(sinceStart(g.start, now), gr, r.Failed)
	case r.Failed != "":
		g.recordFailure(now, gr.ask.Box, r)
	}
	if !r.Finished || gr.decode == none {
		g.endTrials(gr)
		return
	}
	g.learnedAt = sinceStart(g.start, now)
	g.learnService(gr, time.Duration(g.learnedAt-gr.grantedAt))
	e := &g.engines[gr.decode]
	e.observers = e.observers.WithSuccess(now, gr.ask.Box)
	e.breaker = e.breaker.WithSuccess(g.errorRatio)
	g.errorRatio -= g.errorRatio * errorWeight
	if gr.prefill != none {
		g.engines[gr.prefill].resultBreaker = g.engines[gr.prefill].resultBreaker.WithSuccess(0)
	}
	if g.cfg.Policy.NoLearning {
		return
	}
	if r.Steps >= minLearnSteps {
		// The batch changed while the request ran; its current size is as good an estimate of
		// the mean as any.
		batch := g.view.Engines[gr.decode].Held + 1
		expected := e.spec.StepBase + e.spec.StepPerRequest*time.Duration(batch)
		e.stepFactor = e.stepFactor.With(expected*time.Duration(r.Steps), r.StepTime)
		g.refresh(gr.decode)
	}
	if g.cfg.GrowingMemory && !gr.ask.Resume {
		g.lengths = g.lengths.With(gr.ask.OutputTokens, r.Steps)
	}
	g.learnLink(gr, r)
}

const (
	// serviceWeight is the weight of one request in the mean time for which a slot is held, and
	// trialWeight that of a trial.
	serviceWeight = 1.0 / 32
	trialWeight   = 1.0 / 4
	// maxServiceRatio bounds one observation to this many times the mean, but not below
	// minServiceBound: a home that stood still sees the requests of that time end late.
	maxServiceRatio = 2
	minServiceBound = 20 * time.Millisecond
)

// learnService learns how long a plain request holds its slot.
func (g *Group) learnService(gr *grant, held time.Duration) {
	if !g.cfg.Plain {
		return
	}
	if g.serviceNS == 0 {
		g.serviceNS = float64(held)
	}
	weight := serviceWeight
	if gr.trial {
		weight = trialWeight
	}
	observed := min(float64(held), max(g.serviceNS*maxServiceRatio, float64(minServiceBound)))
	g.serviceNS += (observed - g.serviceNS) * weight
}

// minLearnSteps excludes very short answers from the learned step time.
const minLearnSteps = 8

func (g *Group) learnLink(gr *grant, r Report) {
	if gr.prefill == none || r.MoveTime <= 0 {
		return
	}
	link := g.view.Engines[gr.prefill].Zone*g.view.Zones + g.view.Engines[gr.decode].Zone
	perToken := g.view.LinkNS[link] / g.links[link].Value()
	expected := time.Duration(perToken * float64(gr.ask.PromptTokens))
	if expected < minLearnMove {
		return
	}
	g.links[link] = g.links[link].With(expected, r.MoveTime)
	g.refreshLinks()
}

// minLearnMove excludes transfers that are mostly round trip from the learned rate.
const minLearnMove = 2 * time.Millisecond

// endTrials ends the trials of a request that gave no result, so that another request can test
// the engines.
func (g *Group) endTrials(gr *grant) {
	for _, i := range []int{gr.prefill, gr.decode} {
		if i != none {
			g.engines[i].breaker = g.engines[i].breaker.WithoutTrial()
		}
	}
}

// errorWeight is the weight of one answer in the error ratio: some hundreds of answers change
// it noticeably.
const errorWeight = 1.0 / 128

// recordFailure records a failed request on an engine. An engine that cannot be connected to is
// ejected at once. Errors that it answered itself, and rejections because it is full, count
// less the more common they are in the group: under overload all endpoints reject requests.
func (g *Group) recordFailure(now time.Time, box string, r Report) {
	name, usual := r.Failed, 0.0
	if r.Answered || r.Full {
		usual = g.errorRatio
		g.errorRatio += (1 - g.errorRatio) * errorWeight
	}
	i, ok := g.index[name]
	if !ok || g.cfg.Policy.NoEjection {
		return
	}
	e := &g.engines[i]
	ejected, total := 0, 0
	for j := range g.engines {
		if j == i || g.engines[j].spec.Decode != e.spec.Decode {
			continue
		}
		total++
		if g.engines[j].breaker.Ejected(now) {
			ejected++
		}
	}
	if !r.Answered && !r.Full {
		var counts bool
		if e.observers, counts = e.observers.WithLost(now, box, r.OthersUnreached); !counts {
			return
		}
	}
	rules := g.cfg.Health
	if r.Unreachable && (r.OthersUnreached > 0 || !e.observers.AnsweredElsewhere(now, box)) {
		rules.Failures = 1
	}
	was := e.breaker.EjectedFor(now)
	e.breaker = e.breaker.WithFailure(now, rules, health.Failure{Usual: usual, Others: ejected, Total: total + 1}, g.random)
	if is := e.breaker.EjectedFor(now); is > was {
		g.ejections = append(g.ejections, Ejection{
			Engine: name, For: is, Unreachable: r.Unreachable, Box: box, OtherAnswered: e.otherAnswered(now, box),
			OthersEjected: ejected, Others: total,
		})
	}
	g.marks.Forget(name)
}

// otherAnswered returns how long ago a request of another box last ended well at the engine; -1 if
// none did.
func (e *engine) otherAnswered(now time.Time, box string) time.Duration {
	ago, answered := e.observers.OtherAnswered(now, box)
	if !answered {
		return -1
	}
	return ago
}

// Ejections returns the ejections since the last call.
func (g *Group) Ejections() []Ejection {
	out := g.ejections
	g.ejections = nil
	return out
}

// Report handles an engine's load report. Reports lag, so a single one that shows more held
// requests than were granted proves nothing. If several in a row do, the engine's maximum batch
// is reduced by what it holds for others.
func (g *Group) Report(l LoadReport) {
	i, ok := g.index[l.Engine]
	if !ok {
		return
	}
	e := &g.engines[i]
	unknown := max(l.Held-g.view.Engines[i].Held, 0)
	if e.reportCount == 0 {
		// The first report is the only information so far.
		for k := range e.unknownHeld {
			e.unknownHeld[k] = unknown
		}
	}
	e.unknownHeld[e.reportCount%unknownReports] = unknown
	e.reportCount++
	g.refresh(i)
}

// Evicted handles a cache event: the engine dropped a prefix.
func (g *Group) Evicted(engine string, mark uint64) {
	g.marks.Remove(engine, mark)
}

// Restarted handles the loss of the engine's cache, or of its cache events.
func (g *Group) Restarted(engine string) {
	g.marks.Forget(engine)
}
