// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"testing"
	"time"
)

// askPeriod is the time between two asks of serve.
const askPeriod = 200 * time.Millisecond

// serve sends one ask every askPeriod for a time, lets each granted one run for as long as takes
// says, and returns the share that was granted.
func serve(g *Group, now time.Time, first uint64, length time.Duration, takes func(Ask) Report) (float64, time.Time) {
	type running struct {
		report Report
		end    time.Time
	}
	var open []running
	granted, asked := 0, 0
	for end := now.Add(length); now.Before(end); now = now.Add(askPeriod) {
		for len(open) > 0 && !open[0].end.After(now) {
			g.Done(open[0].end, open[0].report)
			open = open[1:]
		}
		a := plainAsk(first + uint64(asked))
		asked++
		if kindOf(g.Ask(now, a), a) == "grant" {
			granted++
			r := takes(a)
			open = append(open, running{r, now.Add(r.StepTime)})
		}
	}
	for _, r := range open {
		g.Done(r.end, r.report)
	}
	return float64(granted) / float64(asked), now.Add(time.Second)
}

// lasting returns the report of a request that holds its slot for a time.
func lasting(d time.Duration) func(Ask) Report {
	return func(a Ask) Report { return Report{ID: a.ID, Finished: true, StepTime: d} }
}

// minServedShare is the least share of requests that a group with free slots serves, well after
// what made it slow.
const minServedShare = 0.95

func TestFreeGroupRefusesAllAfterItsHomeStoodStill(t *testing.T) {
	g, now := plainGroup(2)
	now = now.Add(8 * time.Second)
	for n := range uint64(2) {
		g.Done(now, Report{ID: plainAsk(1000 + n).ID, Finished: true})
	}
	if share, _ := serve(g, now, 5000, 10*time.Second, lasting(100*time.Millisecond)); share < minServedShare {
		t.Errorf("granted %.2f of the requests, want at least %.2f", share, minServedShare)
	}
}

func TestFreeGroupRefusesAllAfterItsEndpointsWereSlow(t *testing.T) {
	g, now := plainGroup(0)
	_, now = serve(g, now, 5000, 2*time.Minute, lasting(2*time.Second))
	_, now = serve(g, now, 6000, 5*time.Second, lasting(100*time.Millisecond))
	if share, _ := serve(g, now, 7000, 10*time.Second, lasting(100*time.Millisecond)); share < minServedShare {
		t.Errorf("granted %.2f of the requests, want at least %.2f", share, minServedShare)
	}
}

func TestFreeEnginesRefuseAllAfterTheirPrefillsWereSlow(t *testing.T) {
	g := growingGroup(1, 100_000)
	now, number := start, uint64(0)
	// run sends one ask every 500 ms and returns the share that was granted.
	run := func(asks int, prefill time.Duration) float64 {
		granted := 0
		for range asks {
			number++
			a := newAskOfSize(number, 5000, 100)
			a.Deadline = 900 * time.Millisecond
			if kindOf(g.Ask(now, a), a) == "grant" {
				granted++
				g.Prefilled(now.Add(prefill), a.ID, a.PromptTokens, prefill)
				g.Done(now.Add(400*time.Millisecond), Report{ID: a.ID, Finished: true, Steps: 100, StepTime: 150 * time.Millisecond})
			}
			now = now.Add(500 * time.Millisecond)
		}
		return float64(granted) / float64(asks)
	}
	run(20, 125*time.Millisecond)
	run(40, 3*time.Second)
	run(10, 125*time.Millisecond)
	if share := run(20, 125*time.Millisecond); share < minServedShare {
		t.Errorf("granted %.2f of the requests, want at least %.2f", share, minServedShare)
	}
}
