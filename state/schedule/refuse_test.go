// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"testing"
	"time"

	"runridge.example/runridge/state/lifecycle"
)

// TestNoneIsRefusedThatCanStart has the only prefill engine busy for longer than a request can
// wait, while decode engines may be idle and could prefill.
func TestNoneIsRefusedThatCanStart(t *testing.T) {
	cases := map[string]struct {
		held         int
		spill, leave bool
		want         string
	}{
		"idle decode engines":    {want: "recompute"},
		"spilled request":        {spill: true, want: "recompute"},
		"no free decode slot":    {held: 8, want: string(lifecycle.ReasonTargetUnreachable)},
		"leaving decode engines": {leave: true, want: string(lifecycle.ReasonNoEngine)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			cfg := config(1, 2)
			if c.leave {
				leave(&cfg, "e1", "e2")
			}
			g := New(cfg, start)
			g.view.Engines[0].FreeAt = int64(2 * time.Second)
			for i := range g.view.Engines {
				g.view.Engines[i].Held = c.held
			}
			a := newAsk(1, 2000)
			a.Spill = c.spill
			if got := describe(g.Ask(start, a)[0]); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// TestRetryTimesStayWithinReason refuses many callers of unknown patience who do not come back
// when they are told to.
func TestRetryTimesStayWithinReason(t *testing.T) {
	g := limitedGroup(1, 1, 0.5, nil)
	longest := time.Duration(0)
	for n := range 1000 {
		for _, d := range g.Ask(start.Add(time.Millisecond), newAsk(n, 1)) {
			if r, refused := d.(Refusal); refused {
				longest = max(longest, r.RetryAfter)
			}
		}
	}
	if longest == 0 || longest > unknownPatience {
		t.Errorf("longest Retry-After time is %v, want at most %v", longest, unknownPatience)
	}
}
