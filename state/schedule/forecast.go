// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"math"
	"time"

	"runridge.example/runridge/state/estimate"
)

// load is the memory of one request on an engine, in tokens.
type load struct {
	// held is what it takes now.
	held int
	// guess is the caller's guess of its answer's length, and made what there
	// is of it. A load without a guess keeps what it holds.
	guess, made int
}

const (
	// horizons is the number of moments ahead at which memory is forecast.
	horizons = 10
	// risk is how many standard deviations above its mean a forecast is kept
	// within the engine's memory.
	risk = 2.5
)

// ahead are the moments of a forecast, as parts of a usual answer's length.
var ahead = [horizons]float64{0, 1.0 / 32, 1.0 / 16, 1.0 / 8, 3.0 / 16, 1.0 / 4, 3.0 / 8, 1.0 / 2, 3.0 / 4, 1}

// forecast is the memory that the requests of one engine are expected to take
// at some moments from now on, in tokens. A request grows by a token a step and
// gives all back when it ends, which is a matter of chance.
type forecast struct {
	// all is the memory if none ends; mean and variance are those of the memory
	// as it is expected.
	all, mean, variance [horizons]float64
}

// with returns the forecast after one more request. Usual is the length of a
// usual answer, in tokens.
func (f forecast) with(l load, usual float64, length estimate.Length) forecast {
	for k := range f.all {
		held, goesOn := float64(l.held), 1.0
		if l.guess > 0 {
			further := ahead[k] * usual
			held += further
			goesOn = length.GoesOn(l.guess, l.made, further)
		}
		f.all[k] += held
		f.mean[k] += goesOn * held
		f.variance[k] += goesOn * (1 - goesOn) * held * held
	}
	return f
}

// plus returns the forecast of both together.
func (f forecast) plus(o *forecast) forecast {
	for k := range f.all {
		f.all[k] += o.all[k]
		f.mean[k] += o.mean[k]
		f.variance[k] += o.variance[k]
	}
	return f
}

// at is the memory to reckon with at one moment.
func (f *forecast) at(k int) float64 {
	return min(f.all[k], f.mean[k]+risk*math.Sqrt(f.variance[k]))
}

// peak is the most memory to reckon with from now on.
func (f *forecast) peak() float64 {
	highest := 0.0
	for k := range f.all {
		highest = max(highest, f.at(k))
	}
	return highest
}

// stepsUntilRoom is after how many steps a further request is expected to fit
// into a memory, or -1 if not within the forecast.
func (f *forecast) stepsUntilRoom(further *forecast, usual, memory float64) float64 {
	with := f.plus(further)
	// What its coming raises the peak above what is held then.
	over := with.peak() - f.mean[0]
	if f.mean[0]+over <= memory {
		return 0
	}
	for k := 1; k < horizons; k++ {
		if f.mean[k]+over > memory {
			continue
		}
		// Between two moments the memory is taken to fall evenly.
		before, after := f.mean[k-1], f.mean[k]
		part := (before + over - memory) / max(before-after, 1)
		return (ahead[k-1] + min(max(part, 0), 1)*(ahead[k]-ahead[k-1])) * usual
	}
	return -1
}

// cachedForecast is an engine's forecast and when it was made, in the group's
// time; 0 is a forecast that has to be made anew.
type cachedForecast struct {
	forecast
	at int64
}

// forecastAge is how long a forecast stands while nothing begins or ends on its
// engine: some tens of steps, in which a request grows by a hundredth.
const forecastAge = int64(20 * time.Millisecond)

// drop has the forecast made anew when it is next needed.
func (c *cachedForecast) drop() { c.at = 0 }

// stale says whether the forecast has to be made anew.
func (c *cachedForecast) stale(t int64) bool {
	return c.at == 0 || t-c.at > forecastAge
}
