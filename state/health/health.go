// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package health decides which failing endpoints are ejected for a while, and how many retries
// a group may spend. The current time is an argument.
package health

import (
	"math"
	"math/rand/v2"
	"time"
)

// Config holds the rules for ejecting endpoints and returning them to service.
type Config struct {
	// Failures is the number of consecutive failures that eject an endpoint where failures are
	// rare.
	Failures int
	// BaseOut and MaxOut bound how long an endpoint stays ejected; each consecutive ejection
	// doubles the time, with jitter.
	BaseOut, MaxOut time.Duration
	// MaxOutShare bounds the part of a role's endpoints that are ejected at once, 0 to 1, so
	// that a common cause does not empty the pool.
	MaxOutShare float64
}

// DefaultConfig returns the rules that apply unless the settings override them.
func DefaultConfig() Config {
	return Config{
		Failures:    3,
		BaseOut:     500 * time.Millisecond,
		MaxOut:      15 * time.Second,
		MaxOutShare: 0.34,
	}
}

// Failure describes a failed order for the breaker.
type Failure struct {
	// Usual is the part of such orders that fail at healthy endpoints, 0 to 1: some
	// applications answer some requests with an error, whichever endpoint serves them.
	Usual float64
	// Others is how many of the Total endpoints of the role are ejected already.
	Others, Total int
}

const (
	// sickRate is the part of its orders that a sick endpoint fails, and minUsualRate the
	// minimum usual part that is assumed, because a healthy endpoint may fail now and then.
	// Both are parts of all orders, 0 to 1.
	sickRate     = 0.5
	minUsualRate = 0.02
)

// failureEvidence returns the evidence of one failure that an endpoint is sick: the logarithm
// of how much more likely a failure is there than at a healthy endpoint.
func failureEvidence(usual float64) float64 { return math.Log(sickRate / clampUsual(usual)) }

// successEvidence returns the same for one success; it is negative.
func successEvidence(usual float64) float64 {
	return math.Log((1 - sickRate) / (1 - clampUsual(usual)))
}

// clampUsual keeps the usual part between minUsualRate and slightly less than sickRate, so that
// a failure remains evidence.
func clampUsual(usual float64) float64 { return min(max(usual, minUsualRate), sickRate*0.9) }

// Breaker is the circuit breaker of one endpoint. It is an immutable value. It sums the
// evidence that the endpoint is sick (cumulative sum test; Page, 1954), so that three errors in
// a row do not eject an endpoint where a seventh of all requests are answered with an error.
// With a plain count, one of two such endpoints was ejected for 8 s of 14, and the other one
// rejected 400 requests.
type Breaker struct {
	evidence  float64
	ejections int
	outUntil  time.Time
	// trying is true while one request tests an endpoint after its ejection. passed is true
	// once a test has succeeded; then other requests follow, although the evidence decays more
	// slowly.
	trying, passed bool
}

// Ejected reports whether the endpoint gets no work at the moment.
func (b Breaker) Ejected(now time.Time) bool {
	return now.Before(b.outUntil) || b.trying
}

// EjectedFor returns how long the endpoint remains ejected; 0 if it is not.
func (b Breaker) EjectedFor(now time.Time) time.Duration {
	return max(b.outUntil.Sub(now), 0)
}

// Suspect reports whether the endpoint was ejected and has not recovered since.
func (b Breaker) Suspect() bool { return b.ejections > 0 }

// Trial reports whether the next request should test the endpoint.
func (b Breaker) Trial(now time.Time) bool {
	return b.ejections > 0 && !b.trying && !b.passed && !now.Before(b.outUntil)
}

// WithTrial returns the breaker with a test request in flight.
func (b Breaker) WithTrial() Breaker {
	b.trying = true
	return b
}

// WithoutTrial returns the breaker after a test request without a conclusive result.
func (b Breaker) WithoutTrial() Breaker {
	b.trying = false
	return b
}

// WithSuccess returns the breaker after a successful order of a kind of which a usual part
// fails.
func (b Breaker) WithSuccess(usual float64) Breaker {
	b.passed = b.passed || b.trying
	b.trying = false
	b.evidence += successEvidence(usual)
	if b.evidence <= 0 {
		return Breaker{}
	}
	return b
}

// WithFailure returns the breaker after a failed order. A failed test request ejects the
// endpoint again where failures are rare.
func (b Breaker) WithFailure(now time.Time, cfg Config, f Failure, r *rand.Rand) Breaker {
	failedTrial := b.trying && f.Usual <= minUsualRate
	b.trying = false
	threshold := float64(cfg.Failures) * failureEvidence(minUsualRate)
	b.evidence = min(b.evidence+failureEvidence(f.Usual), threshold)
	if b.evidence < threshold*(1-rounding) && !failedTrial {
		return b
	}
	if float64(f.Others+1) > max(cfg.MaxOutShare*float64(f.Total), 1) {
		return b
	}
	out := min(cfg.BaseOut<<min(b.ejections, maxShift), cfg.MaxOut)
	// Full jitter over the upper half keeps endpoints from returning at the same time.
	out = out/2 + time.Duration(r.Int64N(int64(out/2)+1))
	b.outUntil = now.Add(out)
	b.ejections++
	b.passed = false
	// Where failures are rare, a single failure ejects the endpoint again soon after it
	// returns.
	b.evidence = threshold - failureEvidence(minUsualRate)
	return b
}

// rounding keeps sums of equal parts from ending up just below the whole.
const rounding = 1e-9

// maxShift keeps the doubled time within the range of a duration.
const maxShift = 10

// Budget is a retry budget: retries may be at most a share of the observed requests, plus a
// small reserve for quiet times. It is an immutable value.
type Budget struct {
	tokens float64
}

const (
	// budgetPerRequest is the number of retries that each first attempt adds.
	budgetPerRequest = 0.1
	// budgetMax is the maximum number of retries that accumulate.
	budgetMax = 20
)

// NewBudget returns a budget with the full reserve.
func NewBudget() Budget {
	return Budget{tokens: budgetMax}
}

// WithRequest returns the budget after a first attempt.
func (b Budget) WithRequest() Budget {
	return Budget{tokens: min(b.tokens+budgetPerRequest, budgetMax)}
}

// WithRetry returns the budget after one retry, or false if no retry is allowed.
func (b Budget) WithRetry() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	return Budget{tokens: b.tokens - 1}, true
}
