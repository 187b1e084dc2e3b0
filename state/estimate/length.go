// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package estimate

import "math"

const (
	// priorSpread is the standard deviation of the logarithm of an answer's
	// length over the caller's guess before any answer was seen: two answers in
	// three lie within a factor of 1.65 of the guess.
	priorSpread = 0.5
	// priorWeight is the number of answers that the starting figures count for,
	// so that the first to end, which are the short ones, weigh little.
	priorWeight = 20
	// lengthMemory is the number of answers after which older ones fade.
	lengthMemory = 200
	// lengthClip bounds the logarithm of one observation, so that a guess that
	// means nothing (0, or the most allowed) does not spoil the rest.
	lengthClip = 2.5
	// leastTail is the least chance of an answer's present length for which the
	// learnt distribution says how it goes on; the quotient of two smaller chances
	// is not to be trusted.
	leastTail = 1e-4
	// leastVariance keeps the learnt distribution from closing in on the guesses:
	// a deviation of a tenth.
	leastVariance = 0.01
)

// Length learns how long answers become against the callers' guesses. The
// logarithm of length over guess is taken to be normal. The zero value has the
// starting figures.
type Length struct {
	mean, excess float64
	seen         float64
}

// With returns the estimate after one whole answer. Lengths and guesses that
// are not above zero are no observation.
func (l Length) With(guess, made int) Length {
	if guess <= 0 || made <= 0 {
		return l
	}
	x := math.Log(float64(made) / float64(guess))
	x = min(max(x, -lengthClip), lengthClip)
	l.seen = min(l.seen+1, lengthMemory)
	gain := 1 / (l.seen + priorWeight)
	delta := x - l.mean
	l.mean += gain * delta
	variance := l.variance()
	l.excess += gain * (delta*delta - variance)
	return l
}

// variance is that of the logarithm.
func (l Length) variance() float64 {
	return max(priorSpread*priorSpread+l.excess, leastVariance)
}

// Expected is the mean length for a guess, in tokens.
func (l Length) Expected(guess int) float64 {
	return float64(guess) * math.Exp(l.mean+l.variance()/2)
}

// GoesOn is the chance that an answer that has come to some length grows by
// further tokens at least.
func (l Length) GoesOn(guess, made int, further float64) float64 {
	if further <= 0 {
		return 1
	}
	spread := math.Sqrt(l.variance())
	now := l.tail(float64(max(guess, 1)), float64(made), spread)
	if now < leastTail {
		// The answer is far longer than guessed, and the guess says nothing more:
		// what is left is taken to be exponential, as long as a usual answer.
		return math.Exp(-further / max(l.Expected(guess), 1))
	}
	return l.tail(float64(max(guess, 1)), float64(made)+further, spread) / now
}

// tail is the chance that an answer is longer than a length.
func (l Length) tail(guess, length, spread float64) float64 {
	if length <= 0 {
		return 1
	}
	return math.Erfc((math.Log(length/guess)-l.mean)/(spread*math.Sqrt2)) / 2
}
