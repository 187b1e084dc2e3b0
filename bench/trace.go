// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package bench runs benchmarks of real boxes with fake engines. It measures what callers see
// and what the engines compute.
package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"runridge.example/runridge/state/example"
	"runridge.example/runridge/state/table"
)

// Arrival is one request of a trace.
type Arrival struct {
	At           time.Duration
	Prompt       string
	PromptTokens int
	// Shared is the length of the prefix shared with other requests, in tokens.
	Shared       int
	OutputTokens int
	Account      string
	// Once marks a request that must not be repeated.
	Once bool
	// CancelAfter is how long after the start the caller cancels; 0 is never.
	CancelAfter time.Duration
}

// promptShape describes the distribution of a scenario's prompt and output lengths, in tokens.
// The part of a prompt after the shared prefix has a log-normal length, clamped to minTokens
// and maxTokens.
type promptShape struct {
	median, sigma        float64
	minTokens, maxTokens int
	// sharedPrompts is the number of shared prefixes, and sharedTokens their length.
	sharedPrompts, sharedTokens int
	minOutput, maxOutput        int
}

// Additional scenarios on Bogotá's table.
const (
	// Replies models drafts of customer replies: short questions, long answers.
	Replies = "replies"
	// Documents models short answers to long documents, with few slots on each
	// decode engine, so that prefill takes a large part of the time of a slot.
	Documents = "documents"
)

// documentSlots is the number of slots of each decode engine in Documents.
const documentSlots = 3

// Scenarios returns the names of all scenarios.
func Scenarios() []string {
	return append(example.Names(), Replies, Documents)
}

// tableOf returns the table of a scenario, and false if there is no such scenario.
func tableOf(scenario string) (table.Table, bool) {
	switch scenario {
	case Replies:
		return example.Table(example.Bogota)
	case Documents:
		t, ok := example.Table(example.Bogota)
		for _, e := range t.Endpoints {
			if p, _ := t.Pool(e.Pool); p.Role == table.RoleDecode {
				e.Slots = documentSlots
				t = t.WithEndpoint(e)
			}
		}
		return t, ok
	default:
		return example.Table(scenario)
	}
}

var shapes = map[string]promptShape{
	// Donor-carrier rules against contracts: many variants, short verdicts.
	example.Bogota: {median: 600, sigma: 1.0, minTokens: 30, maxTokens: 24_000, sharedPrompts: 12, sharedTokens: 768, minOutput: 32, maxOutput: 96},
	// Drafted replies: short questions, long answers, so that decode slots are the scarce
	// resource.
	Replies:   {median: 250, sigma: 0.7, minTokens: 30, maxTokens: 4_000, sharedPrompts: 12, sharedTokens: 256, minOutput: 200, maxOutput: 400},
	Documents: {median: 2400, sigma: 0.5, minTokens: 400, maxTokens: 12_000, sharedPrompts: 12, sharedTokens: 256, minOutput: 60, maxOutput: 120},
	// Long order sheets against one price list, short tags.
	example.Kolkata: {median: 1400, sigma: 0.9, minTokens: 60, maxTokens: 30_000, sharedPrompts: 3, sharedTokens: 1024, minOutput: 24, maxOutput: 64},
}

// sharedOfTen is how many of ten requests start with a shared prefix.
const sharedOfTen = 7

// bytesPerToken is the length of a token in the texts of traces.
const bytesPerToken = 4

// draw draws the sizes and the prompt of one request.
func (s promptShape) draw(r *rand.Rand, shared []string) Arrival {
	tokens := int(math.Exp(math.Log(s.median) + s.sigma*r.NormFloat64()))
	tokens = min(max(tokens, s.minTokens), s.maxTokens)
	a := Arrival{OutputTokens: s.minOutput + r.IntN(s.maxOutput-s.minOutput+1)}
	prefix := ""
	if r.IntN(10) < sharedOfTen {
		prefix = shared[r.IntN(len(shared))]
		a.Shared = s.sharedTokens
	}
	a.Prompt = prefix + Text(r, tokens)
	a.PromptTokens = len(a.Prompt) / bytesPerToken
	return a
}

// Text returns a random text of a number of tokens.
func Text(r *rand.Rand, tokens int) string {
	var b strings.Builder
	b.Grow(tokens * bytesPerToken)
	for range tokens {
		fmt.Fprintf(&b, "%03x ", r.IntN(1<<12))
	}
	return b.String()
}

// Ceiling returns an upper bound on the number of requests of a trace that any policy could
// answer within a time: the smallest requests first, with no engine ever idle.
func (c Capacity) Ceiling(trace []Arrival, within time.Duration) int {
	costs := make([]float64, len(trace))
	for i, a := range trace {
		costs[i] = c.cost(a)
	}
	slices.Sort(costs)
	remaining := c.Engines * within.Seconds()
	for n, cost := range costs {
		remaining -= cost
		if remaining < 0 {
			return n
		}
	}
	return len(costs)
}

// cost returns the engine time that a request takes, in seconds.
func (c Capacity) cost(a Arrival) float64 {
	return float64(a.PromptTokens-a.Shared)*c.PrefillSeconds + answerTokens(a)*c.TokenSeconds
}

// Capacity is an upper bound on the rate at which a table's engines can serve requests of
// given sizes, in requests per second.
type Capacity struct {
	// PerSecond is the smaller of Decode and All.
	PerSecond float64
	// Decode is the bound if the decode engines do all the decoding and nothing else.
	Decode float64
	// All is the bound if all engines share all work.
	All float64
	// Engines is the number of engines. PrefillSeconds and TokenSeconds are the
	// engine time per prompt token computed and per token generated.
	Engines                      float64
	PrefillSeconds, TokenSeconds float64
}

// sampleSize is the number of requests from which a capacity is computed.
const sampleSize = 4000

// capacityOf computes a bound that no policy can exceed, because it assumes that no engine is
// ever idle: each shared prefix is in the cache, decode engines run the largest batch that
// meets the per-token target, and they also run prefill in the time that decoding leaves.
// It ignores memory, links, first-token targets and round trips.
func capacityOf(t table.Table, service string, sample []Arrival) Capacity {
	s, _ := t.Service(service)
	// Sums of the engines' rates in tokens per second, and numbers of engines.
	var prefillRate, tokenRate, prefillEngines, decodeEngines float64
	for _, g := range t.GroupsOf(service) {
		for _, m := range g.Members {
			e := m.Endpoint
			if m.Prefill {
				prefillEngines++
				prefillRate += float64(e.PrefillTokensPerSecond)
				continue
			}
			decodeEngines++
			e.Slots = m.Holds
			tokenRate += fullBatchRate(s, e)
		}
	}
	var prefill, decode float64
	for _, a := range sample {
		prefill += float64(a.PromptTokens - a.Shared)
		decode += answerTokens(a)
	}
	n := float64(len(sample))
	prefillSeconds := prefill / n / (prefillRate / prefillEngines)
	decodeSeconds := decode / n / (tokenRate / decodeEngines)
	c := Capacity{
		Decode: decodeEngines / decodeSeconds,
		All:    (prefillEngines + decodeEngines) / (prefillSeconds + decodeSeconds),
	}
	c.Engines = prefillEngines + decodeEngines
	c.PrefillSeconds = prefillEngines / prefillRate
	c.TokenSeconds = decodeEngines / tokenRate
	c.PerSecond = min(c.Decode, c.All)
	return c
}

// fullBatchRate returns the rate of a decode engine, in tokens per second, with the largest
// batch that meets the per-token target.
func fullBatchRate(s table.Service, e table.Endpoint) float64 {
	batch := (s.PerTokenMS*1000 - e.StepBaseUS) / max(e.StepPerRequestUS, 1)
	batch = min(max(batch, 1), e.Slots)
	step := float64(e.StepBaseUS+e.StepPerRequestUS*batch) / 1e6
	return float64(batch) / step
}

// answerTokens returns the expected length of an answer: three quarters of the maximum.
func answerTokens(a Arrival) float64 {
	const expectedShare = 0.75
	return expectedShare * float64(a.OutputTokens)
}

// TraceConfig configures a trace.
type TraceConfig struct {
	Scenario string
	Table    table.Table
	// Load is the offered load as a multiple of the engines' capacity.
	Load     float64
	Duration time.Duration
	// Cancels is the fraction of callers that cancel, from 0 to 1.
	Cancels float64
	Seed    uint64
}

// Trace returns open-loop Poisson arrivals at a rate of load times capacity, and the capacity.
// It errors for an unknown scenario.
func Trace(cfg TraceConfig) ([]Arrival, Capacity, error) {
	s, ok := shapes[cfg.Scenario]
	if !ok {
		return nil, Capacity{}, fmt.Errorf("scenario %q: allowed are %s", cfg.Scenario, strings.Join(Scenarios(), ", "))
	}
	r := rand.New(rand.NewPCG(cfg.Seed, 1))
	shared := make([]string, s.sharedPrompts)
	for i := range shared {
		shared[i] = Text(r, s.sharedTokens)
	}
	sample := make([]Arrival, sampleSize)
	sizes := rand.New(rand.NewPCG(cfg.Seed, 2))
	for i := range sample {
		sample[i] = s.draw(sizes, shared)
	}
	c := capacityOf(cfg.Table, cfg.Table.Services[0].Name, sample)
	rate := c.PerSecond * cfg.Load
	var out []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= cfg.Duration {
			return out, c, nil
		}
		a := sample[len(out)%len(sample)]
		a.At = at
		a.Account = cfg.Table.Accounts[r.IntN(len(cfg.Table.Accounts))].Name
		if r.Float64() < cfg.Cancels {
			a.CancelAfter = time.Duration(r.Int64N(int64(maxCancelTime)))
		}
		out = append(out, a)
	}
}

// maxCancelTime bounds how long after the start a caller that cancels does so.
const maxCancelTime = 1500 * time.Millisecond
