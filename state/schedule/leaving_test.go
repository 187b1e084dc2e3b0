// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/state/lifecycle"
)

// TestEnginesThatToldABoxThatTheyLeave has one box report that an engine is leaving, or that it
// must not send to it, before another box asks.
func TestEnginesThatToldABoxThatTheyLeave(t *testing.T) {
	cases := map[string]struct {
		leaving, barred []string
		after           time.Duration
		// reporter and others are true if the reporting box, or a box that asks after it, gets
		// a grant.
		reporter, others bool
	}{
		"none":                        {reporter: true, others: true},
		"all leave":                   {leaving: []string{"e1", "e2"}},
		"one leaves":                  {leaving: []string{"e1"}, reporter: true, others: true},
		"report has expired":          {leaving: []string{"e1", "e2"}, after: leavingFor, others: true},
		"all are barred":              {barred: []string{"e1", "e2"}, others: true},
		"one is barred":               {barred: []string{"e1"}, reporter: true, others: true},
		"one leaves, both are barred": {leaving: []string{"e1"}, barred: []string{"e1", "e2"}, others: true},
		"engines of another group":    {leaving: []string{"x1"}, barred: []string{"x1"}, reporter: true, others: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := New(config(1, 2), start)
			first, second := newAsk(1, 100), newAsk(2, 100)
			first.Excluded, first.Leaving = slices.Concat(c.barred, c.leaving), c.leaving
			if got := granted(g.Ask(start, first), first); got != c.reporter {
				t.Errorf("reporting box is granted: %v, want %v", got, c.reporter)
			}
			if got := granted(g.Ask(start.Add(c.after), second), second); got != c.others {
				t.Errorf("another box is granted: %v, want %v", got, c.others)
			}
		})
	}
}

// granted reports whether an ask is granted; false also if there is no decision for it.
func granted(decisions []Decision, a Ask) bool {
	for _, d := range decisions {
		if Asked(d).ID == a.ID {
			_, ok := d.(Grant)
			return ok
		}
	}
	return false
}

// TestWaitersOfLeavingEngines has engines leave while a request waits for them.
func TestWaitersOfLeavingEngines(t *testing.T) {
	cases := map[string]struct {
		leave, avoid []string
		// byBox is true if a box reports that the engines leave, and false if the table does.
		byBox   bool
		refused bool
	}{
		"all":                      {leave: []string{"e1", "e2"}, refused: true},
		"one of two":               {leave: []string{"e1"}},
		"the only one not avoided": {leave: []string{"e1"}, avoid: []string{"e2"}, refused: true},
		"prefill engine only":      {leave: []string{"e0"}},
		"none":                     {},
		"all, reported by a box":   {leave: []string{"e1", "e2"}, byBox: true, refused: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				cfg := config(1, 2)
				cfg.Policy.NoEarlyRefusal = true
				for i := range cfg.Engines {
					cfg.Engines[i].Slots = 1
				}
				g := New(cfg, start)
				for n := 1; n <= 2; n++ {
					g.Ask(start, newAsk(n, 100))
				}
				waiting := newAsk(3, 100)
				waiting.Avoid = c.avoid
				g.Ask(start, waiting)
				convey.So(g.Waiters(), convey.ShouldHaveLength, 1)
				var decisions []Decision
				if c.byBox {
					last := newAsk(4, 100)
					last.Leaving = c.leave
					decisions = append(g.Ask(start, last), g.Tick(start)...)
				} else {
					leave(&cfg, c.leave...)
					decisions = g.Configure(start, cfg)
				}
				refused := false
				for _, d := range decisions {
					r, ok := d.(Refusal)
					refused = refused || ok && r.Ask.ID == waiting.ID && r.Reason == lifecycle.ReasonNoEngine
				}
				convey.So(refused, convey.ShouldEqual, c.refused)
				convey.So(g.findWaiter(waiting.ID) == nil, convey.ShouldEqual, c.refused)
			})
		})
	}
}
