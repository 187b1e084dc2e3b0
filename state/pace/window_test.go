// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pace

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func ExampleWindow() {
	var w Window
	w = w.WithSent(0).WithSent(100 * time.Millisecond)
	w = w.WithOpen(200 * time.Millisecond)
	fmt.Println(w.Count(300*time.Millisecond), w.Count(Span))
	w = w.WithDone(200*time.Millisecond, 700*time.Millisecond)
	fmt.Println(w.Count(700*time.Millisecond+Span-1), w.Count(700*time.Millisecond+Span))
	// Output:
	// 3 2
	// 1 0
}

func TestFree(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		w     Window
		now   time.Duration
		limit int
		want  []time.Duration
	}{
		"all are free":                    {limit: 2, want: []time.Duration{0, 0}},
		"one is taken":                    {w: Window{}.WithSent(10 * ms), now: 20 * ms, limit: 2, want: []time.Duration{20 * ms, 10*ms + Span}},
		"one has expired":                 {w: Window{}.WithSent(10 * ms), now: 10*ms + Span, limit: 1, want: []time.Duration{10*ms + Span}},
		"an open one is assumed sent now": {w: Window{}.WithOpen(10 * ms), now: 20 * ms, limit: 1, want: []time.Duration{20*ms + Span}},
		"more are taken than the limit":   {w: Window{}.WithSent(10 * ms).WithSent(20 * ms), now: 30 * ms, limit: 1, want: []time.Duration{20*ms + Span}},
		"nothing may be granted":          {w: Window{}.WithSent(10 * ms), now: 20 * ms},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.w.FreeAt(c.now, c.limit); !slices.Equal(got, c.want) {
				t.Errorf("free at %v, want %v", got, c.want)
			}
		})
	}
}

func TestLimit(t *testing.T) {
	bound := Bound{Overage: 1.5, Slack: 5}
	old := Standing{Home: true, For: time.Minute, Seen: 58, All: 58}
	with := func(change func(s *Standing)) Standing {
		s := old
		change(&s)
		return s
	}
	cases := map[string]struct {
		bound Bound
		pace  float64
		s     Standing
		want  int
	}{
		"the only home":               {bound: bound, pace: 1, s: old, want: 5},
		"a faster endpoint":           {bound: bound, pace: 15, s: old, want: 22},
		"a new home that is quiet":    {bound: bound, pace: 1, s: with(func(s *Standing) { s.For = quietTime - 1 })},
		"a new home that may grant":   {bound: bound, pace: 1, s: with(func(s *Standing) { s.For = quietTime }), want: 1},
		"a home that has not settled": {bound: bound, pace: 1, s: with(func(s *Standing) { s.For = settleTime - 1 }), want: 1},
		"a box in place of the home":  {bound: bound, pace: 1, s: with(func(s *Standing) { s.Home = false })},
		"a home that sees a third":    {bound: bound, pace: 1, s: with(func(s *Standing) { s.Seen = 20 }), want: 1},
		"a home that is alone":        {bound: bound, pace: 1, s: with(func(s *Standing) { s.Seen = 1 })},
		"a home without known boxes":  {bound: bound, pace: 1, s: with(func(s *Standing) { s.Seen, s.All = 0, 0 })},
		"an endpoint without a pace":  {bound: bound, s: old, want: Unbounded},
		"settings that bound nothing": {pace: 1, s: old, want: Unbounded},
		"whole numbers stay whole":    {bound: Bound{Slack: 10}, pace: 1, s: old, want: 8},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.bound.Limit(c.pace, c.s); got != c.want {
				t.Errorf("limit %d, want %d", got, c.want)
			}
		})
	}
}
