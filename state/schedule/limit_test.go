// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"testing"
	"time"

	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/pace"
)

// limitNotice returns what a box reports of an engine's limit.
func limitNotice(engine string, perSecond float64, age time.Duration) []EngineLimit {
	return []EngineLimit{{Engine: engine, Limit: pace.LimitOf(perSecond), Age: age}}
}

// limitedGroup returns a group of plain endpoints of which the first ones have a limit.
func limitedGroup(endpoints, limited int, perSecond float64, change func(c *Config)) *Group {
	c := config(0, endpoints)
	c.Plain, c.Targets.PerToken = true, time.Minute
	for i := range c.Engines {
		c.Engines[i].PrefillRate = 1e12
	}
	if change != nil {
		change(&c)
	}
	g := New(c, start)
	for i := range limited {
		g.UpdateLimits(start, limitNotice(c.Engines[i].Name, perSecond, 0))
	}
	return g
}

// grantedIn sends a request every 10 ms and counts the grants of each engine. Each request ends
// at once.
func grantedIn(g *Group, lasts time.Duration) map[string]int {
	out := make(map[string]int)
	n := 0
	for at := 10 * time.Millisecond; at <= lasts; at += 10 * time.Millisecond {
		n++
		now := start.Add(at)
		a := tinyAsk(n)
		a.Resume = false
		for _, gr := range grantsOf(append(g.Ask(now, a), g.Tick(now)...)) {
			out[gr.Plan.Decode]++
			g.Done(now, Report{ID: gr.Ask.ID, Finished: true})
		}
	}
	return out
}

func TestLimitedEngines(t *testing.T) {
	half := func(time.Time) float64 { return 0.5 }
	cases := map[string]struct {
		limited   int
		perSecond float64
		change    func(c *Config)
		// want is the maximum number of grants for each limited engine in 10 s.
		want int
	}{
		"one of several":                  {limited: 1, perSecond: 2, want: 20},
		"all":                             {limited: 3, perSecond: 4, want: 40},
		"less than one a second":          {limited: 3, perSecond: 0.5, want: 5},
		"zero, except one probe":          {limited: 1, perSecond: 0, want: 1},
		"home with half of the limit":     {limited: 3, perSecond: 4, change: func(c *Config) { c.LimitShare = half }, want: 20},
		"shared with another service":     {limited: 3, perSecond: 4, change: func(c *Config) { c.Engines[0].SharedBy = 2; c.Engines[1].SharedBy = 2; c.Engines[2].SharedBy = 2 }, want: 20},
		"round robin":                     {limited: 1, perSecond: 2, change: func(c *Config) { c.Policy.Name = PolicyRoundRobin }, want: 20},
		"limit above the request rate":    {limited: 3, perSecond: 1000, want: 1000},
		"cold engines with a lower limit": {limited: 3, perSecond: 4, change: makeAllCold, want: 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := limitedGroup(3, c.limited, c.perSecond, c.change)
			got := grantedIn(g, 10*time.Second)
			for i := range c.limited {
				id := g.engines[i].spec.Name
				if got[id] > c.want || c.want <= 100 && got[id] < c.want*8/10 {
					t.Errorf("%s was granted %d requests, want %d", id, got[id], c.want)
				}
			}
			if c.limited < 3 && got["e2"] == 0 {
				t.Error("an engine without a limit got no requests")
			}
		})
	}
}

// makeAllCold makes all engines cold, with a limit of one request per pace.Span.
func makeAllCold(c *Config) {
	c.ColdLimit = func(time.Time) int { return 1 }
	for i := range c.Engines {
		c.Engines[i].ColdUntil = start.Add(time.Minute)
	}
}

func TestNewestWordOnALimit(t *testing.T) {
	const second = time.Second
	type notice struct {
		at, age   time.Duration
		perSecond float64
	}
	cases := map[string]struct {
		notices []notice
		want    pace.Limit
	}{
		"newer limit":               {notices: []notice{{at: second, perSecond: 2}, {at: 2 * second, perSecond: 3}}, want: pace.LimitOf(3)},
		"older limit":               {notices: []notice{{at: second, perSecond: 2}, {at: 2 * second, age: 1500 * time.Millisecond, perSecond: 3}}, want: pace.LimitOf(2)},
		"limit removed":             {notices: []notice{{at: second, perSecond: 2}, {at: 2 * second, perSecond: -1}}, want: pace.Limit{}},
		"older limit after removal": {notices: []notice{{at: second, perSecond: 2}, {at: 2 * second, perSecond: -1}, {at: 3 * second, age: 2 * second, perSecond: 2}}, want: pace.Limit{}},
		"newer limit after removal": {notices: []notice{{at: second, perSecond: -1}, {at: 3 * second, age: second, perSecond: 2}}, want: pace.LimitOf(2)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := limitedGroup(1, 0, 0, nil)
			for _, n := range c.notices {
				g.UpdateLimits(start.Add(n.at), limitNotice("e0", n.perSecond, n.age))
			}
			if got := g.engines[0].limit.Limit; got != c.want {
				t.Errorf("limit %+v, want %+v", got, c.want)
			}
			changes := g.UpdateLimits(start.Add(time.Hour), limitNotice("e0", 7, 0))
			if len(changes) != 1 || changes[0].Before != c.want || changes[0].After != pace.LimitOf(7) {
				t.Errorf("changes %+v", changes)
			}
		})
	}
}

func TestLimitRefusal(t *testing.T) {
	// The next request may be sent only after the target: the ask is refused at once, with the
	// time to retry.
	g := limitedGroup(1, 1, 0.5, nil)
	at := start.Add(2 * time.Second)
	if got := grantsOf(g.Ask(at, newAsk(1, 1))); len(got) != 1 || !got[0].PacedDecode || len(got[0].Limits) != 1 {
		t.Fatalf("first ask: got %+v, want one paced grant with a limit", got)
	}
	decisions := g.Ask(at.Add(500*time.Millisecond), newAsk(2, 1))
	r, refused := decisions[0].(Refusal)
	if !refused || r.Reason != lifecycle.ReasonTargetUnreachable || r.Inputs.Paced != 1 || r.RetryAfter < 1500*time.Millisecond {
		t.Errorf("second ask: got %+v, want a refusal", decisions)
	}
}

func TestGrantsCarryNewerLimits(t *testing.T) {
	cases := map[string]struct {
		// known is the limit in the ask of an engine that it does not use.
		known []EngineLimit
		want  []EngineLimit
	}{
		"no limit in the ask": {},
		"older limit":         {known: limitNotice("e1", 9, 2*time.Second), want: []EngineLimit{{Engine: "e1", Age: time.Second}}},
		"same as known":       {known: []EngineLimit{{Engine: "e1", Age: 2 * time.Second}}},
		"unknown engine":      {known: limitNotice("e7", 9, 0)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := limitedGroup(2, 0, 0, nil)
			g.UpdateLimits(start, limitNotice("e1", 3, 0))
			g.UpdateLimits(start.Add(time.Second), limitNotice("e1", -1, 0))
			a := newAsk(1, 1)
			a.Avoid, a.Limits = []string{"e1"}, c.known
			now := start.Add(2 * time.Second)
			g.UpdateLimits(now, a.Limits)
			got := grantsOf(g.Ask(now, a))
			if len(got) != 1 || len(got[0].Limits) != len(c.want) {
				t.Fatalf("got %+v, want %+v", got, c.want)
			}
			for i := range c.want {
				if got[0].Limits[i] != c.want[i] {
					t.Errorf("limit %+v, want %+v", got[0].Limits[i], c.want[i])
				}
			}
		})
	}
}
