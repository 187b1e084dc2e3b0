// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package stages_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"runridge.example/runridge/state/stages"
)

// engines returns prefill and decode engines; every third one is faster.
func engines(prefills, decodes int) []stages.Engine {
	var out []stages.Engine
	for i := range prefills + decodes {
		e := stages.Engine{Name: fmt.Sprintf("e%02d", i), Prefill: i < prefills, Ready: true, TokenNS: 30_000}
		if i%3 == 2 {
			e.TokenNS = 23_000
		}
		out = append(out, e)
	}
	return out
}

func TestPlan(t *testing.T) {
	seen := func(mean float64) stages.Load { return stages.Load{Seen: 10 * time.Second, Mean: mean, Peak: 2 * mean} }
	balanced := func(mean float64, promptMS, answerMS int) stages.Load {
		l := seen(mean)
		l.Prompt, l.Answer = time.Duration(promptMS)*time.Millisecond, time.Duration(answerMS)*time.Millisecond
		return l
	}
	cases := map[string]struct {
		engines []stages.Engine
		load    stages.Load
		part    float64
		// change is applied to the engines first.
		change    func([]stages.Engine)
		toDecode  []string
		toPrefill []string
	}{
		"observed too briefly":         {engines: engines(5, 8), load: stages.Load{Seen: time.Second, Mean: 0.1}},
		"answers are not known yet":    {engines: engines(5, 8), load: stages.Load{Seen: 9 * time.Second, Mean: 1.2}},
		"three of five are enough":     {engines: engines(5, 8), load: seen(1.2), toDecode: []string{"e00", "e01"}},
		"two stay though one would do": {engines: engines(5, 8), load: seen(0.4), toDecode: []string{"e00", "e01", "e03"}},
		"one stays in a small group":   {engines: engines(2, 3), load: seen(0.4), toDecode: []string{"e00"}},
		"all are needed":               {engines: engines(5, 8), load: seen(2.0)},
		"more would help, not needed":  {engines: engines(3, 10), load: seen(2.5)},
		"decode engines read the rest": {engines: engines(3, 10), load: seen(2.8)},
		"one more is needed":           {engines: engines(3, 10), load: seen(4.0), toPrefill: []string{"e05"}},
		"memory is short":              {engines: engines(3, 10), load: stages.Load{Seen: 10 * time.Second, Mean: 4, Fill: 0.7}},
		"hardly any work":              {engines: engines(5, 8), load: seen(0.1)},
		"one at a time": {engines: engines(3, 10), load: seen(4.0), change: func(e []stages.Engine) {
			e[4].Prefill, e[4].Changing, e[4].Ready = true, true, false
		}},
		"one that is not ready stays": {engines: engines(5, 8), load: seen(1.2), toDecode: []string{"e01", "e03"}, change: func(e []stages.Engine) {
			e[0].Ready = false
		}},
		"balanced, too many prefill":                         {engines: engines(11, 19), load: balanced(3.4, 120, 500), toDecode: []string{"e00", "e01", "e03"}},
		"balanced, few are missing":                          {engines: engines(7, 23), load: balanced(3.4, 120, 500)},
		"balanced, more would serve more but are not needed": {engines: engines(3, 27), load: balanced(1.5, 120, 500)},
		"balanced, more are needed":                          {engines: engines(3, 27), load: balanced(4.5, 120, 500), toPrefill: []string{"e05"}},
		"balanced, short answers":                            {engines: engines(5, 8), load: balanced(2, 120, 10)},
		"a fixed part":                                       {engines: engines(5, 8), load: seen(2.0), part: 0.25, toDecode: []string{"e00", "e01"}},
		"a fixed part that lacks engines":                    {engines: engines(2, 11), load: seen(0.4), part: 0.25, toPrefill: []string{"e02"}},
		"never all":                                          {engines: engines(1, 1), load: seen(9)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				if c.change != nil {
					c.change(c.engines)
				}
				p := stages.Make(c.engines, c.load, stages.Config{Part: c.part})
				convey.So(p.ToDecode, convey.ShouldResemble, c.toDecode)
				convey.So(p.ToPrefill, convey.ShouldResemble, c.toPrefill)
			})
		})
	}
}

// TestPlanIsStable checks that, under any steady load, the plan changes engines once and then
// no more.
func TestPlanIsStable(t *testing.T) {
	for work := 0.05; work < 8; work += 0.05 {
		e := engines(5, 8)
		changes := 0
		for range 30 {
			p := stages.Make(e, stages.Load{Seen: 10 * time.Second, Mean: work}, stages.Config{})
			for i := range e {
				for _, name := range append(p.ToDecode, p.ToPrefill...) {
					if e[i].Name == name {
						e[i].Prefill = !e[i].Prefill
						changes++
					}
				}
			}
		}
		if changes > 8 {
			t.Errorf("with work for %.2f engines %d changes", work, changes)
		}
	}
}

// TestBalancedPlanServesTheMost checks that no other split of the engines serves more than the
// planned one by more than the minimum gain of a change, and that small variations of the
// observed times do not make the plan change back and forth.
func TestBalancedPlanServesTheMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.IntRange(8, 40).Draw(t, "engines")
		prompt := rapid.IntRange(20, 400).Draw(t, "prompt, ms")
		answer := rapid.IntRange(20, 2000).Draw(t, "answer, ms")
		load := stages.Load{Seen: 10 * time.Second, Mean: float64(all), Peak: float64(all)}
		load.Prompt, load.Answer = time.Duration(prompt)*time.Millisecond, time.Duration(answer)*time.Millisecond
		served := func(prefills int) float64 {
			return min(0.7*float64(prefills)/load.Prompt.Seconds(), float64(all-prefills)/load.Answer.Seconds())
		}
		e := engines(all-1, 1)
		p := stages.Make(e, load, stages.Config{})
		for other := 2; other < all; other++ {
			if served(other) > served(p.Wanted)*1.0501 {
				t.Fatalf("%d of %d engines serve %.1f a second, %d serve %.1f", p.Wanted, all, served(p.Wanted), other, served(other))
			}
		}
		// Small variations in both directions change the plan once at most, and not back.
		steady, now := load.Prompt, p.Wanted
		for _, moved := range []time.Duration{steady + steady/50, steady - steady/50} {
			load.Prompt = moved
			once := stages.Make(engines(now, all-now), load, stages.Config{}).Wanted
			load.Prompt = steady
			if again := stages.Make(engines(once, all-once), load, stages.Config{}).Wanted; again != once {
				t.Fatalf("%s for a prompt, then %s again: %d prefill, then %d, then %d", moved, steady, now, once, again)
			}
			now = once
		}
	})
}

func TestWork(t *testing.T) {
	convey.Convey("The load covers whole seconds and expires after a while", t, func() {
		var w stages.Work
		convey.So(w.Load(time.Second), convey.ShouldResemble, stages.Load{})
		at := func(tenths int) time.Duration { return time.Duration(tenths) * 100 * time.Millisecond }
		for i := range 100 {
			work := 0.1
			if i >= 50 && i < 80 {
				work = 0.3
			}
			w.Add(at(i), work)
		}
		got := w.Load(at(100))
		convey.So(got.Seen, convey.ShouldEqual, 10*time.Second)
		convey.So(got.Mean, convey.ShouldAlmostEqual, 1.6, 0.05)
		convey.So(got.Peak, convey.ShouldAlmostEqual, 3, 0.01)
		later := w.Load(at(500))
		convey.So(later.Mean, convey.ShouldEqual, 0)
		convey.So(later.Seen, convey.ShouldEqual, 50*time.Second)
	})
}
