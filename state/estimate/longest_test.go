// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package estimate

import (
	"testing"
	"time"
)

func TestLongest(t *testing.T) {
	type seen struct{ at, duration time.Duration }
	cases := map[string]struct {
		seen []seen
		want time.Duration
	}{
		"nothing seen":                   {},
		"the largest stands":             {seen: []seen{{0, 14 * time.Second}, {time.Second, 9 * time.Second}}, want: 14 * time.Second},
		"over the end of a window":       {seen: []seen{{0, 14 * time.Second}, {longestWindow, 9 * time.Second}}, want: 14 * time.Second},
		"forgotten after two windows":    {seen: []seen{{0, 14 * time.Second}, {longestWindow, 9 * time.Second}, {2 * longestWindow, 8 * time.Second}}, want: 9 * time.Second},
		"forgotten after a long silence": {seen: []seen{{0, 14 * time.Second}, {3 * longestWindow, 8 * time.Second}}, want: 8 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var l Longest
			for _, s := range c.seen {
				l = l.With(s.at, s.duration)
			}
			if got := l.Value(); got != c.want {
				t.Errorf("longest: %v, want %v", got, c.want)
			}
		})
	}
}
