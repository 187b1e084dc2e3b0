// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/pace"
)

// coldConfig returns a configuration in which some engines are cold for a time after the start.
func coldConfig(prefill, decode, limit int, coldFor time.Duration, cold func(i int) bool) Config {
	c := config(prefill, decode)
	c.GrowingMemory = true
	c.ColdLimit = func(time.Time) int { return limit }
	for i := range c.Engines {
		if cold(i) {
			c.Engines[i].ColdUntil = start.Add(coldFor)
		}
	}
	return c
}

func all(int) bool { return true }

// grantsOf returns the grants among the decisions.
func grantsOf(decisions []Decision) []Grant {
	var out []Grant
	for _, d := range decisions {
		if g, ok := d.(Grant); ok {
			out = append(out, g)
		}
	}
	return out
}

func TestColdEngineLimit(t *testing.T) {
	g := New(coldConfig(1, 4, 2, time.Minute, all), start)
	var granted []Grant
	for n := range 6 {
		granted = append(granted, grantsOf(g.Ask(start.Add(time.Millisecond), newAsk(n, 100)))...)
	}
	for _, gr := range granted {
		if gr.Plan.Prefill != "" && !gr.PacedPrefill || !gr.PacedDecode {
			t.Errorf("grant %+v does not count against its cold engines", gr)
		}
	}
	for _, e := range g.ColdEngines(start.Add(time.Millisecond)) {
		if e.Counted > e.Limit {
			t.Errorf("%s was granted %d, allowed %d", e.Engine, e.Counted, e.Limit)
		}
	}
}

func TestPacedWaiterStarts(t *testing.T) {
	c := coldConfig(0, 1, 1, time.Minute, all)
	c.Targets.FirstToken = 3 * time.Second
	g := New(c, start)
	at := start.Add(time.Millisecond)
	if n := len(grantsOf(g.Ask(at, newAsk(1, 100)))); n != 1 {
		t.Fatalf("%d grants for the first ask, want 1", n)
	}
	if d := g.Ask(at, newAsk(2, 100)); len(grantsOf(d)) != 0 || g.Waiting() != 1 {
		t.Fatalf("the second ask got %+v, want it to wait", d)
	}
	if n := len(grantsOf(g.Tick(at.Add(pace.Span - 1)))); n != 0 {
		t.Errorf("%d grants before the limit allows one", n)
	}
	second := grantsOf(g.Tick(at.Add(pace.Span)))
	if len(second) != 1 || second[0].QueueTime != pace.Span {
		t.Errorf("granted %+v when the limit allows one, want one held for %v", second, pace.Span)
	}
}

func TestRefusalForPaceIsTrue(t *testing.T) {
	// Capacity becomes free only after the target: the ask is refused at once, with the time to
	// retry.
	g := New(coldConfig(0, 1, 1, time.Minute, all), start)
	at := start.Add(time.Millisecond)
	g.Ask(at, newAsk(1, 100))
	for _, d := range g.Ask(at.Add(100*time.Millisecond), newAsk(2, 100)) {
		r, refused := d.(Refusal)
		if !refused || r.Reason != lifecycle.ReasonTargetUnreachable || r.Inputs.Paced != 1 || r.RetryAfter < pace.Span-100*time.Millisecond {
			t.Errorf("got %+v, want a refusal", d)
		}
	}
	if g.Waiting() != 0 {
		t.Error("it waits although it cannot start in time")
	}
}

func TestWarmEnginesAreNotPaced(t *testing.T) {
	const engines = 4
	cases := map[string]struct {
		limit int
		cold  func(i int) bool
		want  int
	}{
		"all warm":           {limit: 0, cold: func(int) bool { return false }, want: 8 * engines},
		"one cold, limit 0":  {limit: 0, cold: func(i int) bool { return i == 0 }, want: 8 * (engines - 1)},
		"all cold, no limit": {limit: pace.Unbounded, cold: all, want: 8 * engines},
		"all cold, limit 2":  {limit: 2, cold: all, want: 2 * engines},
		"all cold, limit 0":  {limit: 0, cold: all, want: 0},
		"one cold, limit 3":  {limit: 3, cold: func(i int) bool { return i == 0 }, want: 8*(engines-1) + 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			cfg := coldConfig(0, engines, c.limit, time.Minute, c.cold)
			cfg.GrowingMemory, cfg.Plain, cfg.Targets.PerToken = false, true, time.Minute
			for i := range cfg.Engines {
				cfg.Engines[i].PrefillRate = 1e12
			}
			g := New(cfg, start)
			granted := 0
			for n := range 100 {
				granted += len(grantsOf(g.Ask(start.Add(time.Millisecond), tinyAsk(n))))
			}
			if granted != c.want {
				t.Errorf("%d grants, want %d", granted, c.want)
			}
		})
	}
}

// tinyAsk returns an ask with a minimal prompt, so that only slots and pacing limit it.
func tinyAsk(n int) Ask {
	a := newAsk(n, 1)
	a.OutputTokens = 1
	a.Resume = true
	return a
}

// TestColdSpeed has a prefill and a decode engine learn their times while they are cold, after
// they were warm or as new engines.
func TestColdSpeed(t *testing.T) {
	const usual, cold = 3, 6
	cases := map[string]struct {
		// known is true if the engines were warm before.
		known bool
		want  float64
	}{
		"engines that were warm before": {known: true, want: usual},
		"new engines":                   {want: cold},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const coldAt, warmAt = 10 * time.Second, 20 * time.Second
			warm := coldConfig(1, 1, pace.Unbounded-1, 0, func(int) bool { return false })
			warm.Policy.NoRecompute = true
			g, now, n := New(warm, start), start, 0
			serve := func(times int, until time.Duration) {
				for now = now.Add(time.Millisecond); now.Before(start.Add(until)); now = now.Add(100 * time.Millisecond) {
					n++
					for _, gr := range grantsOf(g.Ask(now, newAsk(n, 1000))) {
						worked := time.Duration(times) * 1000 * time.Second / 16_000
						g.Prefilled(now, gr.Ask.ID, 1000, worked)
						g.Done(now, Report{ID: gr.Ask.ID, Finished: true, Steps: 64, StepTime: time.Duration(times) * 64 * 9 * time.Millisecond})
					}
				}
			}
			if c.known {
				serve(usual, coldAt)
			}
			now = start.Add(coldAt)
			turned := coldConfig(1, 1, pace.Unbounded-1, warmAt, all)
			turned.Policy = warm.Policy
			g.Configure(now, turned)
			serve(cold, warmAt)
			learned := g.engines[0].prefillFactor.Value()
			g.ColdChanges(start.Add(warmAt))
			is := g.engines[0].prefillFactor.Value()
			if learned < 0.8*cold || is < 0.8*c.want || is > 1.2*c.want {
				t.Errorf("prefill times are %.1f of the table's when cold and %.1f when warm, want %d and %.0f", learned, is, cold, c.want)
			}
			if step := g.engines[1].stepFactor.Value(); step < 0.8*c.want || step > 1.2*c.want {
				t.Errorf("steps take %.1f of the table's when warm, want %.0f", step, c.want)
			}
		})
	}
}

func TestColdChanges(t *testing.T) {
	c := coldConfig(1, 1, 5, time.Second, func(i int) bool { return i == 0 })
	g := New(c, start)
	if got := g.ColdChanges(start); len(got) != 1 || got[0] != (ColdChange{Engine: "e0", Cold: true, For: time.Second}) {
		t.Errorf("changes at the start: %+v, want one cold engine", got)
	}
	if got := g.ColdChanges(start.Add(time.Second)); len(got) != 1 || got[0].Cold {
		t.Errorf("changes when it is warm: %+v, want one warm engine", got)
	}
}

func TestEarlierGrantsCountForAnEngineThatTurnsCold(t *testing.T) {
	warm := coldConfig(1, 1, 3, time.Minute, func(int) bool { return false })
	g := New(warm, start)
	at := start.Add(time.Millisecond)
	want := make(map[string]int)
	for n := range 2 {
		for _, gr := range grantsOf(g.Ask(at, newAsk(n, 100))) {
			want[gr.Plan.Prefill]++
			want[gr.Plan.Decode]++
		}
	}
	if want["e1"] == 0 {
		t.Fatal("the warm decode engine got no request")
	}
	g.Configure(at, coldConfig(1, 1, 3, time.Minute, all))
	g.ColdChanges(at)
	for _, e := range g.ColdEngines(at) {
		if e.Counted != want[e.Engine] {
			t.Errorf("%d requests count against %s, want %d", e.Counted, e.Engine, want[e.Engine])
		}
	}
}

// arrival is a request that arrives at an engine.
type arrival struct {
	engine string
	at     time.Time
}

// TestOraclePace sends a group of cold engines more requests than they can serve. Boxes send
// late, fail and change their home; no engine may get more than its limit in any second.
func TestOraclePace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 6).Draw(t, "limit")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		c := coldConfig(rapid.IntRange(0, 3).Draw(t, "prefill"), rapid.IntRange(1, 4).Draw(t, "decode"), limit, time.Minute, all)
		c.Targets.FirstToken = 2 * time.Second
		g := New(c, start)
		var arrivals []arrival
		within := func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most) + 1)) }
		type running struct {
			grant Grant
			// done is when the prefill ends.
			done time.Time
		}
		var open []running
		take := func(now time.Time, decisions []Decision) {
			for _, gr := range grantsOf(decisions) {
				if gr.Plan.Prefill == "" {
					arrivals = append(arrivals, arrival{gr.Plan.Decode, now.Add(within(pace.MaxSendDelay))})
					continue
				}
				arrivals = append(arrivals, arrival{gr.Plan.Prefill, now.Add(within(pace.MaxSendDelay))})
				open = append(open, running{gr, now.Add(within(pace.OpenTimeout - pace.MaxSendDelay))})
			}
		}
		next := 0
		for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(40 * time.Millisecond) {
			for range random.IntN(4) {
				next++
				take(now, g.Ask(now, newAsk(next, 50+random.IntN(500))))
			}
			take(now, g.Tick(now))
			open = slices.DeleteFunc(open, func(r running) bool {
				if r.done.After(now) {
					return false
				}
				id := r.grant.Ask.ID
				arrivals = append(arrivals, arrival{r.grant.Plan.Decode, now.Add(within(pace.MaxSendDelay))})
				switch random.IntN(8) {
				case 0:
					// The box has another home by now, or is considered dead, but still sends
					// the request.
					take(now, g.Withdraw(now, id))
				case 1:
					// The report is lost.
				default:
					take(now, g.Prefilled(now, id, 0, 0))
					take(now, g.Done(now, Report{ID: id, Finished: true}))
				}
				return true
			})
		}
		for i := range c.Engines {
			if most := fullestSecond(arrivals, c.Engines[i].Name); most > limit {
				t.Fatalf("%s got %d requests in one second, allowed %d", c.Engines[i].Name, most, limit)
			}
		}
	})
}

// fullestSecond returns the maximum number of arrivals at an engine in any second.
func fullestSecond(arrivals []arrival, engine string) int {
	var at []time.Time
	for _, a := range arrivals {
		if a.engine == engine {
			at = append(at, a.at)
		}
	}
	slices.SortFunc(at, func(a, b time.Time) int { return cmp.Compare(a.Sub(start), b.Sub(start)) })
	most, from := 0, 0
	for i := range at {
		for at[i].Sub(at[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}
