// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package completions runs soak tests of boxes that serve the router's own completions API,
// with engines that speak its own engine protocol. Each box is a process; the fake engines
// and the platform with the table run in this process.
package completions

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"runridge.example/runridge/bench"
	"runridge.example/runridge/bench/soak/check"
	"runridge.example/runridge/bench/soak/schedule"
	"runridge.example/runridge/fakes/fleet"
	"runridge.example/runridge/fakes/process"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/example"
	"runridge.example/runridge/transport/operatorhttp"
)

// Kinds returns the kinds of faults that this package injects.
func Kinds() []schedule.Kind {
	return []schedule.Kind{
		schedule.BoxKilled, schedule.BoxPaused, schedule.BoxStopped, schedule.EndpointCrashed, schedule.EndpointLeaving,
		schedule.StoreBusy, schedule.TableChanged, schedule.TransfersStalled,
	}
}

// Config configures a run.
type Config struct {
	// Router is the path of the router's executable, and Dir the directory for settings
	// and logs.
	Router, Dir   string
	Boxes, Faults int
	Workers       int
	Seed          uint64
	Length        time.Duration
	// Out receives a line for each fault when it begins.
	Out io.Writer
}

// Result holds the outcome of a run.
type Result struct {
	Requests int
	Faults   map[schedule.Kind]int
	Outcomes map[bench.Outcome]int
	Report   *check.Report
}

// run is the state of one run.
type run struct {
	cfg   Config
	fleet *fleet.Fleet

	mutex     sync.Mutex
	processes []*process.Process
	// unavailable marks boxes and engines that are down or paused now.
	unavailable map[string]bool
	// outages is the number of outages of the platform that last now, and outageEnded
	// is when the last one ended.
	outages          int
	outageEnded      time.Time
	observed         []observation
	newestGeneration map[string]uint64
	result           Result
	// active counts the faults, and the recoveries from them, in progress.
	active sync.WaitGroup
}

// observation is what a caller saw of one request.
type observation struct {
	bench.Seen
	once bool
}

// Run executes the schedule of a configuration and checks the outcome.
func Run(ctx context.Context, cfg Config) (Result, error) {
	t, _ := example.Table(example.Bogota)
	f, err := fleet.Start(ctx, fleet.Config{Table: t, Log: log.Discard()})
	if err != nil {
		return Result{}, err
	}
	defer f.Stop()
	r := &run{cfg: cfg, fleet: f, unavailable: make(map[string]bool), newestGeneration: make(map[string]uint64)}
	r.result = Result{Faults: make(map[schedule.Kind]int), Outcomes: make(map[bench.Outcome]int), Report: &check.Report{}}
	if err := r.startBoxes(ctx); err != nil {
		return r.result, err
	}
	defer r.killAll()
	load, stopLoad := context.WithCancel(ctx)
	var workers sync.WaitGroup
	for i := range cfg.Boxes * cfg.Workers {
		workers.Go(func() { r.runCaller(load, i) })
	}
	r.execute(ctx)
	stopLoad()
	workers.Wait()
	r.checkResults()
	return r.result, nil
}

// execute injects the faults of the schedule and waits until the last one has ended.
func (r *run) execute(ctx context.Context) {
	start := time.Now()
	for _, e := range schedule.Draw(schedule.Config{
		Seed: r.cfg.Seed, Boxes: r.cfg.Boxes, Places: len(r.fleet.Engines), Faults: r.cfg.Faults, End: r.cfg.Length, Kinds: Kinds(),
	}) {
		time.Sleep(time.Until(start.Add(e.At)))
		r.result.Faults[e.Kind]++
		_, _ = fmt.Fprintf(r.cfg.Out, "soak at=%s %s\n", time.Now().Format(check.TimeFormat), e)
		r.active.Go(func() { r.inject(ctx, e) })
	}
	time.Sleep(time.Until(start.Add(r.cfg.Length)))
	r.active.Wait()
}

func (r *run) startBoxes(ctx context.Context) error {
	zones := r.fleet.Table().Zones
	for i := range r.cfg.Boxes {
		p, err := r.fleet.AddProcess(r.cfg.Router, r.cfg.Dir, fmt.Sprintf("box-%d", i+1), zones[i%len(zones)].Name)
		if err != nil {
			r.killAll()
			return err
		}
		r.processes = append(r.processes, p)
	}
	for _, p := range r.processes {
		if err := awaitReady(ctx, p); err != nil {
			r.killAll()
			return err
		}
	}
	return nil
}

const (
	readyBound   = 15 * time.Second
	pollInterval = 10 * time.Millisecond
)

func awaitReady(ctx context.Context, p *process.Process) error {
	for begin := time.Now(); time.Since(begin) < readyBound && ctx.Err() == nil; time.Sleep(pollInterval) {
		if s, err := statusOf(p); err == nil && s.Ready {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", p.Name, readyBound)
}

var statusClient = &http.Client{Timeout: time.Second}

func statusOf(p *process.Process) (operatorhttp.Status, error) {
	var s operatorhttp.Status
	resp, err := statusClient.Get("http://" + p.OperatorAddr + operatorhttp.PathStatus)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

func (r *run) killAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, p := range r.processes {
		_ = p.Resume()
		p.Kill()
	}
}

const (
	onceOneIn      = 5
	cancelOneIn    = 30
	maxCancelTime  = 400 * time.Millisecond
	maxRequestTime = 20 * time.Second
	failurePause   = 100 * time.Millisecond
	minPrompt      = 20
	promptJitter   = 200
	minOutput      = 8
	outputJitter   = 24
	model          = "lm-porta"
	account        = "mesa-norte"
)

// runCaller is one caller. It sends short requests one after the other; some it cancels, and
// some it marks as not to be repeated.
func (r *run) runCaller(ctx context.Context, i int) {
	random := rand.New(rand.NewPCG(r.cfg.Seed, uint64(1000+i)))
	caller := bench.NewCaller()
	defer caller.Close()
	for n := 0; ctx.Err() == nil; n++ {
		r.mutex.Lock()
		p := r.processes[i%len(r.processes)]
		r.mutex.Unlock()
		a := bench.Arrival{
			Prompt:       fmt.Sprintf("caller %d asks %d: %s", i, n, bench.Text(random, minPrompt+random.IntN(promptJitter))),
			OutputTokens: minOutput + random.IntN(outputJitter),
			Account:      account,
			Once:         random.IntN(onceOneIn) == 0,
		}
		if random.IntN(cancelOneIn) == 0 {
			a.CancelAfter = time.Duration(1 + random.Int64N(int64(maxCancelTime)))
		}
		bound, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxRequestTime)
		s := caller.Do(bound, p.CallerAddr, model, a)
		cancel()
		r.mutex.Lock()
		r.observed = append(r.observed, observation{Seen: s, once: a.Once})
		r.result.Outcomes[s.Outcome]++
		r.mutex.Unlock()
		if s.Outcome != bench.OutcomeFinished {
			time.Sleep(failurePause)
		}
	}
}

// checkResults compares what callers saw with what the engines did.
func (r *run) checkResults() {
	held := bench.AwaitFree(r.fleet)
	work := r.fleet.Ledger.Requests()
	note := r.result.Report.Count
	r.result.Requests = len(r.observed)
	note("no_hold_left", held == 0, "%d attempts are held at the end", held)
	for _, s := range r.observed {
		if s.Outcome == bench.OutcomeFinished || s.Outcome == bench.OutcomeWrong {
			note("whole_own_answer", s.Outcome == bench.OutcomeFinished, "%s: %s", s.Request, s.Reason)
		}
		if s.Request == "" {
			continue
		}
		w := work[s.Request]
		if s.Outcome == bench.OutcomeNotRun {
			note("not_run_is_true", w.Started == 0 && w.Decoded == 0, "%s started %d times and decoded %d times", s.Request, w.Started, w.Decoded)
		}
		if s.once {
			note("once_runs_once", w.Started <= 1 && w.Decoded <= 1, "%s started %d times and decoded %d times", s.Request, w.Started, w.Decoded)
		}
		note("answered_once", w.Finished <= 1, "%s finished %d times", s.Request, w.Finished)
	}
}

// engineNames returns the names of the engines, sorted.
func (r *run) engineNames() []string {
	names := make([]string, 0, len(r.fleet.Engines))
	for name := range r.fleet.Engines {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Print writes the counts of a run. The results of the checks are in the report.
func (r Result) Print(w io.Writer) {
	check.PrintCounts(w, "faults", r.Faults)
	check.PrintCounts(w, "requests", r.Outcomes)
}
