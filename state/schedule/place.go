// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"math"
	"time"

	"runridge.example/runridge/state/lifecycle"
)

// EngineView is one engine as the decision sees it. Times are nanoseconds
// since the group's start, so that a view is cheap to read.
type EngineView struct {
	// Zone is an index into the view's zones.
	Zone int
	// Prefill and Decode say what the engine may do now; both are false for
	// one that is leaving or ejected.
	Prefill, Decode bool
	// Paced says that the engine is left out only since it was granted what it bears
	// while cold, or what it names as its limit.
	Paced bool
	// FreeAt is when the prefill work granted so far should be done.
	FreeAt int64
	// Queued is the number of prefills granted and not done.
	Queued int
	// PrefillNS is the time of one token's prefill.
	PrefillNS float64
	// Held is the number of decodes granted, Cap the most that keep the
	// per-token target.
	Held, Cap int
	// KVFree is the memory not yet promised and KVTokens all of it, in tokens.
	KVFree, KVTokens int
	// StepBaseNS and StepPerNS give a decode step's time.
	StepBaseNS, StepPerNS float64
	// Cached is how many tokens of this prompt the engine probably has.
	Cached int
	// LocalNS is prefill done beside the engine's batch lately, as of LocalAt;
	// it decays as the batch that it slowed down ends.
	LocalNS float64
	LocalAt int64
}

// View is what placement looks at.
type View struct {
	Engines []EngineView
	// Zones is the number of zones.
	Zones int
	// LinkFreeAt and LinkNS have Zones*Zones entries: when the link is free,
	// and its time for one token's KV cache.
	LinkFreeAt []int64
	LinkNS     []float64
	// ZoneNS is what choosing a zone costs in the comparison, for zones that
	// took more than their weight lately.
	ZoneNS []float64
	// LeadNS is how much work an engine's own queue may hold: enough to keep
	// it busy over a round trip, and no more, since what waits here can still
	// be put in order.
	LeadNS int64
	// StepTargetNS is the target between two tokens.
	StepTargetNS float64
	// Late leaves the decode engine open until the prefill is done; Book says
	// whether such a prefill may start.
	Late, Book bool
	// Joint looks at decode slots before starting a prefill.
	Joint bool
	// Recompute allows prefill on decode engines.
	Recompute bool
}

// Need is what a request asks of a placement.
type Need struct {
	PromptTokens int
	// KVTokens is the most memory that the request will hold.
	KVTokens int
	// LeftNS is the time in which the first token is still in time.
	LeftNS float64
}

// Choice is where a request goes: indexes into the view's engines.
type Choice struct {
	Mode lifecycle.Mode
	// Prefill is -1 for Recompute; Decode is -1 when the slot is still to come.
	Prefill, Decode int
	// Reuse says that Prefill keeps the result already.
	Reuse bool
	// FirstTokenNS is the estimated time to the first token from now.
	FirstTokenNS int64
	// PrefillNS is the prefill's own share of it.
	PrefillNS int64
}

const (
	// maxZones bounds the zones that one group's placement weighs.
	maxZones = 16
	none     = -1
	// recomputeShare is the part of the step target's slack, over a usual
	// answer, that prefills on a decode engine may take from its batch.
	recomputeShare = 0.5
	// usualSteps is the length of answer that the slack is reckoned over.
	usualSteps = 48
)

// best keeps the best candidate in each zone.
type best struct {
	index [maxZones]int
	score [maxZones]float64
}

func newBest() best {
	var b best
	for z := range b.index {
		b.index[z] = none
	}
	return b
}

func (b *best) offer(zone, index int, score float64) {
	if b.index[zone] == none || score < b.score[zone] {
		b.index[zone] = index
		b.score[zone] = score
	}
}

// Place finds the pair of engines with the earliest first token, or reports
// that none can start the request now. It reads each engine once and then
// weighs the best of each zone against each other, so its time grows with the
// number of engines and not with its square. It changes nothing.
func Place(v *View, now int64, need Need) (Choice, bool) {
	prefills, decodes, local := newBest(), newBest(), newBest()
	earliest := math.Inf(1)
	for i := range v.Engines {
		e := &v.Engines[i]
		if e.Prefill {
			done := float64(max(e.FreeAt, now)) + e.prefillNS(need)
			if e.FreeAt-now <= v.LeadNS {
				prefills.offer(e.Zone, i, done)
			}
			if !e.Decode {
				earliest = min(earliest, done)
			}
		}
		if !e.Decode {
			continue
		}
		if !v.Joint || e.Held < e.Cap && e.KVFree >= need.KVTokens {
			decodes.offer(e.Zone, i, e.fill())
		}
		if v.Recompute && v.recomputeFits(e, now, need) {
			local.offer(e.Zone, i, e.prefillNS(need)+e.displacedNS(need))
		}
	}
	choice, found := v.move(now, need, &prefills, &decodes)
	c, ok := v.recompute(need, &local)
	if !ok {
		return choice, found
	}
	moved := earliest - float64(now)
	if found {
		moved = float64(choice.FirstTokenNS)
	}
	if v.recomputeEarns(&c, moved, need) {
		return c, true
	}
	return choice, found
}

// recomputeEarns says whether a prefill beside a batch is worth the time that
// it takes from that batch, against a first token after moved by way of a
// prefill engine, which may still be busy: the request then waits for it.
func (v *View) recomputeEarns(c *Choice, moved float64, need Need) bool {
	first := float64(c.FirstTokenNS)
	displaced := v.Engines[c.Decode].displacedNS(need)
	if need.LeftNS > 0 && moved > need.LeftNS {
		// Only the batch can have it in time. One late request costs as much
		// as what a target's worth of decode time would have served.
		return displaced <= need.LeftNS
	}
	return first+displaced < moved
}

// displacedNS is the decode time that a prefill beside the engine's batch takes
// from others: each request of the batch is held up for as long as it runs, and
// that is time lost as far as the engine's memory is in use.
func (e *EngineView) displacedNS(need Need) float64 {
	used := e.fill()
	if e.KVTokens > 0 {
		used = max(used, 1-float64(e.KVFree)/float64(e.KVTokens))
	}
	return e.prefillNS(need) * float64(e.Held) * min(max(used, 0), 1)
}

// PlaceKept finds the decode engine for a request whose prefill result is
// still kept by an engine.
func PlaceKept(v *View, now int64, need Need, kept int) (Choice, bool) {
	out := Choice{Mode: lifecycle.Move, Prefill: kept, Decode: none, Reuse: true}
	from := v.Engines[kept].Zone
	lowest := 0.0
	for i := range v.Engines {
		e := &v.Engines[i]
		if !e.Decode || i == kept || e.Held >= e.Cap || e.KVFree < need.KVTokens {
			continue
		}
		first := v.moveNS(from, e.Zone, float64(now), need) + e.stepNS(e.Held+1)
		score := first + e.fill()*v.StepTargetNS
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

// fill is how full the engine is, 0 to 1 and above.
func (e *EngineView) fill() float64 {
	return float64(e.Held+1) / float64(max(e.Cap, 1))
}

func (e *EngineView) stepNS(batch int) float64 {
	return e.StepBaseNS + e.StepPerNS*float64(batch)
}

// recomputeFits says whether the engine's batch can bear a prefill beside it.
func (v *View) recomputeFits(e *EngineView, now int64, need Need) bool {
	if e.FreeAt > now || e.Held >= e.Cap || e.KVFree < need.KVTokens {
		return false
	}
	if e.Held == 0 {
		return true
	}
	slack := (v.StepTargetNS - e.stepNS(e.Held+1)) * usualSteps
	return e.localNS(now)+e.prefillNS(need) <= slack*recomputeShare
}

// localNS is what is left of the delay that recent prefills beside the batch
// mean for it: none once a usual answer's time has passed.
func (e *EngineView) localNS(now int64) float64 {
	window := usualSteps * e.stepNS(e.Held+1)
	return e.LocalNS * max(1-float64(now-e.LocalAt)/window, 0)
}

// move finds the pair of engines, or the prefill engine alone.
func (v *View) move(now int64, need Need, prefills, decodes *best) (Choice, bool) {
	if !v.Late {
		return v.pair(now, need, prefills, decodes)
	}
	if !v.Book {
		return Choice{}, false
	}
	return v.book(now, need, prefills)
}

// pair weighs the zones' best prefill engines against their decode engines.
func (v *View) pair(now int64, need Need, prefills, decodes *best) (Choice, bool) {
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

// book starts a prefill although no decode slot is free yet.
func (v *View) book(now int64, need Need, prefills *best) (Choice, bool) {
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

// moveNS is the time from the end of the prefill to the end of the transfer.
func (v *View) moveNS(from, to int, done float64, need Need) float64 {
	link := from*v.Zones + to
	start := max(float64(v.LinkFreeAt[link]), done)
	return start - done + v.LinkNS[link]*float64(need.PromptTokens)
}

func (v *View) recompute(need Need, local *best) (Choice, bool) {
	out := Choice{Mode: lifecycle.Recompute, Prefill: none, Decode: none}
	lowest := 0.0
	for z := range v.Zones {
		d := local.index[z]
		if d == none {
			continue
		}
		e := &v.Engines[d]
		// The prefill runs in pieces between steps, so the batch slows it.
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

// sinceStart converts a time to the view's nanoseconds.
func sinceStart(start, now time.Time) int64 {
	return int64(now.Sub(start))
}
