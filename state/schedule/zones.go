// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

// zoneCostWeight is the penalty of a zone at twice its share or more, as a fraction of the
// first-token target. It steers placement but does not stop a request that only one zone can
// serve.
const zoneCostWeight = 0.25

// recordZoneUse counts a grant for the zones of its engines.
func (g *Group) recordZoneUse(t int64, gr *grant) {
	for _, i := range []int{gr.prefill, gr.decode} {
		if i != none {
			z := g.view.Engines[i].Zone
			g.zoneUse[z] = g.zoneUse[z].plus(t, 1, usageHalfLife)
		}
	}
}

// updateZoneCosts updates the penalty of each zone: 0 up to its share by weight of recent
// grants, and growing with the excess above it.
func (g *Group) updateZoneCosts(t int64) {
	used := 0.0
	for z := range g.zoneUse {
		used += g.zoneUse[z].value(t, usageHalfLife)
	}
	for z := range g.view.ZoneNS {
		g.view.ZoneNS[z] = 0
		if used <= 0 || g.zoneShare[z] <= 0 {
			continue
		}
		excess := g.zoneUse[z].value(t, usageHalfLife)/used/g.zoneShare[z] - 1
		g.view.ZoneNS[z] = min(max(excess, 0), 1) * zoneCostWeight * float64(g.cfg.Targets.FirstToken)
	}
}

// updateZoneShares computes each zone's share from its weight. All engines of a zone have the
// same weight.
func (g *Group) updateZoneShares() {
	g.zoneShare = make([]float64, len(g.zones))
	total := 0.0
	for i := range g.engines {
		z := g.view.Engines[i].Zone
		if g.zoneShare[z] == 0 {
			g.zoneShare[z] = float64(max(g.engines[i].spec.Weight, 1))
			total += g.zoneShare[z]
		}
	}
	for z := range g.zoneShare {
		g.zoneShare[z] /= total
	}
}
