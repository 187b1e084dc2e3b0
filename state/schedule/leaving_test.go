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

// TestEnginesThatToldABoxThatTheyLeave has one box tell that an engine leaves, or that it must
// not send there, and then another one ask.
func TestEnginesThatToldABoxThatTheyLeave(t *testing.T) {
	cases := map[string]struct {
		leaving, barred []string
		after           time.Duration
		// told and others are who get a grant: the box that told, and those that ask after it.
		told, others bool
	}{
		"none":                 {told: true, others: true},
		"all leave":            {leaving: []string{"e1", "e2"}},
		"one leaves":           {leaving: []string{"e1"}, told: true, others: true},
		"all left long ago":    {leaving: []string{"e1", "e2"}, after: leavingFor, others: true},
		"all are barred":       {barred: []string{"e1", "e2"}, others: true},
		"one is barred":        {barred: []string{"e1"}, told: true, others: true},
		"one of each":          {leaving: []string{"e1"}, barred: []string{"e1", "e2"}, others: true},
		"engines of elsewhere": {leaving: []string{"x1"}, barred: []string{"x1"}, told: true, others: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := New(config(1, 2), start)
			first, second := ask(1, 100), ask(2, 100)
			first.Barred, first.Leaving = slices.Concat(c.barred, c.leaving), c.leaving
			if got := granted(g.Ask(start, first), first); got != c.told {
				t.Errorf("the box that told is granted: %v, want %v", got, c.told)
			}
			if got := granted(g.Ask(start.Add(c.after), second), second); got != c.others {
				t.Errorf("another one is granted: %v, want %v", got, c.others)
			}
		})
	}
}

// granted says whether an ask is granted, and refuses to be left without a decision.
func granted(said []Decision, a Ask) bool {
	for _, d := range said {
		if Asked(d).ID == a.ID {
			_, ok := d.(Grant)
			return ok
		}
	}
	return false
}

// TestThoseThatWaitForLeavingEngines has engines leave while an ask waits for them.
func TestThoseThatWaitForLeavingEngines(t *testing.T) {
	cases := map[string]struct {
		leave, avoid []string
		// told says that a box tells of it, not the table.
		told    bool
		refused bool
	}{
		"all of them":              {leave: []string{"e1", "e2"}, refused: true},
		"one of them":              {leave: []string{"e1"}},
		"all that it may go to":    {leave: []string{"e1"}, avoid: []string{"e2"}, refused: true},
		"only those that prefill":  {leave: []string{"e0"}},
		"none of them, but others": {},
		"all, as a box tells":      {leave: []string{"e1", "e2"}, told: true, refused: true},
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
					g.Ask(start, ask(n, 100))
				}
				waiting := ask(3, 100)
				waiting.Avoid = c.avoid
				g.Ask(start, waiting)
				convey.So(g.Waiters(), convey.ShouldHaveLength, 1)
				var said []Decision
				if c.told {
					last := ask(4, 100)
					last.Leaving = c.leave
					said = append(g.Ask(start, last), g.Tick(start)...)
				} else {
					leave(&cfg, c.leave...)
					said = g.Configure(start, cfg)
				}
				refused := false
				for _, d := range said {
					r, ok := d.(Refuse)
					refused = refused || ok && r.Ask.ID == waiting.ID && r.Reason == lifecycle.ReasonNoEngine
				}
				convey.So(refused, convey.ShouldEqual, c.refused)
				convey.So(g.findWaiter(waiting.ID) == nil, convey.ShouldEqual, c.refused)
			})
		})
	}
}
