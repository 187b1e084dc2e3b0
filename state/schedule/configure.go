// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"slices"
	"time"

	"runridge.example/runridge/state/estimate"
)

// Configure applies a new configuration and keeps the grants and what was learned for engines
// that remain. Waiting requests are refused if all their engines leave, so that they can be
// sent to another group at once.
func (g *Group) Configure(now time.Time, cfg Config) []Decision {
	old, oldIndex := g.engines, g.index
	g.cfg = cfg.withDefaults()
	g.setEngines(cfg.Engines)
	for name, i := range oldIndex {
		if j, ok := g.index[name]; ok {
			spec := g.engines[j].spec
			g.engines[j] = old[i]
			g.engines[j].spec = spec
			if spec.Prefill != old[i].spec.Prefill {
				g.engines[j].changingUntil = 0
			}
			g.engines[j].prefills = nil
			g.engines[j].memory.invalidate()
		}
	}
	g.rebuildReservations(old)
	return append(g.refuseWithoutEngine(sinceStart(g.start, now)), g.startWaiting(now)...)
}

// rebuildReservations reserves the grants again on the new set of engines.
func (g *Group) rebuildReservations(old []engine) {
	for id, gr := range g.grants {
		gr.prefill = g.reindex(old, gr.prefill)
		gr.decode = g.reindex(old, gr.decode)
		if gr.decode != none {
			g.reserveDecode(gr)
		}
		if gr.prefill != none && !gr.prefilled {
			e := &g.engines[gr.prefill]
			e.prefills = append(e.prefills, id)
			g.view.Engines[gr.prefill].Queued++
		}
	}
	for _, gr := range g.unconfirmed {
		gr.decode = g.reindex(old, gr.decode)
	}
	for i := range g.engines {
		g.refresh(i)
	}
}

func (g *Group) reindex(old []engine, i int) int {
	if i == none {
		return none
	}
	if j, ok := g.index[old[i].spec.Name]; ok {
		return j
	}
	return none
}

// setEngines replaces the engines and builds a new view of them.
func (g *Group) setEngines(specs []EngineSpec) {
	g.engines = make([]engine, len(specs))
	g.index = make(map[string]int, len(specs))
	g.zones = zonesOf(specs)
	n := len(g.zones)
	g.links = make([]estimate.Factor, n*n)
	g.zoneUse = make([]decayedSum, n)
	g.view = View{
		Engines:             make([]EngineView, len(specs)),
		Zones:               n,
		LinkFreeAt:          make([]int64, n*n),
		LinkNS:              make([]float64, n*n),
		ZoneNS:              make([]float64, n),
		MaxPrefillBacklogNS: int64(maxPrefillBacklog),
		StepTargetNS:        float64(g.cfg.Targets.PerToken),
		Joint:               !g.cfg.Policy.NoJoint,
		Recompute:           !g.cfg.Policy.NoRecompute,
	}
	for i, s := range specs {
		g.engines[i] = engine{spec: s, pacedWindow: g.cfg.PacedWindows[s.Name]}
		g.index[s.Name] = i
		g.view.Engines[i] = EngineView{
			Zone:     slices.Index(g.zones, s.Zone),
			KVFree:   s.KVTokens,
			KVTokens: s.KVTokens,
		}
		g.refresh(i)
	}
	g.refreshLinks()
	g.updateZoneShares()
}

// zonesOf lists the zones of the engines, at most maxZones.
func zonesOf(specs []EngineSpec) []string {
	var zones []string
	for _, s := range specs {
		if !slices.Contains(zones, s.Zone) && len(zones) < maxZones {
			zones = append(zones, s.Zone)
		}
	}
	return zones
}

// refresh updates an engine's view from its spec and what was learned.
func (g *Group) refresh(i int) {
	e, v := &g.engines[i], &g.view.Engines[i]
	v.PrefillNS = e.prefillFactor.Value() * float64(time.Second) / max(e.spec.PrefillRate, 1)
	v.StepBaseNS = e.stepFactor.Value() * float64(e.spec.StepBase)
	v.StepPerNS = e.stepFactor.Value() * float64(e.spec.StepPerRequest)
	v.MaxHeld = g.batchCap(i) - slices.Min(e.unknownHeld[:])
	if g.cfg.Cautious && e.reportCount == 0 {
		v.MaxHeld /= 2
	}
	v.Prefill = e.spec.Prefill && !e.spec.Leaving
	v.Decode = e.spec.Decode && !e.spec.Leaving
}

// batchCap returns the largest batch that keeps the per-token target.
func (g *Group) batchCap(i int) int {
	e, v := &g.engines[i], &g.view.Engines[i]
	target := float64(g.cfg.Targets.PerToken) * stepTargetShare
	if target <= 0 || v.StepPerNS <= 0 || g.cfg.Policy.NoBatchTarget {
		return e.spec.Slots
	}
	maxBatch := int((target - v.StepBaseNS) / v.StepPerNS)
	return min(max(maxBatch, 1), e.spec.Slots)
}

func (g *Group) refreshLinks() {
	n := len(g.zones)
	bytes := 0
	for _, e := range g.engines {
		bytes = max(bytes, e.spec.KVBytesPerToken)
	}
	for from := range n {
		for to := range n {
			rate := int64(0)
			if g.cfg.LinkRate != nil {
				rate = g.cfg.LinkRate(g.zones[from], g.zones[to])
			}
			link := from*n + to
			g.view.LinkNS[link] = 0
			if rate > 0 {
				g.view.LinkNS[link] = g.links[link].Value() * float64(bytes) * float64(time.Second) / float64(rate)
			}
		}
	}
}
