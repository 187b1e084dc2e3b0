// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"slices"
	"time"

	"runridge.example/runridge/state/health"
	"runridge.example/runridge/state/lifecycle"
)

// Prefilled notes that a prefill is done. Worked is the engine's own time for
// it and computed the number of tokens that it did not find in its cache; 0
// for either means that the engine did not say.
func (g *Group) Prefilled(now time.Time, id lifecycle.AttemptID, computed int, worked time.Duration) []Decision {
	gr, ok := g.grants[id]
	if !ok || gr.prefill == none || gr.prefilled {
		return nil
	}
	t := sinceStart(g.start, now)
	gr.prefilled = true
	gr.decodeAt = t
	e := &g.engines[gr.prefill]
	if computed >= minLearnTokens && !g.cfg.Policy.NoLearning {
		expected := time.Duration(float64(computed) * float64(time.Second) / max(e.spec.PrefillRate, 1))
		e.prefill = e.prefill.With(expected, worked)
	}
	g.paceDone(t, gr)
	e.breaker = e.breaker.WithSuccess(0)
	g.unqueue(t, gr.prefill, id)
	g.refresh(gr.prefill)
	return g.pump(now)
}

// minLearnTokens keeps very short prefills, mostly overhead, out of the rate.
const minLearnTokens = 64

// unqueue takes a prefill off its engine and dates the rest from now.
func (g *Group) unqueue(t int64, i int, id lifecycle.AttemptID) {
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

// Done notes that an attempt is over, however it ended.
func (g *Group) Done(now time.Time, r Report) []Decision {
	gr, ok := g.grants[r.ID]
	if !ok {
		return nil
	}
	t := sinceStart(g.start, now)
	delete(g.grants, r.ID)
	g.accounts.done(gr.ask.Account)
	g.paceDone(t, gr)
	if gr.prefill != none && !gr.prefilled {
		g.unqueue(t, gr.prefill, r.ID)
	}
	if gr.decode != none {
		g.giveBack(t, gr)
	}
	if r.Running && g.cfg.Growing && gr.decode != none {
		g.lost = append(g.lost, gr)
	}
	g.learn(now, gr, r)
	return g.pump(now)
}

func (g *Group) giveBack(t int64, gr *grant) {
	v := &g.view.Engines[gr.decode]
	v.Held--
	v.KVFree += gr.kvTokens
	g.engines[gr.decode].memory.drop()
	g.releases = g.releases.plus(t, 1, releaseHalfLife)
}

// learn takes in what a report says of times and failures.
func (g *Group) learn(now time.Time, gr *grant, r Report) {
	switch {
	case r.Failed != "" && r.Full && g.resultLost(sinceStart(g.start, now), gr):
		g.noteResultLost(now, gr)
	case r.Failed != "" && r.Full && g.cfg.Growing:
		g.noteFull(sinceStart(g.start, now), gr, r.Failed)
	case r.Failed != "":
		g.fail(now, r)
	}
	if !r.Finished || gr.decode == none {
		g.endTrial(gr)
		return
	}
	g.learnService(sinceStart(g.start, now) - gr.granted)
	e := &g.engines[gr.decode]
	e.breaker = e.breaker.WithSuccess(g.errors)
	g.errors -= g.errors * errorShare
	if gr.prefill != none {
		g.engines[gr.prefill].results = g.engines[gr.prefill].results.WithSuccess(0)
	}
	if g.cfg.Policy.NoLearning {
		return
	}
	if r.Steps >= minLearnSteps {
		// The batch changed while the request ran; what it is now is as good
		// a guess of its middle as any.
		batch := g.view.Engines[gr.decode].Held + 1
		expected := e.spec.StepBase + e.spec.StepPer*time.Duration(batch)
		e.step = e.step.With(expected*time.Duration(r.Steps), r.StepTime)
		g.refresh(gr.decode)
	}
	if g.cfg.Growing && !gr.ask.Resume {
		g.lengths = g.lengths.With(gr.ask.OutputTokens, r.Steps)
	}
	g.learnLink(gr, r)
}

// serviceShare is the weight of one request in the mean time of plain ones: some
// tens of them show that the endpoints have become slower.
const serviceShare = 1.0 / 32

// learnService takes in how long a plain request held its slot.
func (g *Group) learnService(held int64) {
	if !g.cfg.Plain {
		return
	}
	if g.serviceNS == 0 {
		g.serviceNS = float64(held)
	}
	g.serviceNS += (float64(held) - g.serviceNS) * serviceShare
}

// minLearnSteps keeps very short answers out of the step time.
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

// minLearnMove keeps transfers that are mostly round trip out of the rate.
const minLearnMove = 2 * time.Millisecond

// endTrial lets another request test the engine if this one told nothing.
func (g *Group) endTrial(gr *grant) {
	for _, i := range []int{gr.prefill, gr.decode} {
		if i != none {
			g.engines[i].breaker = g.engines[i].breaker.WithoutTrial()
		}
	}
}

// errorShare is the weight of one answer in the part of them that are errors, so that
// some hundreds show it.
const errorShare = 1.0 / 128

// fail notes a failed order on an engine. One that could not be connected to is out at
// once; errors that it answered, and that it was full, count by how usual they are in the
// group: in a rush all endpoints turn requests away.
func (g *Group) fail(now time.Time, r Report) {
	name, usual := r.Failed, 0.0
	if r.Answered || r.Full {
		usual = g.errors
		g.errors += (1 - g.errors) * errorShare
	}
	i, ok := g.index[name]
	if !ok || g.cfg.Policy.NoEjection {
		return
	}
	e := &g.engines[i]
	out, total := 0, 0
	for j := range g.engines {
		if j == i || g.engines[j].spec.Decode != e.spec.Decode {
			continue
		}
		total++
		if g.engines[j].breaker.Out(now) {
			out++
		}
	}
	rules := g.cfg.Health
	if r.Unreached {
		rules.Failures = 1
	}
	was := e.breaker.OutFor(now)
	e.breaker = e.breaker.WithFailure(now, rules, health.Failure{Usual: usual, Others: out, Total: total + 1}, g.random)
	if is := e.breaker.OutFor(now); is > was {
		g.ejections = append(g.ejections, Ejection{Engine: name, For: is, Unreached: r.Unreached, OthersOut: out, Others: total})
	}
	g.marks.Forget(name)
}

// Ejections returns the engines taken out since it was last asked.
func (g *Group) Ejections() []Ejection {
	out := g.ejections
	g.ejections = nil
	return out
}

// Report takes in an engine's load report. Reports lag, so one that shows more
// holds than were granted proves nothing; several in a row do, and then the
// engine's cap shrinks by what it holds for somebody else.
func (g *Group) Report(l Load) {
	i, ok := g.index[l.Engine]
	if !ok {
		return
	}
	e := &g.engines[i]
	unknown := max(l.Held-g.view.Engines[i].Held, 0)
	if e.reports == 0 {
		// The first report is all there is to go by.
		for k := range e.unknown {
			e.unknown[k] = unknown
		}
	}
	e.unknown[e.reports%unknownReports] = unknown
	e.reports++
	g.refresh(i)
}

// Evicted takes in a cache event: the engine dropped a prefix.
func (g *Group) Evicted(engine string, mark uint64) {
	g.marks.Remove(engine, mark)
}

// Restarted takes in that the engine lost its cache, or that events were lost.
func (g *Group) Restarted(engine string) {
	g.marks.Forget(engine)
}
