// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"testing"
	"time"
)

func TestPollInterval(t *testing.T) {
	const poll = 2 * time.Second
	cases := map[string]struct {
		before         time.Duration
		known          int
		checks, listed bool
		want           time.Duration
	}{
		"the first interval of a small fleet":   {0, 7, false, true, poll},
		"a box that checks for all":             {8 * poll, 7, true, true, poll},
		"another one":                           {poll, 7, false, true, 2 * poll},
		"its longest interval":                  {maxPollFactor * poll, 7, false, true, maxPollFactor * poll},
		"the first interval of a fleet of 986":  {0, 986, false, true, 50 * poll},
		"one that is not listed yet":            {0, 986, false, false, poll},
		"one that is not listed for long":       {4 * poll, 986, false, false, 8 * poll},
		"one that is never listed":              {1000 * poll, 986, false, false, 50 * poll},
		"one that checks and is not listed yet": {0, 986, true, false, poll},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := pollInterval(poll, c.before, c.known, c.checks, c.listed); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}

// TestReadingsOfTheList checks that in the long run boxes that don't check the list add
// few reads to those that do: if all boxes read all entries, the cost would grow with the
// square of their number.
func TestReadingsOfTheList(t *testing.T) {
	const (
		poll = 2 * time.Second
		hour = time.Hour
	)
	for _, n := range []int{7, 22, 150, 986, 2000} {
		readings := func(checks bool) int {
			count, interval := 0, time.Duration(0)
			for at := time.Duration(0); at < hour; at += interval {
				count++
				interval = pollInterval(poll, interval, n, checks, true)
			}
			return count
		}
		by, others := readings(true), readings(false)
		t.Logf("%d boxes, an hour: %d by each that checks, %d by each other one", n, by, others)
		if others > by/8+maxPollFactor && others > 12 {
			t.Errorf("%d boxes: %d readings by a box that does not check, %d by one that does", n, others, by)
		}
	}
}
