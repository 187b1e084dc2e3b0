// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"runridge.example/runridge/state/estimate"
	"runridge.example/runridge/state/lifecycle"
)

// drawOutputLengths draws the output length of each request for one simulation, repeating the
// draw until it exceeds what the request has generated.
func drawOutputLengths(random *rand.Rand, loads []requestMemory, spread float64) []float64 {
	out := make([]float64, len(loads))
	for i, l := range loads {
		for out[i] <= float64(l.generated) {
			out[i] = float64(l.expectedOutput) * math.Exp(spread*random.NormFloat64())
		}
	}
	return out
}

// simulatedMemory returns the memory of the requests after some steps, given their output
// lengths.
func simulatedMemory(loads []requestMemory, lengths []float64, steps float64) float64 {
	held := 0.0
	for i, l := range loads {
		if lengths[i] > float64(l.generated)+steps {
			held += float64(l.heldTokens) + steps
		}
	}
	return held
}

func drawMemory(t *rapid.T, most int) []requestMemory {
	var out []requestMemory
	for range rapid.IntRange(1, most).Draw(t, "loads") {
		guess := rapid.IntRange(50, 2000).Draw(t, "guess")
		made := rapid.IntRange(0, guess*3/2).Draw(t, "made")
		out = append(out, requestMemory{heldTokens: rapid.IntRange(100, 6000).Draw(t, "prompt") + made, expectedOutput: guess, generated: made})
	}
	return out
}

// simulations is the number of simulations per set of requests; the tolerances below are
// several standard errors wide.
const simulations = 2000

func TestOracleForecast(t *testing.T) {
	const usual, spread = 700.0, 0.5 // the zero value of estimate.Length has this spread
	rapid.Check(t, func(t *rapid.T) {
		loads := drawMemory(t, 8)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var f forecast
		largest := 0.0
		for _, l := range loads {
			f = f.with(l, usual, estimate.Length{})
			largest += float64(l.heldTokens) + usual
		}
		sums, squares := [forecastPoints]float64{}, [forecastPoints]float64{}
		for range simulations {
			lengths := drawOutputLengths(random, loads, spread)
			for k := range forecastFractions {
				held := simulatedMemory(loads, lengths, forecastFractions[k]*usual)
				sums[k] += held
				squares[k] += held * held
			}
		}
		for k := range forecastFractions {
			mean := sums[k] / simulations
			deviation := math.Sqrt(max(squares[k]/simulations-mean*mean, 0))
			if math.Abs(mean-f.mean[k]) > 0.05*largest {
				t.Fatalf("point %d: mean %.0f, simulated %.0f", k, f.mean[k], mean)
			}
			if math.Abs(deviation-math.Sqrt(f.variance[k])) > 0.05*largest {
				t.Fatalf("point %d: deviation %.0f, simulated %.0f", k, math.Sqrt(f.variance[k]), deviation)
			}
		}
	})
}

func TestOracleRisk(t *testing.T) {
	// An engine filled up to the forecast's peak rarely overflows. The simulations check the
	// memory at many steps, not only at the points of the forecast.
	const spread, maxOverflowShare = 0.5, 0.12
	cases := map[string]struct {
		memory, prompt, guess int
	}{
		"short answers to long prompts": {memory: 41_000, prompt: 3200, guess: 640},
		"answers as long as prompts":    {memory: 89_000, prompt: 5200, guess: 4400},
		"long answers":                  {memory: 60_000, prompt: 1000, guess: 4000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(5, 5))
			overflows, fills, sets := 0, 0.0, 300
			for range sets {
				usual := estimate.Length{}.Expected(c.guess)
				var f forecast
				var loads []requestMemory
				for {
					made := int(random.Float64() * float64(c.guess))
					l := requestMemory{heldTokens: c.prompt + made, expectedOutput: c.guess, generated: made}
					with := f.with(l, usual, estimate.Length{})
					if with.peak() > float64(c.memory) {
						break
					}
					f = with
					loads = append(loads, l)
				}
				fills += f.mean[0] / float64(c.memory)
				lengths := drawOutputLengths(random, loads, spread)
				for steps := 0.0; steps <= usual; steps += usual / 100 {
					if simulatedMemory(loads, lengths, steps) > float64(c.memory) {
						overflows++
						break
					}
				}
			}
			t.Logf("%d of %d sets overflowed, filled to %.2f on average", overflows, sets, fills/float64(sets))
			if float64(overflows) > maxOverflowShare*float64(sets) {
				t.Errorf("%d of %d sets overflowed", overflows, sets)
			}
			if fills/float64(sets) < 0.6 {
				t.Errorf("filled to only %.2f on average", fills/float64(sets))
			}
		})
	}
}

func TestStepsUntilRoom(t *testing.T) {
	usual := estimate.Length{}.Expected(640)
	full := func(requests int) forecast {
		var f forecast
		for i := range requests {
			f = f.with(requestMemory{heldTokens: 3200 + 60*i, expectedOutput: 640, generated: 60 * i}, usual, estimate.Length{})
		}
		return f
	}
	further := forecast{}.with(requestMemory{heldTokens: 3200, expectedOutput: 640}, usual, estimate.Length{})
	cases := map[string]struct {
		requests int
		now      bool
		never    bool
	}{
		"empty engine":       {requests: 0, now: true},
		"full engine":        {requests: 11},
		"far more than fits": {requests: 60, never: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := full(c.requests)
			steps := f.stepsUntilFits(&further, usual, 41_000)
			switch {
			case c.now && steps != 0, c.never && steps >= 0, !c.now && !c.never && (steps <= 0 || steps > usual):
				t.Errorf("got %.0f steps until the request fits", steps)
			}
		})
	}
}

func TestWaitBeyondTheForecast(t *testing.T) {
	convey.Convey("A request does not wait if no engine has room within the forecast", t, func() {
		g := growingGroup(1, 10_000)
		// An earlier home granted far more than fits.
		for n := range uint64(30) {
			g.Adopt(start, Adopted{
				Ask:       newAskOfSize(n, 2000, 1000),
				Plan:      lifecycle.Plan{Mode: lifecycle.Move, Prefill: "p", Decode: "a"},
				Prefilled: true,
			})
		}
		decisions := g.Ask(start, newAskOfSize(100, 1000, 1000))
		convey.So(decisions, convey.ShouldHaveLength, 1)
		refusal, refused := decisions[0].(Refusal)
		convey.So(refused, convey.ShouldBeTrue)
		convey.So(refusal.Inputs.Wait, convey.ShouldBeGreaterThan, 500*time.Millisecond)
	})
}
