// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"runridge.example/runridge/fakes/engine"
	"runridge.example/runridge/fakes/fleet"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// RunConfig configures a run of one policy at one load.
type RunConfig struct {
	Scenario string          `json:"scenario"`
	Label    string          `json:"label"`
	Policy   schedule.Policy `json:"policy"`
	Load     float64         `json:"load"`
	Faults   bool            `json:"faults"`
	Boxes    int             `json:"boxes"`
	Duration time.Duration   `json:"duration_ns"`
	Seed     uint64          `json:"seed"`
	// WasteWeight replaces the table's waste weight unless it is negative.
	WasteWeight float64     `json:"waste_weight"`
	Log         logrusLevel `json:"-"`
}

// logrusLevel wraps the logger, which is not part of encoded results.
type logrusLevel struct{ Logger log.Logger }

// Result holds the measurements of a run.
type Result struct {
	RunConfig
	Offered  int            `json:"offered"`
	Outcomes map[string]int `json:"outcomes"`
	Reasons  map[string]int `json:"reasons"`
	// Good is the number of requests that finished within both latency targets.
	Good int `json:"good"`
	// Goodput is Good per second. Bound and Ceiling are requests per second
	// too: Bound is what engines that are never idle could serve of requests of
	// average size, at most the offered rate; Ceiling is what they could serve of
	// this trace if they served only the smallest requests.
	Goodput float64 `json:"goodput"`
	Bound   float64 `json:"bound"`
	Ceiling float64 `json:"ceiling"`
	// PrefillTokens is the number of prompt tokens computed; WastedTokens is how
	// many of them contributed to no answer.
	PrefillTokens int     `json:"prefill_tokens"`
	WastedTokens  int     `json:"wasted_tokens"`
	WastedShare   float64 `json:"wasted_share"`
	// Times are in milliseconds.
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP95 float64 `json:"first_token_p95_ms"`
	PerTokenP50   float64 `json:"per_token_p50_ms"`
	PerTokenP95   float64 `json:"per_token_p95_ms"`
	// Held is the number of attempts for which engines still hold memory after the run.
	Held int `json:"held"`
	// Wrong is the number of requests whose caller got another answer than the
	// expected one.
	Wrong int `json:"wrong"`
}

const (
	// drainTime bounds the wait for requests in flight after the last arrival.
	drainTime = 20 * time.Second
	// holdDrainTime bounds the wait until engines have freed their memory.
	holdDrainTime    = 5 * time.Second
	holdPollInterval = 10 * time.Millisecond
	// Settings of a run with faults: the share of callers that cancel, the delay of load
	// reports, one in how many pages of cache events is lost, and the timeout of orders to engines.
	faultCancelShare = 0.03
	faultReportLag   = 2 * time.Second
	faultGapEvery    = 3
	faultTimeoutMS   = 4000
)

// Run measures one policy at one load with a fleet and a trace of its own.
func Run(ctx context.Context, cfg RunConfig) (Result, error) {
	t, ok := tableOf(cfg.Scenario)
	if !ok {
		return Result{}, fmt.Errorf("scenario %q: allowed are %v", cfg.Scenario, Scenarios())
	}
	if cfg.WasteWeight >= 0 {
		t.Services[0].WasteWeight = cfg.WasteWeight
	}
	cancels := 0.0
	fc := fleet.Config{Table: t, Boxes: cfg.Boxes, Policy: cfg.Policy, Log: cfg.logger(), StepTimeoutMS: faultTimeoutMS}
	if cfg.Faults {
		cancels = faultCancelShare
		fc.ReportLag = faultReportLag
		fc.GapEvery = faultGapEvery
	}
	trace, capacity, err := Trace(TraceConfig{
		Scenario: cfg.Scenario, Table: t, Load: cfg.Load,
		Duration: cfg.Duration, Cancels: cancels, Seed: cfg.Seed,
	})
	if err != nil {
		return Result{}, err
	}
	f, err := fleet.Start(ctx, fc)
	if err != nil {
		return Result{}, err
	}
	defer f.Stop()
	seen := replay(ctx, f, trace, cfg)
	held := AwaitFree(f)
	return summarize(cfg, t, trace, seen, capacity, f.Ledger.Requests(), held), nil
}

func (c RunConfig) logger() log.Logger {
	if c.Log.Logger == nil {
		return log.Discard()
	}
	return c.Log.Logger
}

// replay sends each request of the trace at its time, to the boxes in round robin.
func replay(ctx context.Context, f *fleet.Fleet, trace []Arrival, cfg RunConfig) []Seen {
	caller := NewCaller()
	defer caller.Close()
	model := f.Table().Services[0].Name
	seen := make([]Seen, len(trace))
	var wait sync.WaitGroup
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration+drainTime)
	defer cancel()
	if cfg.Faults {
		stop := injectFaults(ctx, f, cfg.Duration)
		defer stop()
	}
	begin := time.Now()
	for i, a := range trace {
		time.Sleep(time.Until(begin.Add(a.At)))
		wait.Go(func() {
			address := f.Boxes[i%len(f.Boxes)].Box.CallerAddr()
			seen[i] = caller.Do(ctx, address, model, a)
		})
	}
	wait.Wait()
	return seen
}

// injectFaults kills and restarts an engine of each role and stalls transfers, at fixed
// fractions of the run's duration. The returned function cancels faults to come and waits.
func injectFaults(ctx context.Context, f *fleet.Fleet, d time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	at := func(share float64, do func()) {
		wait.Go(func() {
			timer := time.NewTimer(time.Duration(share * float64(d)))
			defer timer.Stop()
			select {
			case <-ctx.Done():
			case <-timer.C:
				do()
			}
		})
	}
	var victims []string
	for _, role := range []string{table.RolePrefill, table.RoleDecode} {
		for _, e := range f.Table().Endpoints {
			if p, _ := f.Table().Pool(e.Pool); p.Role == role {
				victims = append(victims, e.Name)
				break
			}
		}
	}
	// The numbers are fractions of the run's duration.
	at(0.25, func() { f.Engines[victims[0]].Kill() })
	at(0.45, func() { _ = f.RestartEngine(victims[0]) })
	at(0.40, func() { f.Links.StallNext(2) })
	at(0.55, func() { f.Engines[victims[1]].Kill() })
	at(0.75, func() { _ = f.RestartEngine(victims[1]) })
	at(0.80, func() { f.Links.StallNext(2) })
	return func() {
		cancel()
		wait.Wait()
	}
}

// AwaitFree waits until the engines hold no memory, or holdDrainTime has passed, and returns
// the number of attempts that still hold some.
func AwaitFree(f *fleet.Fleet) int {
	deadline := time.Now().Add(holdDrainTime)
	for f.Held() > 0 && time.Now().Before(deadline) {
		time.Sleep(holdPollInterval)
	}
	return f.Held()
}

const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

func summarize(cfg RunConfig, t table.Table, trace []Arrival, seen []Seen, c Capacity, work map[string]engine.Work, held int) Result {
	r := Result{
		RunConfig: cfg,
		Offered:   len(trace),
		Outcomes:  make(map[string]int),
		Reasons:   make(map[string]int),
		Held:      held,
	}
	first := hdrhistogram.New(1, histogramMax, histogramDigits)
	per := hdrhistogram.New(1, histogramMax, histogramDigits)
	finished := make(map[string]bool)
	for i, s := range seen {
		r.Outcomes[string(s.Outcome)]++
		if s.Reason != "" {
			r.Reasons[s.Reason]++
		}
		if s.Outcome == OutcomeWrong {
			r.Wrong++
		}
		if s.Outcome != OutcomeFinished {
			continue
		}
		finished[s.Request] = true
		_ = first.RecordValue(s.FirstToken.Microseconds())
		_ = per.RecordValue(s.PerToken.Microseconds())
		if meetsTargets(t.Services[0], trace[i], s) {
			r.Good++
		}
	}
	r.Goodput = float64(r.Good) / cfg.Duration.Seconds()
	r.Bound = min(float64(len(trace))/cfg.Duration.Seconds(), c.PerSecond)
	last := cfg.Duration + time.Duration(t.Services[0].FirstTokenMS)*time.Millisecond
	r.Ceiling = float64(c.Ceiling(trace, last)) / cfg.Duration.Seconds()
	r.countWaste(work, finished)
	const msPerUS = 1e-3
	r.FirstTokenP50 = float64(first.ValueAtQuantile(50)) * msPerUS
	r.FirstTokenP95 = float64(first.ValueAtQuantile(95)) * msPerUS
	r.PerTokenP50 = float64(per.ValueAtQuantile(50)) * msPerUS
	r.PerTokenP95 = float64(per.ValueAtQuantile(95)) * msPerUS
	return r
}

// meetsTargets reports whether a finished request met both latency targets.
func meetsTargets(s table.Service, a Arrival, seen Seen) bool {
	target := time.Duration(s.FirstTokenMS+s.FirstTokenMSPer1K*a.PromptTokens/1000) * time.Millisecond
	return seen.FirstToken <= target && seen.PerToken <= time.Duration(s.PerTokenMS)*time.Millisecond
}

// countWaste counts the prefill tokens that were wasted: all of them for a request without a
// complete answer, and all but those of the largest attempt for a request with one.
func (r *Result) countWaste(work map[string]engine.Work, finished map[string]bool) {
	for id, w := range work {
		sum, largest := 0, 0
		for _, n := range w.Computed {
			sum += n
			largest = max(largest, n)
		}
		r.PrefillTokens += sum
		r.WastedTokens += sum
		if finished[id] {
			r.WastedTokens -= largest
		}
	}
	if r.PrefillTokens > 0 {
		r.WastedShare = float64(r.WastedTokens) / float64(r.PrefillTokens)
	}
}
