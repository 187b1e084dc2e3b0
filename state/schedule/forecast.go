// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"math"
	"time"

	"runridge.example/runridge/state/estimate"
)

// requestMemory is the memory that one request uses on an engine, in tokens.
type requestMemory struct {
	// heldTokens is the current use.
	heldTokens int
	// expectedOutput is the length of the answer estimated by the caller, and generated the
	// length so far. Without an estimate the memory stays constant.
	expectedOutput, generated int
}

const (
	// forecastPoints is the number of future points at which memory is forecast.
	forecastPoints = 10
	// riskDeviations is how many standard deviations above its mean a forecast must fit into
	// the engine's memory.
	riskDeviations = 2.5
)

// forecastFractions are the points of a forecast, as fractions of the usual answer length.
var forecastFractions = [forecastPoints]float64{0, 1.0 / 32, 1.0 / 16, 1.0 / 8, 3.0 / 16, 1.0 / 4, 3.0 / 8, 1.0 / 2, 3.0 / 4, 1}

// forecast is the expected memory use of all requests on one engine at several future points,
// in tokens. A request grows by one token per step and releases all its memory when it ends, at
// a random time.
type forecast struct {
	// noneFinished is the memory if no request ends; mean and variance describe the expected
	// memory.
	noneFinished, mean, variance [forecastPoints]float64
}

// with returns the forecast after adding a request. Usual is the usual answer length in tokens.
func (f forecast) with(l requestMemory, usual float64, length estimate.Length) forecast {
	for k := range f.noneFinished {
		held, goesOn := float64(l.heldTokens), 1.0
		if l.expectedOutput > 0 {
			growth := forecastFractions[k] * usual
			held += growth
			goesOn = length.ContinueProbability(l.expectedOutput, l.generated, growth)
		}
		f.noneFinished[k] += held
		f.mean[k] += goesOn * held
		f.variance[k] += goesOn * (1 - goesOn) * held * held
	}
	return f
}

// plus returns the sum of two forecasts.
func (f forecast) plus(o *forecast) forecast {
	for k := range f.noneFinished {
		f.noneFinished[k] += o.noneFinished[k]
		f.mean[k] += o.mean[k]
		f.variance[k] += o.variance[k]
	}
	return f
}

// boundAt returns the memory to plan for at one point.
func (f *forecast) boundAt(k int) float64 {
	return min(f.noneFinished[k], f.mean[k]+riskDeviations*math.Sqrt(f.variance[k]))
}

// peak returns the highest memory to plan for over all points.
func (f *forecast) peak() float64 {
	highest := 0.0
	for k := range f.noneFinished {
		highest = max(highest, f.boundAt(k))
	}
	return highest
}

// stepsUntilFits returns the number of steps after which a further request is expected to fit
// into memory, or -1 if it does not fit within the forecast.
func (f *forecast) stepsUntilFits(further *forecast, usual, memory float64) float64 {
	with := f.plus(further)
	// How much the further request raises the peak above the current use.
	peakIncrease := with.peak() - f.mean[0]
	if f.mean[0]+peakIncrease <= memory {
		return 0
	}
	for k := 1; k < forecastPoints; k++ {
		if f.mean[k]+peakIncrease > memory {
			continue
		}
		// Interpolate linearly between two points.
		before, after := f.mean[k-1], f.mean[k]
		part := (before + peakIncrease - memory) / max(before-after, 1)
		return (forecastFractions[k-1] + min(max(part, 0), 1)*(forecastFractions[k]-forecastFractions[k-1])) * usual
	}
	return -1
}

// cachedForecast is an engine's forecast and the time at which it was computed, in the group's
// time; 0 means that it has to be recomputed.
type cachedForecast struct {
	forecast
	computedAt int64
}

// forecastMaxAge is how long a forecast stays valid if no request starts or ends on its engine:
// some tens of steps, in which a request grows by about one percent.
const forecastMaxAge = int64(20 * time.Millisecond)

// invalidate forces the forecast to be recomputed at its next use.
func (c *cachedForecast) invalidate() { c.computedAt = 0 }

// stale reports whether the forecast has to be recomputed.
func (c *cachedForecast) stale(t int64) bool {
	return c.computedAt == 0 || t-c.computedAt > forecastMaxAge
}
