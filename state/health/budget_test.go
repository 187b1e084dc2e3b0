// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package health

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// spend returns the number of retries that a budget allows at once.
func spend(b Budget) int {
	n := 0
	for range 10_000 {
		next, ok := b.WithRetry()
		if !ok {
			return n
		}
		b, n = next, n+1
	}
	return n
}

func TestBudget(t *testing.T) {
	cases := map[string]struct {
		requests, spent, want int
	}{
		"the reserve":                {0, 0, budgetMax},
		"the reserve is the maximum": {100_000, 0, budgetMax},
		"nothing remaining":          {0, budgetMax, 0},
		"a tenth of the requests":    {100, budgetMax, 9},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				b := NewBudget()
				for range c.spent {
					b, _ = b.WithRetry()
				}
				for range c.requests {
					b = b.WithRequest()
				}
				convey.So(spend(b), convey.ShouldBeBetweenOrEqual, c.want, c.want+1)
			})
		})
	}
}
