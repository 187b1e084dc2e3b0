// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package estimate

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestLength(t *testing.T) {
	cases := map[string]struct {
		mean, spread float64
	}{
		"guesses that are right in the median": {mean: 0, spread: 0.5},
		"guesses that are too short":           {mean: 0.7, spread: 0.4},
		"guesses that are far off, either way": {mean: 0, spread: 1},
		"guesses of the maximum allowed":       {mean: -1, spread: 0.6},
		"guesses that are precise":             {mean: 0, spread: 0.15},
	}
	convey.Convey("The distribution of lengths is learned from answers", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				random := rand.New(rand.NewPCG(1, 2))
				var l Length
				longer, count := 0, 4000
				for range count {
					tokens := 600 * math.Exp(c.mean+c.spread*random.NormFloat64())
					l = l.With(600, int(tokens))
				}
				for range count {
					if 600*math.Exp(c.mean+c.spread*random.NormFloat64()) > 700 {
						longer++
					}
				}
				simulated := float64(longer) / float64(count)
				convey.So(l.ContinueProbability(600, 0, 700), convey.ShouldAlmostEqual, simulated, 0.08)
				want := 600 * math.Exp(c.mean+c.spread*c.spread/2)
				convey.So(l.Expected(600), convey.ShouldAlmostEqual, want, 0.2*want)
			})
		}
	})
	convey.Convey("The probability that an answer goes on falls with the further length, whatever its current length", t, func() {
		var l Length
		for _, tokens := range []int{0, 100, 600, 5000, 1_000_000} {
			last := 1.0
			for _, further := range []float64{0, 1, 50, 600, 5000} {
				chance := l.ContinueProbability(600, tokens, further)
				convey.So(chance, convey.ShouldBeBetweenOrEqual, 0, last)
				last = chance
			}
		}
	})
	convey.Convey("Invalid observations are ignored", t, func() {
		convey.So(Length{}.With(0, 100), convey.ShouldResemble, Length{})
		convey.So(Length{}.With(100, 0), convey.ShouldResemble, Length{})
	})
}
