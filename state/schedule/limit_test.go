// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"testing"
	"time"

	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/pace"
)

// limitNotice is what a box tells of an engine's limit.
func limitNotice(engine string, perSecond float64, age time.Duration) []EngineLimit {
	return []EngineLimit{{Engine: engine, Limit: pace.LimitOf(perSecond), Age: age}}
}

// limitedGroup is a group of plain endpoints of which the first name a limit.
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
		g.NameLimits(start, limitNotice(c.Engines[i].Name, perSecond, 0))
	}
	return g
}

// grantedIn asks every 10 ms for a time, and counts the grants of each engine. Each is over
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
		// want is the most of each limited engine in 10 s.
		want int
	}{
		"one of several":                 {limited: 1, perSecond: 2, want: 20},
		"all":                            {limited: 3, perSecond: 4, want: 40},
		"less than one a second":         {limited: 3, perSecond: 0.5, want: 5},
		"none at all, but a look":        {limited: 1, perSecond: 0, want: 1},
		"a home that has a part":         {limited: 3, perSecond: 4, change: func(c *Config) { c.LimitShare = half }, want: 20},
		"shared with another service":    {limited: 3, perSecond: 4, change: func(c *Config) { c.Engines[0].SharedBy = 2; c.Engines[1].SharedBy = 2; c.Engines[2].SharedBy = 2 }, want: 20},
		"by the simplest of policies":    {limited: 1, perSecond: 2, change: func(c *Config) { c.Policy.Name = PolicyRoundRobin }, want: 20},
		"more than is asked for anyway":  {limited: 3, perSecond: 1000, want: 1000},
		"one that is cold as well, less": {limited: 3, perSecond: 4, change: coldAsWell, want: 10},
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
				t.Error("an engine without a limit was held back")
			}
		})
	}
}

// coldAsWell has all engines bear one request in a span, while cold.
func coldAsWell(c *Config) {
	c.ColdLimit = func(time.Time) int { return 1 }
	for i := range c.Engines {
		c.Engines[i].ColdUntil = start.Add(time.Minute)
	}
}

func TestNewestWordOnALimit(t *testing.T) {
	const second = time.Second
	type word struct {
		at, age   time.Duration
		perSecond float64
	}
	cases := map[string]struct {
		words []word
		want  pace.Limit
	}{
		"a later one":              {words: []word{{at: second, perSecond: 2}, {at: 2 * second, perSecond: 3}}, want: pace.LimitOf(3)},
		"one that is older":        {words: []word{{at: second, perSecond: 2}, {at: 2 * second, age: 1500 * time.Millisecond, perSecond: 3}}, want: pace.LimitOf(2)},
		"its end":                  {words: []word{{at: second, perSecond: 2}, {at: 2 * second, perSecond: -1}}, want: pace.Limit{}},
		"an older one after that":  {words: []word{{at: second, perSecond: 2}, {at: 2 * second, perSecond: -1}, {at: 3 * second, age: 2 * second, perSecond: 2}}, want: pace.Limit{}},
		"a later one after an end": {words: []word{{at: second, perSecond: -1}, {at: 3 * second, age: second, perSecond: 2}}, want: pace.LimitOf(2)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := limitedGroup(1, 0, 0, nil)
			for _, w := range c.words {
				g.NameLimits(start.Add(w.at), limitNotice("e0", w.perSecond, w.age))
			}
			if got := g.engines[0].limit.Limit; got != c.want {
				t.Errorf("limit %+v, want %+v", got, c.want)
			}
			changes := g.NameLimits(start.Add(time.Hour), limitNotice("e0", 7, 0))
			if len(changes) != 1 || changes[0].Before != c.want || changes[0].After != pace.LimitOf(7) {
				t.Errorf("changes %+v", changes)
			}
		})
	}
}

func TestRefusalForALimitIsTrue(t *testing.T) {
	// The next request may go after the target: it is refused at once, and told when.
	g := limitedGroup(1, 1, 0.5, nil)
	at := start.Add(2 * time.Second)
	if got := grantsOf(g.Ask(at, ask(1, 1))); len(got) != 1 || !got[0].PacedDecode || len(got[0].Limits) != 1 {
		t.Fatalf("got %+v", got)
	}
	decisions := g.Ask(at.Add(500*time.Millisecond), ask(2, 1))
	r, refused := decisions[0].(Refuse)
	if !refused || r.Reason != lifecycle.ReasonHopeless || r.Seen.Paced != 1 || r.RetryAfter < 1500*time.Millisecond {
		t.Errorf("got %+v", decisions)
	}
}

func TestGrantsTellWhatTheAskKnewNot(t *testing.T) {
	cases := map[string]struct {
		// told is what the ask told of the other engine.
		told []EngineLimit
		want []EngineLimit
	}{
		"nothing told":     {},
		"an older limit":   {told: limitNotice("e1", 9, 2*time.Second), want: []EngineLimit{{Engine: "e1", Age: time.Second}}},
		"what is known":    {told: []EngineLimit{{Engine: "e1", Age: 2 * time.Second}}},
		"an unknown other": {told: limitNotice("e7", 9, 0)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := limitedGroup(2, 0, 0, nil)
			g.NameLimits(start, limitNotice("e1", 3, 0))
			g.NameLimits(start.Add(time.Second), limitNotice("e1", -1, 0))
			a := ask(1, 1)
			a.Avoid, a.Limits = []string{"e1"}, c.told
			now := start.Add(2 * time.Second)
			g.NameLimits(now, a.Limits)
			got := grantsOf(g.Ask(now, a))
			if len(got) != 1 || len(got[0].Limits) != len(c.want) {
				t.Fatalf("got %+v, want %+v", got, c.want)
			}
			for i := range c.want {
				if got[0].Limits[i] != c.want[i] {
					t.Errorf("told %+v, want %+v", got[0].Limits[i], c.want[i])
				}
			}
		})
	}
}
