// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package health decides which sick endpoints get no work for a while, and
// how many retries a group may spend. It takes the time as an argument.
package health

import (
	"math"
	"math/rand/v2"
	"time"
)

// Config sets the rules of ejection and return.
type Config struct {
	// Failures in a row that eject an endpoint where failures are rare.
	Failures int
	// BaseOut and MaxOut bound how long it stays out; each ejection in a row
	// doubles the time, with jitter.
	BaseOut, MaxOut time.Duration
	// MaxOutShare bounds the part of a role's endpoints out at once, 0 to 1,
	// so that a common cause does not empty the pool.
	MaxOutShare float64
}

// DefaultConfig is what runs unless the settings say otherwise.
func DefaultConfig() Config {
	return Config{
		Failures:    3,
		BaseOut:     500 * time.Millisecond,
		MaxOut:      15 * time.Second,
		MaxOutShare: 0.34,
	}
}

// Failure is one failed order as a breaker judges it.
type Failure struct {
	// Usual is the part of such orders that fail at endpoints that are well, 0 to 1:
	// some applications answer some requests with an error whoever serves them.
	Usual float64
	// Others is how many endpoints of the role are out already, of Total.
	Others, Total int
}

const (
	// sick is the part of its orders that a sick endpoint fails, and rare the least
	// usual part that is reckoned with: one that is well may fail now and then. Both
	// are parts of all orders, 0 to 1.
	sick = 0.5
	rare = 0.02
)

// suspicion is what one failure says for an endpoint being sick: the logarithm of
// how much more likely it is there than at one that is well.
func suspicion(usual float64) float64 { return math.Log(sick / clampUsual(usual)) }

// relief is the same for one success; it is negative.
func relief(usual float64) float64 { return math.Log((1 - sick) / (1 - clampUsual(usual))) }

// clampUsual keeps the usual part between rare and a little less than sick, where one
// failure still says something.
func clampUsual(usual float64) float64 { return min(max(usual, rare), sick*0.9) }

// Breaker is the health of one endpoint; a value. It sums the evidence for the endpoint
// being sick against being well (cumulative sum test; Page, 1954), so that where a
// seventh of all requests are answered with an error, three errors in a row take
// nobody out: of two endpoints one was out for 8 s of 14, and the other one turned
// 400 requests away.
type Breaker struct {
	evidence  float64
	ejections int
	outUntil  time.Time
	// trying is true while one request tests an endpoint that came back, and passed
	// once one has gone well there: others follow, though the evidence fades slower.
	trying, passed bool
}

// Out says whether the endpoint gets no work at the moment.
func (b Breaker) Out(now time.Time) bool {
	return now.Before(b.outUntil) || b.trying
}

// OutFor is how long the endpoint gets no work yet; 0 is none.
func (b Breaker) OutFor(now time.Time) time.Duration {
	return max(b.outUntil.Sub(now), 0)
}

// Suspect says whether the endpoint was ejected and has not done well since.
func (b Breaker) Suspect() bool { return b.ejections > 0 }

// Trial says whether the next request is the one that tests the endpoint.
func (b Breaker) Trial(now time.Time) bool {
	return b.ejections > 0 && !b.trying && !b.passed && !now.Before(b.outUntil)
}

// WithTrial marks the test request as under way.
func (b Breaker) WithTrial() Breaker {
	b.trying = true
	return b
}

// WithoutTrial returns the breaker after a test request that told nothing.
func (b Breaker) WithoutTrial() Breaker {
	b.trying = false
	return b
}

// WithSuccess returns the breaker after an order that went well, where a usual part
// of them fails.
func (b Breaker) WithSuccess(usual float64) Breaker {
	b.passed = b.passed || b.trying
	b.trying = false
	b.evidence += relief(usual)
	if b.evidence <= 0 {
		return Breaker{}
	}
	return b
}

// WithFailure returns the breaker after a failed order. A test request that fails takes
// the endpoint out again where failures are rare.
func (b Breaker) WithFailure(now time.Time, cfg Config, f Failure, r *rand.Rand) Breaker {
	again := b.trying && f.Usual <= rare
	b.trying = false
	enough := float64(cfg.Failures) * suspicion(rare)
	b.evidence = min(b.evidence+suspicion(f.Usual), enough)
	if b.evidence < enough*(1-rounding) && !again {
		return b
	}
	if float64(f.Others+1) > max(cfg.MaxOutShare*float64(f.Total), 1) {
		return b
	}
	out := min(cfg.BaseOut<<min(b.ejections, maxShift), cfg.MaxOut)
	// Full jitter over the upper half keeps endpoints from returning together.
	out = out/2 + time.Duration(r.Int64N(int64(out/2)+1))
	b.outUntil = now.Add(out)
	b.ejections++
	b.passed = false
	// Where failures are rare, one more takes it out again soon after it is back.
	b.evidence = enough - suspicion(rare)
	return b
}

// rounding keeps sums of equal parts from falling short of the whole.
const rounding = 1e-9

// maxShift keeps the doubling within a duration's range.
const maxShift = 10

// Budget lets retries be at most a share of the requests seen, plus a small
// reserve for quiet times; a value.
type Budget struct {
	tokens float64
}

const (
	// budgetPerRequest is what each first attempt adds.
	budgetPerRequest = 0.1
	// budgetMax bounds what can be saved up.
	budgetMax = 20
)

// NewBudget starts with the full reserve.
func NewBudget() Budget {
	return Budget{tokens: budgetMax}
}

// WithRequest returns the budget after a first attempt.
func (b Budget) WithRequest() Budget {
	return Budget{tokens: min(b.tokens+budgetPerRequest, budgetMax)}
}

// WithRetry returns the budget after one retry, or false if there is none.
func (b Budget) WithRetry() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	return Budget{tokens: b.tokens - 1}, true
}
