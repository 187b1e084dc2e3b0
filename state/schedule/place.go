// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"math"
	"time"

	"runridge.example/runridge/state/lifecycle"
)

// EngineView is the state of an engine that a placement depends on. Times are nanoseconds since
// the group's start, which keeps a view cheap to read.
type EngineView struct {
	// Zone is an index into the group's zones.
	Zone int
	// Prefill and Decode report which stages the engine may get requests for now; both are
	// false if it is leaving or ejected.
	Prefill, Decode bool
	// Paced is true if the engine is left out only because it has reached its limit, either as
	// a cold engine or the limit that it announces.
	Paced bool
	// FreeAt is when the prefills granted so far should be done.
	FreeAt int64
	// Queued is the number of granted prefills that are not done.
	Queued int
	// PrefillNS is the prefill time per token.
	PrefillNS float64
	// Held is the number of granted decodes, and MaxHeld the largest that keeps the per-token
	// target.
	Held, MaxHeld int
	// KVFree is the memory that is not reserved, and KVTokens all of it, in tokens.
	KVFree, KVTokens int
	// StepBaseNS and StepPerNS give the time of a decode step: base plus per request in the
	// batch.
	StepBaseNS, StepPerNS float64
	// Cached is the number of tokens of this prompt that are probably in the engine's cache.
	Cached int
	// LocalNS is the recent prefill time that delayed the engine's decode batch, as of LocalAt;
	// it decays as the requests of that batch end.
	LocalNS float64
	LocalAt int64
}

// View is the state of a group that a placement depends on.
type View struct {
	Engines []EngineView
	// Zones is the number of zones.
	Zones int
	// LinkFreeAt is when each link is free, and LinkNS its transfer time per token. Both have
	// Zones*Zones entries; the index is from*Zones + to.
	LinkFreeAt []int64
	LinkNS     []float64
	// ZoneNS is the penalty for choosing a zone: above 0 for zones that recently got more than
	// their share by weight.
	ZoneNS []float64
	// MaxPrefillBacklogNS is how much granted prefill time an engine may have left when it gets
	// another prefill: enough to keep it busy for a round trip and no more, because requests
	// that wait in the group can still be reordered.
	MaxPrefillBacklogNS int64
	// StepTargetNS is the target for the time between two tokens.
	StepTargetNS float64
	// DeferDecode leaves the decode engine open until the prefill is done. MayDefer reports
	// whether such a prefill may start.
	DeferDecode, MayDefer bool
	// Joint requires a free decode slot before a prefill starts.
	Joint bool
	// Recompute allows prefill on decode engines.
	Recompute bool
}

// Need is what a request requires of a placement.
type Need struct {
	PromptTokens int
	// KVTokens is the maximum memory of the request, in tokens.
	KVTokens int
	// RemainingNS is the time remaining until the deadline for the first token.
	RemainingNS float64
}

// Choice is the placement of a request; engines are indexes into the view.
type Choice struct {
	Mode lifecycle.Mode
	// Prefill is -1 for Recompute; Decode is -1 if the engine is chosen when the prefill is
	// done.
	Prefill, Decode int
	// Reuse is true if Prefill already keeps the result.
	Reuse bool
	// FirstTokenNS is the estimated time from now to the first token.
	FirstTokenNS int64
	// PrefillNS is the part of it that the prefill takes.
	PrefillNS int64
}

const (
	// maxZones is the maximum number of zones that a placement considers.
	maxZones = 16
	none     = -1
	// recomputeShare is the share of the step target's slack, over a usual answer, that
	// prefills on a decode engine may take from its batch.
	recomputeShare = 0.5
	// usualSteps is the answer length, in steps, over which the slack is computed.
	usualSteps = 48
)

// bestByZone keeps the candidate with the lowest score in each zone.
type bestByZone struct {
	index [maxZones]int
	score [maxZones]float64
}

func newBest() bestByZone {
	var b bestByZone
	for z := range b.index {
		b.index[z] = none
	}
	return b
}

func (b *bestByZone) offer(zone, index int, score float64) {
	if b.index[zone] == none || score < b.score[zone] {
		b.index[zone] = index
		b.score[zone] = score
	}
}

// Place returns the pair of engines with the earliest first token, or false if none can start
// the request now. It reads each engine once and then compares the best of each zone, so its
// time is linear in the number of engines rather than quadratic. It does not change the view.
func Place(v *View, now int64, need Need) (Choice, bool) {
	prefills, decodes, local := newBest(), newBest(), newBest()
	earliest := math.Inf(1)
	for i := range v.Engines {
		e := &v.Engines[i]
		if e.Prefill {
			done := float64(max(e.FreeAt, now)) + e.prefillNS(need)
			if e.FreeAt-now <= v.MaxPrefillBacklogNS {
				prefills.offer(e.Zone, i, done)
			}
			if !e.Decode {
				earliest = min(earliest, done)
			}
		}
		if !e.Decode {
			continue
		}
		if !v.Joint || e.Held < e.MaxHeld && e.KVFree >= need.KVTokens {
			decodes.offer(e.Zone, i, e.utilization())
		}
		if v.Recompute && v.recomputeFits(e, now, need) {
			local.offer(e.Zone, i, e.prefillNS(need)+e.displacedNS(need))
		}
	}
	choice, found := v.placeMove(now, need, &prefills, &decodes)
	c, ok := v.placeRecompute(need, &local)
	if !ok {
		return choice, found
	}
	moved := earliest - float64(now)
	if found {
		moved = float64(choice.FirstTokenNS)
	}
	if v.recomputeIsFaster(&c, moved, need) {
		return c, true
	}
	return choice, found
}

// recomputeIsFaster reports whether a prefill on a decode engine is worth the time that it
// takes from the batch there. moved is the time to the first token by way of a prefill engine,
// for which the request may have to wait.
func (v *View) recomputeIsFaster(c *Choice, moved float64, need Need) bool {
	first := float64(c.FirstTokenNS)
	displaced := v.Engines[c.Decode].displacedNS(need)
	if need.RemainingNS > 0 && moved > need.RemainingNS {
		// Only the decode engine can meet the deadline. One late request costs as much as what
		// a target's worth of decode time would have served.
		return displaced <= need.RemainingNS
	}
	return first+displaced < moved
}

// displacedNS returns the decode time that a prefill on the engine takes from its batch: each
// request of the batch is delayed by the prefill, which costs throughput to the extent that the
// engine's memory is in use.
func (e *EngineView) displacedNS(need Need) float64 {
	used := e.utilization()
	if e.KVTokens > 0 {
		used = max(used, 1-float64(e.KVFree)/float64(e.KVTokens))
	}
	return e.prefillNS(need) * float64(e.Held) * min(max(used, 0), 1)
}

// PlaceKept returns the decode engine for a request whose prefill result is kept by an engine,
// or false if none can take it.
func PlaceKept(v *View, now int64, need Need, kept int) (Choice, bool) {
	out := Choice{Mode: lifecycle.Move, Prefill: kept, Decode: none, Reuse: true}
	from := v.Engines[kept].Zone
	lowest := 0.0
	for i := range v.Engines {
		e := &v.Engines[i]
		if !e.Decode || i == kept || e.Held >= e.MaxHeld || e.KVFree < need.KVTokens {
			continue
		}
		first := v.moveNS(from, e.Zone, float64(now), need) + e.stepNS(e.Held+1)
		score := first + e.utilization()*v.StepTargetNS
		if out.Decode == none || score < lowest {
			lowest = score
			out.Decode = i
			out.FirstTokenNS = int64(first)
		}
	}
	return out, out.Decode != none
}

func (e *EngineView) prefillNS(need Need) float64 {
	return e.PrefillNS * float64(max(need.PromptTokens-e.Cached, 1))
}

// utilization returns how full the engine would be with one more request; 1 is full.
func (e *EngineView) utilization() float64 {
	return float64(e.Held+1) / float64(max(e.MaxHeld, 1))
}

func (e *EngineView) stepNS(batch int) float64 {
	return e.StepBaseNS + e.StepPerNS*float64(batch)
}

// recomputeFits reports whether the engine's batch can tolerate a prefill.
func (v *View) recomputeFits(e *EngineView, now int64, need Need) bool {
	if e.FreeAt > now || e.Held >= e.MaxHeld || e.KVFree < need.KVTokens {
		return false
	}
	if e.Held == 0 {
		return true
	}
	slack := (v.StepTargetNS - e.stepNS(e.Held+1)) * usualSteps
	return e.localNS(now)+e.prefillNS(need) <= slack*recomputeShare
}

// localNS returns the remaining effect of recent prefills on the batch; it reaches 0 after the
// time of a usual answer.
func (e *EngineView) localNS(now int64) float64 {
	window := usualSteps * e.stepNS(e.Held+1)
	return e.LocalNS * max(1-float64(now-e.LocalAt)/window, 0)
}

// placeMove returns the pair of engines, or the prefill engine alone if the decode engine is
// chosen later.
func (v *View) placeMove(now int64, need Need, prefills, decodes *bestByZone) (Choice, bool) {
	if !v.DeferDecode {
		return v.placePair(now, need, prefills, decodes)
	}
	if !v.MayDefer {
		return Choice{}, false
	}
	return v.placePrefill(now, need, prefills)
}

// placePair compares the best prefill engine of each zone with the best decode engine of each.
func (v *View) placePair(now int64, need Need, prefills, decodes *bestByZone) (Choice, bool) {
	out := Choice{Mode: lifecycle.Move, Prefill: none, Decode: none}
	bestScore, found := 0.0, false
	for pz := range v.Zones {
		p := prefills.index[pz]
		if p == none {
			continue
		}
		done := prefills.score[pz]
		for dz := range v.Zones {
			d := decodes.index[dz]
			if d == none {
				continue
			}
			first := done + v.moveNS(pz, dz, done, need) + v.Engines[d].stepNS(v.Engines[d].Held+1)
			score := first + decodes.score[dz]*v.StepTargetNS + v.ZoneNS[pz] + v.ZoneNS[dz]
			if !found || score < bestScore {
				bestScore, found = score, true
				out.Prefill, out.Decode = p, d
				out.FirstTokenNS = int64(first) - now
				out.PrefillNS = int64(v.Engines[p].prefillNS(need))
			}
		}
	}
	return out, found
}

// placePrefill returns a prefill engine for a request whose decode engine is chosen later.
func (v *View) placePrefill(now int64, need Need, prefills *bestByZone) (Choice, bool) {
	out := Choice{Mode: lifecycle.Move, Prefill: none, Decode: none}
	lowest := 0.0
	for z := range v.Zones {
		p := prefills.index[z]
		if p == none {
			continue
		}
		score := prefills.score[z] + v.ZoneNS[z]
		if out.Prefill == none || score < lowest {
			lowest = score
			out.Prefill = p
			out.FirstTokenNS = int64(prefills.score[z]+v.StepTargetNS) - now
			out.PrefillNS = int64(v.Engines[p].prefillNS(need))
		}
	}
	return out, out.Prefill != none
}

// moveNS returns the time from the end of the prefill to the end of the transfer.
func (v *View) moveNS(from, to int, done float64, need Need) float64 {
	link := from*v.Zones + to
	start := max(float64(v.LinkFreeAt[link]), done)
	return start - done + v.LinkNS[link]*float64(need.PromptTokens)
}

func (v *View) placeRecompute(need Need, local *bestByZone) (Choice, bool) {
	out := Choice{Mode: lifecycle.Recompute, Prefill: none, Decode: none}
	lowest := 0.0
	for z := range v.Zones {
		d := local.index[z]
		if d == none {
			continue
		}
		e := &v.Engines[d]
		// The prefill runs in chunks between decode steps, so the batch slows it down.
		first := int64(e.prefillNS(need) + e.stepNS(e.Held+1))
		score := float64(first) + e.displacedNS(need) + v.ZoneNS[z]
		if out.Decode == none || score < lowest {
			lowest = score
			out.Decode = d
			out.FirstTokenNS = first
			out.PrefillNS = int64(e.prefillNS(need))
		}
	}
	return out, out.Decode != none
}

// sinceStart converts a time to nanoseconds since the group's start.
func sinceStart(start, now time.Time) int64 {
	return int64(now.Sub(start))
}
