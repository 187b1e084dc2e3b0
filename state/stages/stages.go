// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package stages plans which engines of a group prefill and which decode, from the time that a
// usual prompt and answer take and from the prompt work that is requested of the group. It does
// no I/O: observations are arguments.
package stages

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Engine is the state of one engine of a group that a plan is based on.
type Engine struct {
	Name string
	// Prefill reports whether its stage is prefill, or will be after a change in progress.
	Prefill bool
	// Changing reports whether the engine is changing its stage; until that is done it is
	// unavailable.
	Changing bool
	// Ready reports whether the engine may be ordered to change: it is up, not leaving, and not
	// changing already.
	Ready bool
	// TokenNS is the time in which it prefills one token, in nanoseconds.
	TokenNS float64
	// Software is the version of its software; empty means unknown.
	Software string
}

// Load is the work requested of a group.
type Load struct {
	// Seen is how long the group has been observed.
	Seen time.Duration
	// Mean and Peak are the requested prompt work, in seconds of one engine's prefill time per
	// second: over the whole observed period, and over its busiest seconds.
	Mean, Peak float64
	// Prompt is the time that one engine with no other work takes to read a usual prompt.
	// Answer is the engine time that one usual answer takes, on an engine whose memory is full
	// of such answers. 0 means unknown.
	Prompt, Answer time.Duration
	// Fill is the used part of the decode engines' memory, 0 to 1.
	Fill float64
}

// Config configures the plan of a group.
type Config struct {
	// Part, if above 0, fixes the part of the engines that prefill.
	Part float64
}

const (
	// minSeen is how long a group is observed before it is planned: at ten prompts per second,
	// two seconds show their rate to within a quarter.
	minSeen = 2 * time.Second
	// minSeenWithoutAnswers is the same while the duration of answers is unknown; the first
	// answers show it within seconds. When a zone of 30 engines was planned after two seconds
	// by the prompt work alone, it kept five prefill engines but needed seven.
	minSeenWithoutAnswers = 10 * time.Second
	// minWork is the work, in engines, below which nothing changes: either the engines are not
	// overloaded, or most boxes ask another home.
	minWork = 0.3
	// utilization is the part of their time that prefill engines are planned to work while the
	// duration of answers is unknown, and balancedUtilization the same once it is known. It is
	// lower because some prompts are read twice and because prompts do not arrive evenly. In a
	// rush on 90 engines, 27 prefill engines worked 0.65 of their time and 150 streams per
	// second were answered; 18 worked 0.88, 110 were answered, and prompts were read next to
	// the decode batches.
	utilization         = 0.85
	balancedUtilization = 0.7
	// headroom is the factor on the mean work for which prefill engines are planned while the
	// duration of answers is unknown. Rushes bring twice the usual work; decode engines read
	// the rest next to their batches.
	headroom = 2.0
	// minGain is the least relative increase of the rate that the group can serve for which a
	// change is made: observed times vary by a few hundredths from second to second.
	minGain = 0.05
	// minPrefills is the minimum number of prefill engines in a group with other engines, and
	// minPrefillsLarge the minimum in a group of at least largeGroup engines, because one may
	// be lost.
	minPrefills      = 1
	minPrefillsLarge = 2
	largeGroup       = 8
	// overloadFactor is how many times the prefill engines' time the mean work must take before
	// engines change back to prefill, and maxFillToChange how full the memory of the others may
	// be then. An engine that changes is unavailable for seconds and loses the answers that it
	// decodes, decode engines can read prompts too, and if memory is short, fewer decode
	// engines serve less.
	overloadFactor  = 1.3
	maxFillToChange = 0.5
	// spareToChange is the number of prefill engines above the wanted number from which engines
	// change to decode.
	spareToChange = 1
)

// Plan lists the engines that should change to decode and to prefill.
type Plan struct {
	// Wanted is the number of engines that should prefill.
	Wanted              int
	ToDecode, ToPrefill []string
}

// None reports whether no engine changes.
func (p Plan) None() bool { return len(p.ToDecode)+len(p.ToPrefill) == 0 }

// Make plans a group. Superfluous prefill engines all change to decode at once, because they
// are idle. Engines change to prefill one at a time.
func Make(engines []Engine, l Load, c Config) Plan {
	prefills, changing := 0, false
	for _, e := range engines {
		if e.Prefill {
			prefills++
		}
		changing = changing || e.Changing
	}
	p := Plan{Wanted: prefills}
	idle := c.Part == 0 && l.Mean < minWork
	if l.Seen < minSeen || l.Seen < minSeenWithoutAnswers && c.Part == 0 && l.Answer == 0 || idle || len(engines) <= minPrefills {
		return p
	}
	p.Wanted = wanted(len(engines), prefills, l, c)
	switch {
	case prefills-p.Wanted >= spareToChange:
		p.ToDecode = slowest(engines, prefills-p.Wanted)
	case prefills < p.Wanted && !changing && (c.Part > 0 || l.Fill < maxFillToChange && l.Mean > overloadFactor*float64(prefills)):
		p.ToPrefill = fastestDecode(engines)
	}
	return p
}

// wanted returns how many of all engines should prefill.
func wanted(all, prefills int, l Load, c Config) int {
	floor := minPrefills
	if all >= largeGroup {
		floor = minPrefillsLarge
	}
	n := int(math.Ceil(l.Mean * headroom / utilization))
	switch {
	case c.Part > 0:
		n = int(math.Round(c.Part * float64(all)))
	case l.Prompt > 0 && l.Answer > 0:
		n = balanced(all, prefills, l)
	}
	return min(max(n, floor), all-1)
}

// balanced returns the number of prefill engines with which the group serves the most requests
// per second: as many as the prefill engines can read and the others can answer. If a zone of
// 30 engines is planned by the requested work instead, it gets five prefill engines that read
// 38 prompts per second where the others can answer 50; another zone gets ten and answers 40. A
// change that gains less than a twentieth is not made.
func balanced(all, prefills int, l Load) int {
	prompt := l.Prompt.Seconds() / balancedUtilization
	part := prompt / (prompt + l.Answer.Seconds())
	n := int(part * float64(all))
	if served(all, n+1, l) > served(all, n, l) {
		n++
	}
	if prefills > 0 && served(all, n, l) < (1+minGain)*served(all, prefills, l) {
		return prefills
	}
	return n
}

// served returns the maximum rate of requests per second that a group serves with a number of
// prefill engines.
func served(all, prefills int, l Load) float64 {
	read := float64(prefills) * balancedUtilization / l.Prompt.Seconds()
	answered := float64(all-prefills) / l.Answer.Seconds()
	return min(read, answered)
}

// slowest returns up to n of the prefill engines that may change, the slowest ones.
func slowest(engines []Engine, n int) []string {
	var candidates []Engine
	for _, e := range engines {
		if e.Prefill && e.Ready {
			candidates = append(candidates, e)
		}
	}
	slices.SortStableFunc(candidates, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(b.TokenNS, a.TokenNS), cmp.Compare(a.Name, b.Name))
	})
	var out []string
	for _, e := range candidates[:min(n, len(candidates))] {
		out = append(out, e.Name)
	}
	return out
}

// fastestDecode returns the decode engine that would prefill the fastest among those that may
// change, or nothing. The last one of a software version stays, as streams that it began go on nowhere
// else.
func fastestDecode(engines []Engine) []string {
	decodes := make(map[string]int)
	for _, e := range engines {
		if !e.Prefill && !e.Changing {
			decodes[e.Software]++
		}
	}
	best := -1
	for i, e := range engines {
		if e.Prefill || !e.Ready || len(decodes) > 1 && decodes[e.Software] == 1 {
			continue
		}
		if best < 0 || e.TokenNS < engines[best].TokenNS {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	return []string{engines[best].Name}
}
