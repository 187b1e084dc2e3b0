// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package estimate

import "math"

const (
	// priorSpread is the standard deviation of the logarithm of an answer's length over the
	// caller's guess before any answer was observed: two answers in three are within a factor
	// of 1.65 of the guess.
	priorSpread = 0.5
	// priorWeight is the number of answers that the starting values count for, so that the
	// first answers to finish, which are the short ones, weigh little.
	priorWeight = 20
	// lengthMemory is the number of answers after which the weight of older ones decays.
	lengthMemory = 200
	// lengthClip bounds the logarithm of one observation, so that a meaningless guess (0, or
	// the maximum allowed) does not spoil the estimate.
	lengthClip = 2.5
	// minTail is the smallest probability of the current length of an answer for which the
	// learned distribution predicts the rest; the quotient of two smaller probabilities is
	// unreliable.
	minTail = 1e-4
	// minVariance keeps the learned distribution from narrowing down to the guesses: it is a
	// standard deviation of a tenth.
	minVariance = 0.01
)

// Length learns the length of answers relative to the callers' guesses. The logarithm of length
// over guess is assumed to be normally distributed. The zero value has the starting values.
type Length struct {
	mean, excess float64
	seen         float64
}

// With returns the estimate after one complete answer. It ignores lengths and guesses that are
// not positive.
func (l Length) With(guess, tokens int) Length {
	if guess <= 0 || tokens <= 0 {
		return l
	}
	x := math.Log(float64(tokens) / float64(guess))
	x = min(max(x, -lengthClip), lengthClip)
	l.seen = min(l.seen+1, lengthMemory)
	gain := 1 / (l.seen + priorWeight)
	delta := x - l.mean
	l.mean += gain * delta
	variance := l.variance()
	l.excess += gain * (delta*delta - variance)
	return l
}

// variance returns the variance of the logarithm.
func (l Length) variance() float64 {
	return max(priorSpread*priorSpread+l.excess, minVariance)
}

// Expected returns the mean length for a guess, in tokens.
func (l Length) Expected(guess int) float64 {
	return float64(guess) * math.Exp(l.mean+l.variance()/2)
}

// ContinueProbability returns the probability that an answer of some length grows by at least so
// many further tokens.
func (l Length) ContinueProbability(guess, tokens int, further float64) float64 {
	if further <= 0 {
		return 1
	}
	spread := math.Sqrt(l.variance())
	current := l.tail(float64(max(guess, 1)), float64(tokens), spread)
	if current < minTail {
		// The answer is far longer than guessed, so the guess says nothing about the rest. The
		// remaining length is assumed to be exponentially distributed, with the mean of a usual
		// answer.
		return math.Exp(-further / max(l.Expected(guess), 1))
	}
	return l.tail(float64(max(guess, 1)), float64(tokens)+further, spread) / current
}

// tail returns the probability that an answer is longer than a length.
func (l Length) tail(guess, length, spread float64) float64 {
	if length <= 0 {
		return 1
	}
	return math.Erfc((math.Log(length/guess)-l.mean)/(spread*math.Sqrt2)) / 2
}
