// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package health decides which sick endpoints get no work for a while, and
// how many retries a group may spend. It takes the time as an argument.
package health

import (
	"math/rand/v2"
	"time"
)

// Config sets the rules of ejection and return.
type Config struct {
	// Failures in a row that eject an endpoint.
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

// Breaker is the health of one endpoint; a value.
type Breaker struct {
	failures  int
	ejections int
	outUntil  time.Time
	// trying is true while one request tests an endpoint that came back.
	trying bool
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
	return b.ejections > 0 && !b.trying && !now.Before(b.outUntil)
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

// WithSuccess returns the breaker after an order that went well.
func (b Breaker) WithSuccess() Breaker {
	return Breaker{}
}

// WithFailure returns the breaker after a failed order. Others is how many
// endpoints of the role are out already, of total.
func (b Breaker) WithFailure(now time.Time, cfg Config, others, total int, r *rand.Rand) Breaker {
	wasTrial := b.trying
	b.trying = false
	b.failures++
	if b.failures < cfg.Failures && !wasTrial {
		return b
	}
	if float64(others+1) > max(cfg.MaxOutShare*float64(total), 1) {
		return b
	}
	out := min(cfg.BaseOut<<min(b.ejections, maxShift), cfg.MaxOut)
	// Full jitter over the upper half keeps endpoints from returning together.
	out = out/2 + time.Duration(r.Int64N(int64(out/2)+1))
	b.outUntil = now.Add(out)
	b.ejections++
	b.failures = 0
	return b
}

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
