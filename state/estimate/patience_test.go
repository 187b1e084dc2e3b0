// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package estimate

import (
	"testing"
	"time"
)

func TestPatience(t *testing.T) {
	const whole, short = 14 * time.Second, 6 * time.Second
	cases := map[string]struct {
		named []time.Duration
		left  time.Duration
		want  time.Duration
	}{
		"nothing known":                            {left: 9 * time.Second},
		"a time named once is not usual":           {named: []time.Duration{whole}, left: 9 * time.Second},
		"one who starts":                           {named: []time.Duration{whole, whole}, left: whole},
		"one who comes back":                       {named: []time.Duration{whole, whole}, left: 9500 * time.Millisecond, want: 4500 * time.Millisecond},
		"one who starts with a shorter time":       {named: []time.Duration{whole, short, whole, short}, left: short},
		"one who starts with the time named first": {named: []time.Duration{short, whole, short, whole}, left: short},
		"one who may have started with either":     {named: []time.Duration{whole, short, whole, short}, left: 5 * time.Second, want: time.Second},
		"one who has longer than all":              {named: []time.Duration{whole, whole}, left: 20 * time.Second},
		"one who may only have the longer time":    {named: []time.Duration{whole, short, whole, short}, left: 8 * time.Second, want: 6 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var p Patience
			for _, wait := range c.named {
				p = p.With(wait)
			}
			if got := p.Age(c.left); got != c.want {
				t.Errorf("age: %v, want %v", got, c.want)
			}
		})
	}
}

func TestPatienceFades(t *testing.T) {
	p := Patience{}
	const before, now = 14 * time.Second, 10 * time.Second
	for range 100 {
		p = p.With(before)
	}
	for i := range 10 * patienceMemory {
		// What is left to callers who come back never fills the memory.
		p = p.With(now).With(time.Duration(i) * time.Millisecond)
	}
	if got := p.Age(now); got != 0 {
		t.Errorf("a caller who starts counts as %v old", got)
	}
	if got := p.Age(9 * time.Second); got != time.Second {
		t.Errorf("a caller who comes back counts as %v old, want 1s", got)
	}
}
