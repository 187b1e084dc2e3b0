// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/tests/seed"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Run(m, 1000))
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engines returns prefill engines followed by decode engines, spread over three zones.
func engines(prefill, decode int) []EngineSpec {
	var out []EngineSpec
	for i := range prefill + decode {
		e := EngineSpec{
			Name: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", i%3), Prefill: i < prefill, Decode: i >= prefill,
			Slots: 8, KVTokens: 40_000, PrefillRate: 16_000, StepBase: 8 * time.Millisecond, StepPerRequest: time.Millisecond,
			KVBytesPerToken: 1 << 17,
		}
		out = append(out, e)
	}
	return out
}

func config(prefill, decode int) Config {
	return Config{
		Targets:  Targets{FirstToken: 490 * time.Millisecond, FirstTokenPer1K: 80 * time.Millisecond, PerToken: 31 * time.Millisecond},
		Engines:  engines(prefill, decode),
		LinkRate: func(string, string) int64 { return 10 << 30 },
	}
}

func newAsk(n, tokens int) Ask {
	id := lifecycle.AttemptID{Request: lifecycle.RequestID{Box: "b", Incarnation: 1, Sequence: uint64(n)}, Number: 1}
	return Ask{ID: id, Box: "b", Account: fmt.Sprintf("a%d", n%3), PromptTokens: tokens, OutputTokens: 64}
}

// oracle tracks a group's decisions from outside.
type oracle struct {
	g       *Group
	now     time.Time
	pending map[lifecycle.AttemptID]bool
	granted map[lifecycle.AttemptID]*lifecycle.Plan
	next    int
}

func (o *oracle) take(t *rapid.T, decisions []Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case Grant:
			o.resolve(t, d.Ask.ID)
			plan := d.Plan
			o.granted[d.Ask.ID] = &plan
		case Refusal:
			o.resolve(t, d.Ask.ID)
			if d.RetryAfter <= 0 {
				t.Fatalf("refused %v without a Retry-After time", d.Ask.ID)
			}
		case Queued:
			if !o.pending[d.Ask.ID] {
				t.Fatalf("%v is queued, but not pending", d.Ask.ID)
			}
		case DecodeAssignment:
			plan := o.granted[d.Ask.ID]
			if plan == nil || plan.Decode != "" {
				t.Fatalf("slot for %v, which already has plan %+v", d.Ask.ID, plan)
			}
			plan.Decode = d.Decode
		}
	}
}

// resolve records the single final decision that an ask may get.
func (o *oracle) resolve(t *rapid.T, id lifecycle.AttemptID) {
	if !o.pending[id] {
		t.Fatalf("a decision for %v, which is not pending", id)
	}
	delete(o.pending, id)
}

// drawGranted draws one of the granted attempts, or returns false if there is none.
func (o *oracle) drawGranted(t *rapid.T) (lifecycle.AttemptID, bool) {
	ids := make([]lifecycle.AttemptID, 0, len(o.granted))
	for n := 1; n <= o.next; n++ {
		if id := newAsk(n, 0).ID; o.granted[id] != nil {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return lifecycle.AttemptID{}, false
	}
	return rapid.SampledFrom(ids).Draw(t, "attempt"), true
}

func (o *oracle) act(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 5).Draw(t, "action") {
	case 0, 1:
		o.next++
		a := newAsk(o.next, rapid.IntRange(10, 20_000).Draw(t, "tokens"))
		a.Priority = rapid.IntRange(-1, 1).Draw(t, "priority")
		o.pending[a.ID] = true
		o.take(t, o.g.Ask(o.now, a))
	case 2:
		if id, ok := o.drawGranted(t); ok {
			worked := time.Duration(rapid.IntRange(0, 500).Draw(t, "worked")) * time.Millisecond
			o.take(t, o.g.Prefilled(o.now, id, 1000, worked))
		}
	case 3:
		if id, ok := o.drawGranted(t); ok {
			delete(o.granted, id)
			r := Report{ID: id, Finished: rapid.Bool().Draw(t, "finished"), Steps: 20, StepTime: 300 * time.Millisecond}
			if !r.Finished {
				r.Failed = rapid.SampledFrom([]string{"", "e0", "e3"}).Draw(t, "failed")
			}
			o.take(t, o.g.Done(o.now, r))
		}
	case 4:
		o.take(t, o.g.Tick(o.now))
	case 5:
		o.g.Report(LoadReport{Engine: "e3", Held: rapid.IntRange(0, 9).Draw(t, "held")})
	}
}

// check compares the group's state with what the oracle tracked.
func (o *oracle) check(t *rapid.T) {
	held := make(map[string]int)
	for _, plan := range o.granted {
		if plan.Decode != "" {
			held[plan.Decode]++
		}
	}
	for i, e := range o.g.engines {
		v := o.g.view.Engines[i]
		if v.Held != held[e.spec.Name] {
			t.Fatalf("%s: group counts %d held requests, %d are granted", e.spec.Name, v.Held, held[e.spec.Name])
		}
		if v.Held > e.spec.Slots || v.KVFree < 0 {
			t.Fatalf("%s: %d requests held on %d slots, %d tokens free", e.spec.Name, v.Held, e.spec.Slots, v.KVFree)
		}
	}
	if o.g.Waiting() != len(o.pending) {
		t.Fatalf("group has %d waiting, %d are pending", o.g.Waiting(), len(o.pending))
	}
}

func TestGroupAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{
			g: New(config(2, 2), start), now: start,
			pending: make(map[lifecycle.AttemptID]bool),
			granted: make(map[lifecycle.AttemptID]*lifecycle.Plan),
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			o.act(t)
			o.check(t)
		}
		// All requests that can no longer be served are refused once time has passed.
		o.now = o.now.Add(time.Hour)
		o.take(t, o.g.Tick(o.now))
		for n := 1; n <= o.next; n++ {
			o.take(t, o.g.Withdraw(o.now, newAsk(n, 0).ID))
			delete(o.granted, newAsk(n, 0).ID)
			delete(o.pending, newAsk(n, 0).ID)
		}
		o.granted = make(map[lifecycle.AttemptID]*lifecycle.Plan)
		o.check(t)
	})
}

// decide returns the first decision of a new group for an ask.
func decide(cfg Config, a Ask) Decision {
	decisions := New(cfg, start).Ask(start, a)
	if len(decisions) == 0 {
		return nil
	}
	return decisions[0]
}

func TestAskOnFreshGroup(t *testing.T) {
	cases := map[string]struct {
		change func(*Config, *Ask)
		want   string
	}{
		"prompt goes to a prefill engine":    {want: "move"},
		"no prefill engine means recompute":  {change: func(c *Config, _ *Ask) { c.Engines = c.Engines[2:] }, want: "recompute"},
		"no engine at all":                   {change: func(c *Config, _ *Ask) { c.Engines = nil }, want: "no_engine"},
		"caller's deadline cannot be met":    {change: func(_ *Config, a *Ask) { a.Deadline = time.Millisecond }, want: "target_cannot_be_met"},
		"resume despite missed deadline":     {change: func(_ *Config, a *Ask) { a.Deadline, a.Resume = time.Millisecond, true }, want: "move"},
		"long prompt runs when idle":         {change: func(_ *Config, a *Ask) { a.PromptTokens = 30_000 }, want: "move"},
		"kept result is not computed again":  {change: func(_ *Config, a *Ask) { a.KeptBy, a.Resume = "e0", true }, want: "reuse"},
		"leaving engines get no requests":    {change: func(c *Config, _ *Ask) { leave(c, "e2", "e3") }, want: "no_engine"},
		"negative account limit is no limit": {change: func(c *Config, _ *Ask) { c.AccountLimit = func(string) int { return -1 } }, want: "move"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				cfg, a := config(2, 2), newAsk(1, 1000)
				cfg.Policy.NoRecompute = c.want != "recompute"
				if c.change != nil {
					c.change(&cfg, &a)
				}
				convey.So(describe(decide(cfg, a)), convey.ShouldEqual, c.want)
			})
		})
	}
}

func leave(c *Config, names ...string) {
	for i := range c.Engines {
		for _, n := range names {
			if c.Engines[i].Name == n {
				c.Engines[i].Leaving = true
			}
		}
	}
}

func describe(d Decision) string {
	switch d := d.(type) {
	case Queued:
		return "queue"
	case Refusal:
		return string(d.Reason)
	case Grant:
		if d.Plan.Reuse {
			return "reuse"
		}
		if d.Plan.Mode == lifecycle.Recompute {
			return "recompute"
		}
		return "move"
	default:
		return fmt.Sprintf("%T", d)
	}
}

func TestFairnessBetweenAccounts(t *testing.T) {
	convey.Convey("An account with much recent use waits behind one with little", t, func() {
		cfg := config(1, 2)
		cfg.Policy.NoRecompute = true
		g := New(cfg, start)
		big, small := newAsk(1, 4000), newAsk(2, 4000)
		big.Account, small.Account = "big", "small"
		g.Ask(start, big)
		for n := 10; n < 12; n++ {
			a := newAsk(n, 1000)
			a.Account = "big"
			g.Ask(start.Add(time.Duration(n)*time.Millisecond), a)
		}
		late := newAsk(20, 1000)
		late.Account = "small"
		g.accounts.charge("small", 1, 0)
		g.Ask(start.Add(30*time.Millisecond), late)
		i, _ := g.nextWaiter(int64(30*time.Millisecond), -1e300)
		convey.So(g.waiting[i].ask.Account, convey.ShouldEqual, "small")
	})
}

func TestZoneWeights(t *testing.T) {
	cases := map[string]struct {
		weights map[string]int
		// least and most are the bounds of the share of zone z0, in percent.
		least, most int
	}{
		"even":          {weights: map[string]int{"z0": 1, "z1": 1, "z2": 1}, least: 25, most: 42},
		"one has most":  {weights: map[string]int{"z0": 80, "z1": 10, "z2": 10}, least: 60, most: 95},
		"one has least": {weights: map[string]int{"z0": 10, "z1": 45, "z2": 45}, least: 3, most: 20},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				cfg := config(6, 6)
				for i := range cfg.Engines {
					cfg.Engines[i].Weight = c.weights[cfg.Engines[i].Zone]
				}
				g := New(cfg, start)
				inZone, rounds := 0, 300
				for n := range rounds {
					now := start.Add(time.Duration(n) * 100 * time.Millisecond)
					a := newAsk(n, 200)
					for _, d := range g.Ask(now, a) {
						if grant, ok := d.(Grant); ok && g.engines[g.index[grant.Plan.Decode]].spec.Zone == "z0" {
							inZone++
						}
					}
					g.Prefilled(now.Add(20*time.Millisecond), a.ID, 200, 0)
					g.Done(now.Add(80*time.Millisecond), Report{ID: a.ID, Finished: true})
				}
				convey.So(inZone*100/rounds, convey.ShouldBeBetweenOrEqual, c.least, c.most)
			})
		})
	}
}

func TestEjectionIsBounded(t *testing.T) {
	convey.Convey("Failures of all engines eject only part of the pool", t, func() {
		g := New(config(2, 6), start)
		for round := range 40 {
			for i := 2; i < 8; i++ {
				g.recordFailure(start.Add(time.Duration(round)*time.Millisecond), "b", Report{Failed: fmt.Sprintf("e%d", i)})
			}
		}
		out := 0
		for i := 2; i < 8; i++ {
			if g.engines[i].breaker.Ejected(start.Add(40 * time.Millisecond)) {
				out++
			}
		}
		convey.So(out, convey.ShouldEqual, 2)
	})
}

func ExamplePlace() {
	ms := int64(time.Millisecond)
	view := View{
		Engines: []EngineView{
			{Zone: 0, Prefill: true, FreeAt: 300 * ms, PrefillNS: 50_000},
			{Zone: 1, Prefill: true, PrefillNS: 50_000},
			{Zone: 0, Decode: true, Held: 3, MaxHeld: 8, KVFree: 50_000, StepBaseNS: 8e6, StepPerNS: 1e6},
			{Zone: 1, Decode: true, Held: 3, MaxHeld: 8, KVFree: 50_000, StepBaseNS: 8e6, StepPerNS: 1e6},
		},
		Zones:               2,
		LinkFreeAt:          make([]int64, 4),
		LinkNS:              []float64{10_000, 80_000, 80_000, 10_000},
		ZoneNS:              make([]float64, 2),
		MaxPrefillBacklogNS: 12 * ms,
		StepTargetNS:        31e6,
		Joint:               true,
	}
	c, ok := Place(&view, 0, Need{PromptTokens: 1000, KVTokens: 1064})
	fmt.Println(ok, c.Prefill, c.Decode, time.Duration(c.FirstTokenNS))
	// Output: true 1 3 72ms
}

func benchmarkGroup(b *testing.B, count int) {
	cfg := config(count*4/9, count-count*4/9)
	g := New(cfg, start)
	now := start
	for b.Loop() {
		now = now.Add(time.Microsecond)
		a := newAsk(1, 600)
		g.Ask(now, a)
		g.Withdraw(now, a.ID)
	}
}

func BenchmarkAsk16Engines(b *testing.B)  { benchmarkGroup(b, 16) }
func BenchmarkAsk700Engines(b *testing.B) { benchmarkGroup(b, 700) }

func BenchmarkPlace700Engines(b *testing.B) {
	cfg := config(300, 400)
	g := New(cfg, start)
	need := Need{PromptTokens: 600, KVTokens: 664}
	b.ReportAllocs()
	for b.Loop() {
		Place(&g.view, 0, need)
	}
}

func TestDropBefore(t *testing.T) {
	convey.Convey("Only requests of earlier incarnations of a box are removed", t, func() {
		g := New(config(2, 2), start)
		old, young, other := newAsk(1, 1000), newAsk(2, 1000), newAsk(3, 1000)
		young.ID.Request.Incarnation = 5
		other.Box, other.ID.Request.Box = "c", "c"
		for _, a := range []Ask{old, young, other} {
			g.Ask(start, a)
		}
		convey.So(g.Granted()+g.Waiting(), convey.ShouldEqual, 3)
		g.DropBefore(start, "b", 5)
		convey.So(g.Granted()+g.Waiting(), convey.ShouldEqual, 2)
		g.DropBefore(start, "b", 6)
		convey.So(g.Granted()+g.Waiting(), convey.ShouldEqual, 1)
	})
}
