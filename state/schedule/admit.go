// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"slices"
	"time"

	"runridge.example/runridge/state/lifecycle"
)

// admit books a choice and returns the grant.
func (g *Group) admit(t int64, w *waiter, c Choice) Grant {
	a := w.ask
	gr := &grant{
		ask:       a,
		asked:     w.asked,
		prefill:   c.Prefill,
		decode:    c.Decode,
		prefillNS: c.PrefillNS,
		granted:   t,
		prefilled: c.Reuse,
		decodeAt:  t,
		reuse:     c.Reuse,
		kvTokens:  a.PromptTokens + a.OutputTokens,
		mode:      c.Mode,
	}
	g.grants[a.ID] = gr
	if c.Prefill != none && !c.Reuse {
		g.queuePrefill(t, gr, c.Prefill)
	}
	if c.Decode != none {
		g.take(gr)
		g.bookLocal(t, gr)
		g.bookLink(t, gr)
	} else {
		g.open = append(g.open, a.ID)
	}
	g.useZones(t, gr)
	g.takePace(t, gr)
	g.trial(gr)
	g.remember(a, gr)
	g.accounts.charge(a.Account, float64(c.PrefillNS)/float64(g.accountWeight(a.Account)), t)
	gr.firstToken = time.Duration(c.FirstTokenNS)
	gr.move = g.moveTime(t, gr)
	return g.grantOf(t, gr)
}

// grantOf is the decision that a grant stands for.
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
		Move:         gr.move,
		PacedPrefill: gr.pacedPrefill,
		PacedDecode:  gr.pacedDecode,
		Limits:       g.limitsFor(t, gr),
		Held:         time.Duration(gr.granted - gr.asked),
	}
}

// Adopt books a grant of an earlier home. Engines that are not in the group
// any more are left out.
func (g *Group) Adopt(now time.Time, a Adopted) {
	if _, known := g.grants[a.Ask.ID]; known {
		return
	}
	t := sinceStart(g.start, now)
	g.begin(t)
	gr := &grant{
		ask:       a.Ask,
		prefill:   g.indexOf(a.Plan.Prefill),
		decode:    g.indexOf(a.Plan.Decode),
		prefilled: a.Prefilled,
		decodeAt:  t,
		granted:   t,
		kvTokens:  a.Ask.PromptTokens + a.Ask.OutputTokens,
		mode:      a.Plan.Mode,
		reuse:     a.Plan.Reuse,
	}
	g.grants[a.Ask.ID] = gr
	g.accounts.active[a.Ask.Account]++
	if gr.prefill != none && !gr.prefilled {
		gr.prefillNS = int64(g.view.Engines[gr.prefill].prefillNS(Need{PromptTokens: a.Ask.PromptTokens}))
		g.queuePrefill(t, gr, gr.prefill)
	}
	if gr.decode == none {
		g.open = append(g.open, a.Ask.ID)
		return
	}
	g.take(gr)
	// What the engine reported as held for somebody unknown is this.
	e := &g.engines[gr.decode]
	for i := range e.unknown {
		e.unknown[i] = max(e.unknown[i]-1, 0)
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

// bookLocal marks a decode engine as busy with a prefill of its own.
func (g *Group) bookLocal(t int64, gr *grant) {
	if gr.mode == lifecycle.Recompute {
		v := &g.view.Engines[gr.decode]
		v.FreeAt = max(v.FreeAt, t) + gr.prefillNS
		v.LocalNS = v.localNS(t) + float64(gr.prefillNS)
		v.LocalAt = t
	}
}

// moveTime is the expected time of a grant's transfer, with the transfers
// that the link was booked for before it. It is asked after bookLink.
func (g *Group) moveTime(t int64, gr *grant) time.Duration {
	if gr.prefill == none || gr.decode == none || gr.prefill == gr.decode {
		return 0
	}
	link := g.view.Engines[gr.prefill].Zone*g.view.Zones + g.view.Engines[gr.decode].Zone
	return time.Duration(max(g.view.LinkFreeAt[link]-t, 0))
}

// bookLink marks the link as busy with the move.
func (g *Group) bookLink(t int64, gr *grant) {
	if gr.prefill == none || gr.decode == none || gr.prefill == gr.decode {
		return
	}
	link := g.view.Engines[gr.prefill].Zone*g.view.Zones + g.view.Engines[gr.decode].Zone
	begin := max(g.view.LinkFreeAt[link], t)
	g.view.LinkFreeAt[link] = begin + int64(g.view.LinkNS[link]*float64(gr.ask.PromptTokens))
}

func (g *Group) take(gr *grant) {
	v := &g.view.Engines[gr.decode]
	v.Held++
	v.KVFree -= gr.kvTokens
	g.engines[gr.decode].memory.drop()
}

// trial lets only one request test an engine that came back.
func (g *Group) trial(gr *grant) {
	now := g.start.Add(time.Duration(gr.granted))
	for _, i := range []int{gr.prefill, gr.decode} {
		if i != none && g.engines[i].breaker.Trial(now) {
			g.engines[i].breaker = g.engines[i].breaker.WithTrial()
		}
	}
}

// remember notes which engine will have the prompt's prefixes.
func (g *Group) remember(a Ask, gr *grant) {
	if gr.prefilled {
		return
	}
	i := gr.prefill
	if i == none {
		i = gr.decode
	}
	g.marks.Add(g.engines[i].spec.Name, a.Marks)
}

// fillOpen gives decode slots to grants whose prefill is done and that wait
// for one, oldest first.
func (g *Group) fillOpen(t int64) []Decision {
	var out []Decision
	g.open = slices.DeleteFunc(g.open, func(id lifecycle.AttemptID) bool {
		gr := g.grants[id]
		if gr == nil {
			return true
		}
		if !gr.prefilled {
			return false
		}
		d := g.freestDecode(t, gr)
		if d == none {
			return false
		}
		gr.decode = d
		g.take(gr)
		g.takeDecodePace(t, gr)
		g.bookLink(t, gr)
		out = append(out, Slot{
			Ask: gr.ask, Decode: g.engines[d].spec.Name, Move: g.moveTime(t, gr),
			Paced: gr.pacedDecode, Limits: g.limitsFor(t, gr),
		})
		return true
	})
	return out
}

func (g *Group) freestDecode(t int64, gr *grant) int {
	g.setOut(t, gr.ask)
	if g.cfg.Growing {
		g.forecastMemory(t, gr.ask)
	}
	chosen, lowest := none, 0.0
	for i := range g.view.Engines {
		v := &g.view.Engines[i]
		if !v.Decode || v.Held >= v.Cap || v.KVFree < gr.kvTokens {
			continue
		}
		score := v.fill()
		if gr.prefill != none && v.Zone != g.view.Engines[gr.prefill].Zone {
			score++
		}
		if chosen == none || score < lowest {
			chosen, lowest = i, score
		}
	}
	return chosen
}
