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
		named     []time.Duration
		remaining time.Duration
		want      time.Duration
	}{
		"nothing known":                             {remaining: 9 * time.Second},
		"a time named once is not usual":            {named: []time.Duration{whole}, remaining: 9 * time.Second},
		"a first attempt":                           {named: []time.Duration{whole, whole}, remaining: whole},
		"a retry":                                   {named: []time.Duration{whole, whole}, remaining: 9500 * time.Millisecond, want: 4500 * time.Millisecond},
		"a first attempt with a shorter time":       {named: []time.Duration{whole, short, whole, short}, remaining: short},
		"a first attempt with the time named first": {named: []time.Duration{short, whole, short, whole}, remaining: short},
		"a retry of either time":                    {named: []time.Duration{whole, short, whole, short}, remaining: 5 * time.Second, want: time.Second},
		"more than any usual time":                  {named: []time.Duration{whole, whole}, remaining: 20 * time.Second},
		"a retry of the longer time":                {named: []time.Duration{whole, short, whole, short}, remaining: 8 * time.Second, want: 6 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var p Patience
			for _, wait := range c.named {
				p = p.With(wait)
			}
			if got := p.Age(c.remaining); got != c.want {
				t.Errorf("age: %v, want %v", got, c.want)
			}
		})
	}
}

func TestPatienceDecays(t *testing.T) {
	p := Patience{}
	const before, now = 14 * time.Second, 10 * time.Second
	for range 100 {
		p = p.With(before)
	}
	for i := range 10 * patienceMemory {
		// The remaining times of retries never fill the memory.
		p = p.With(now).With(time.Duration(i) * time.Millisecond)
	}
	if got := p.Age(now); got != 0 {
		t.Errorf("age of a first attempt: %v, want 0", got)
	}
	if got := p.Age(9 * time.Second); got != time.Second {
		t.Errorf("age of a retry: %v, want 1s", got)
	}
}
