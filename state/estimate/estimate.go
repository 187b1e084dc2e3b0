// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package estimate learns how far the real times of an engine or a link are from the starting
// values in the table. It tolerates reports that are late, missing or far off.
package estimate

import "time"

const (
	// minGain is the minimum weight of one observation in the learned factor; the first
	// observations are averaged. Starting values may be off by a factor of five: with this gain
	// alone, replacing them would take a dozen answers, or 8 s.
	minGain = 0.15
	// clip bounds one observation to this many times the factor learned so far, so that a
	// single stalled transfer does not spoil the estimate. firstClip applies to the first
	// firstObservations instead, so that they can correct starting values that are off by a
	// factor of five.
	clip              = 2.0
	firstClip         = 8.0
	firstObservations = 3
	// minFactor and maxFactor bound the factor.
	minFactor = 0.05
	maxFactor = 20.0
)

// Factor is the ratio of observed to expected time. The zero value is a factor of 1, which
// leaves the values of the table unchanged.
type Factor struct {
	excess float64
	seen   int
}

// Value returns the learned ratio.
func (f Factor) Value() float64 {
	return 1 + f.excess
}

// Seen returns the number of observations.
func (f Factor) Seen() int {
	return f.seen
}

// Scale returns an expected time multiplied by the factor.
func (f Factor) Scale(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * f.Value())
}

// With returns the factor after one observation. It ignores times that are not positive.
func (f Factor) With(expected, observed time.Duration) Factor {
	if expected <= 0 || observed <= 0 {
		return f
	}
	current := f.Value()
	ratio := float64(observed) / float64(expected)
	bound := clip
	if f.seen < firstObservations {
		bound = firstClip
	}
	ratio = min(max(ratio, current/bound), current*bound)
	next := current + max(minGain, 1/float64(f.seen+1))*(ratio-current)
	return Factor{excess: min(max(next, minFactor), maxFactor) - 1, seen: f.seen + 1}
}
