// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"slices"
	"time"

	"runridge.example/runridge/state/lifecycle"
)

// admit reserves the chosen engines and returns the grant.
func (g *Group) admit(t int64, w *waiter, c Choice) Grant {
	a := w.ask
	gr := &grant{
		ask:             a,
		askedAt:         w.askedAt,
		prefill:         c.Prefill,
		decode:          c.Decode,
		prefillNS:       c.PrefillNS,
		grantedAt:       t,
		prefilled:       c.Reuse,
		decodeStartedAt: t,
		reuse:           c.Reuse,
		kvTokens:        a.PromptTokens + a.OutputTokens,
		mode:            c.Mode,
		trial:           w.trial,
	}
	if w.trial {
		g.trialAt = t
	}
	g.grants[a.ID] = gr
	if c.Prefill != none && !c.Reuse {
		g.queuePrefill(t, gr, c.Prefill)
	}
	if c.Decode != none {
		g.reserveDecode(gr)
		g.reserveLocalPrefill(t, gr)
		g.reserveLink(t, gr)
	} else {
		g.awaitingDecode = append(g.awaitingDecode, a.ID)
	}
	g.recordZoneUse(t, gr)
	g.countPaced(t, gr)
	g.startTrials(gr)
	g.recordPrefixes(a, gr)
	g.accounts.charge(a.Account, float64(c.PrefillNS)/float64(g.accountWeight(a.Account)), t)
	gr.firstToken = time.Duration(c.FirstTokenNS)
	gr.transfer = g.transferTime(t, gr)
	return g.grantOf(t, gr)
}

// grantOf returns the decision for a recorded grant.
func (g *Group) grantOf(t int64, gr *grant) Grant {
	plan := lifecycle.Plan{Mode: gr.mode, Reuse: gr.reuse}
	if gr.prefill != none {
		plan.Prefill = g.engines[gr.prefill].spec.Name
	}
	if gr.decode != none {
		plan.Decode = g.engines[gr.decode].spec.Name
	}
	return Grant{
		Ask:          gr.ask,
		Plan:         plan,
		FirstToken:   gr.firstToken,
		Move:         gr.transfer,
		PacedPrefill: gr.pacedPrefill,
		PacedDecode:  gr.pacedDecode,
		Limits:       g.limitsFor(t, gr),
		QueueTime:    time.Duration(gr.grantedAt - gr.askedAt),
	}
}

// Adopt records a grant of an earlier home. Engines that are no longer in the group are left
// out.
func (g *Group) Adopt(now time.Time, a Adopted) {
	if _, known := g.grants[a.Ask.ID]; known {
		return
	}
	t := sinceStart(g.start, now)
	g.noteFirstRequest(t)
	gr := &grant{
		ask:             a.Ask,
		prefill:         g.indexOf(a.Plan.Prefill),
		decode:          g.indexOf(a.Plan.Decode),
		prefilled:       a.Prefilled,
		decodeStartedAt: t,
		grantedAt:       t,
		kvTokens:        a.Ask.PromptTokens + a.Ask.OutputTokens,
		mode:            a.Plan.Mode,
		reuse:           a.Plan.Reuse,
	}
	g.grants[a.Ask.ID] = gr
	g.accounts.inFlight[a.Ask.Account]++
	if gr.prefill != none && !gr.prefilled {
		gr.prefillNS = int64(g.view.Engines[gr.prefill].prefillNS(Need{PromptTokens: a.Ask.PromptTokens}))
		g.queuePrefill(t, gr, gr.prefill)
	}
	if gr.decode == none {
		g.awaitingDecode = append(g.awaitingDecode, a.Ask.ID)
		return
	}
	g.reserveDecode(gr)
	// The engine's load reports counted this grant as unknown until now.
	e := &g.engines[gr.decode]
	for i := range e.unknownHeld {
		e.unknownHeld[i] = max(e.unknownHeld[i]-1, 0)
	}
	g.refresh(gr.decode)
}

func (g *Group) indexOf(name string) int {
	if i, ok := g.index[name]; ok {
		return i
	}
	return none
}

func (g *Group) accountWeight(account string) int {
	if g.cfg.AccountWeight == nil {
		return 1
	}
	return max(g.cfg.AccountWeight(account), 1)
}

func (g *Group) queuePrefill(t int64, gr *grant, i int) {
	e, v := &g.engines[i], &g.view.Engines[i]
	e.prefills = append(e.prefills, gr.ask.ID)
	v.Queued++
	v.FreeAt = max(v.FreeAt, t) + gr.prefillNS
}

// reserveLocalPrefill accounts for a prefill that runs on the decode engine itself.
func (g *Group) reserveLocalPrefill(t int64, gr *grant) {
	if gr.mode == lifecycle.Recompute {
		v := &g.view.Engines[gr.decode]
		v.FreeAt = max(v.FreeAt, t) + gr.prefillNS
		v.LocalNS = v.localNS(t) + float64(gr.prefillNS)
		v.LocalAt = t
	}
}

// transferTime returns the expected time of a grant's transfer, including the transfers that
// wait for the same link. It must be called after reserveLink.
func (g *Group) transferTime(t int64, gr *grant) time.Duration {
	if gr.prefill == none || gr.decode == none || gr.prefill == gr.decode {
		return 0
	}
	link := g.view.Engines[gr.prefill].Zone*g.view.Zones + g.view.Engines[gr.decode].Zone
	return time.Duration(max(g.view.LinkFreeAt[link]-t, 0))
}

// reserveLink marks the link as busy for the grant's transfer.
func (g *Group) reserveLink(t int64, gr *grant) {
	if gr.prefill == none || gr.decode == none || gr.prefill == gr.decode {
		return
	}
	link := g.view.Engines[gr.prefill].Zone*g.view.Zones + g.view.Engines[gr.decode].Zone
	start := max(g.view.LinkFreeAt[link], t)
	g.view.LinkFreeAt[link] = start + int64(g.view.LinkNS[link]*float64(gr.ask.PromptTokens))
}

func (g *Group) reserveDecode(gr *grant) {
	v := &g.view.Engines[gr.decode]
	v.Held++
	v.KVFree -= gr.kvTokens
	g.engines[gr.decode].memory.invalidate()
}

// startTrials marks a trial on each of the grant's engines that is back after an ejection, so
// that only one request at a time tests it.
func (g *Group) startTrials(gr *grant) {
	now := g.start.Add(time.Duration(gr.grantedAt))
	for _, i := range []int{gr.prefill, gr.decode} {
		if i != none && g.engines[i].breaker.Trial(now) {
			g.engines[i].breaker = g.engines[i].breaker.WithTrial()
		}
	}
}

// recordPrefixes records the engine that will have the prompt's prefixes in its cache.
func (g *Group) recordPrefixes(a Ask, gr *grant) {
	if gr.prefilled {
		return
	}
	i := gr.prefill
	if i == none {
		i = gr.decode
	}
	g.marks.Add(g.engines[i].spec.Name, a.Marks)
}

// assignDecodeSlots gives decode slots to grants without one whose prefill is done, oldest
// first.
func (g *Group) assignDecodeSlots(t int64) []Decision {
	var out []Decision
	g.awaitingDecode = slices.DeleteFunc(g.awaitingDecode, func(id lifecycle.AttemptID) bool {
		gr := g.grants[id]
		if gr == nil {
			return true
		}
		if !gr.prefilled {
			return false
		}
		d := g.leastUtilizedDecode(t, gr)
		if d == none {
			return false
		}
		gr.decode = d
		g.reserveDecode(gr)
		g.countPacedDecode(t, gr)
		g.reserveLink(t, gr)
		out = append(out, DecodeAssignment{
			Ask: gr.ask, Decode: g.engines[d].spec.Name, Move: g.transferTime(t, gr),
			Paced: gr.pacedDecode, Limits: g.limitsFor(t, gr),
		})
		return true
	})
	return out
}

func (g *Group) leastUtilizedDecode(t int64, gr *grant) int {
	g.updateAvailability(t, gr.ask)
	if g.cfg.GrowingMemory {
		g.forecastMemory(t, gr.ask)
	}
	chosen, lowest := none, 0.0
	for i := range g.view.Engines {
		v := &g.view.Engines[i]
		if !v.Decode || v.Held >= v.MaxHeld || v.KVFree < gr.kvTokens {
			continue
		}
		score := v.utilization()
		if gr.prefill != none && v.Zone != g.view.Engines[gr.prefill].Zone {
			score++
		}
		if chosen == none || score < lowest {
			chosen, lowest = i, score
		}
	}
	return chosen
}
