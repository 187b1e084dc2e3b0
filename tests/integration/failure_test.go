// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/bench"
	"runridge.example/runridge/fakes/fleet"
	"runridge.example/runridge/fakes/process"
	"runridge.example/runridge/protocol/callerapi"
	"runridge.example/runridge/transport/operatorhttp"
)

// program is the path of the router program, built once for all tests that run processes.
var program string

func TestMain(m *testing.M) {
	os.Exit(build(m))
}

func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "runridge")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "runridge-router")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/runridge-router").CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// startProcesses starts count boxes as processes and waits until each is ready.
func startProcesses(ctx context.Context, t *testing.T, count int) (*fleet.Fleet, []*process.Process) {
	t.Helper()
	f := startFleet(t, 0)
	dir := t.TempDir()
	var out []*process.Process
	for i := range count {
		name := []string{"box-a", "box-b", "box-c", "box-d"}[i]
		p, err := f.AddProcess(program, dir, name, f.Table().Zones[i%3].Name)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			p.Kill()
			logOnFailure(t, p)
		})
		out = append(out, p)
	}
	for _, p := range out {
		awaitStatus(ctx, t, "http://"+p.CallerAddr+callerapi.PathReady, http.StatusOK)
	}
	return f, out
}

// logOnFailure copies a box's log into the output of the test if the test has failed.
func logOnFailure(t *testing.T, p *process.Process) {
	if !t.Failed() {
		return
	}
	text, err := p.Log()
	t.Logf("log of %s (%v):\n%s", p.Name, err, text)
}

// awaitStatus waits until a URL answers with a status and fails the test when the context ends first.
func awaitStatus(ctx context.Context, t *testing.T, url string, status int) {
	t.Helper()
	for ctx.Err() == nil {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == status {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%s never answered %d", url, status)
}

// load sends requests to all processes concurrently until stopped; stop returns the results by
// process name.
func load(ctx context.Context, processes []*process.Process) (stop func() map[string][]bench.Seen) {
	ctx, cancel := context.WithCancel(ctx)
	seen := make(map[string][]bench.Seen)
	var mutex sync.Mutex
	var wait sync.WaitGroup
	caller := bench.NewCaller()
	for i, p := range processes {
		for worker := range 4 {
			wait.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					// Stopping the load does not cancel requests in flight.
					s := caller.Do(context.WithoutCancel(ctx), p.CallerAddr, "lm-porta", request(1000*i+100*worker+n))
					mutex.Lock()
					seen[p.Name] = append(seen[p.Name], s)
					mutex.Unlock()
				}
			})
		}
	}
	return func() map[string][]bench.Seen {
		cancel()
		wait.Wait()
		caller.Close()
		return seen
	}
}

// awaitServed sends requests to one box until count of them have succeeded.
func awaitServed(ctx context.Context, t *testing.T, address string, count int) {
	t.Helper()
	caller := bench.NewCaller()
	defer caller.Close()
	for served := 0; served < count; {
		if ctx.Err() != nil {
			t.Fatal("timed out before enough requests were served")
		}
		if caller.Do(ctx, address, "lm-porta", request(90_000+served)).Outcome == bench.OutcomeFinished {
			served++
		}
	}
}

// TestBoxKilled kills each of three boxes in turn, so that one of them is the
// home of the group.
func TestBoxKilled(t *testing.T) {
	for victim := range 3 {
		convey.Convey("A box is killed while requests are in flight", t, func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			f, processes := startProcesses(ctx, t, 3)
			stop := load(ctx, processes)
			awaitServed(ctx, t, processes[victim].CallerAddr, 3)
			processes[victim].Kill()
			survivor := processes[(victim+1)%3]
			awaitServed(ctx, t, survivor.CallerAddr, 20)
			seen := stop()
			for _, p := range processes {
				if p == processes[victim] {
					continue
				}
				convey.So(len(seen[p.Name]), convey.ShouldBeGreaterThan, 0)
				for _, s := range seen[p.Name] {
					convey.So(s.Reason, convey.ShouldEqual, "")
					convey.So(s.Outcome, convey.ShouldEqual, bench.OutcomeFinished)
				}
			}
			convey.So(awaitNoHolds(ctx, f), convey.ShouldEqual, 0)
		})
	}
}

// TestBoxPaused pauses each of the boxes in turn for longer than the others wait
// for it, and resumes it.
func TestBoxPaused(t *testing.T) {
	for victim := range 3 {
		convey.Convey("A box is paused and resumed", t, func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			f, processes := startProcesses(ctx, t, 3)
			stop := load(ctx, processes)
			awaitServed(ctx, t, processes[victim].CallerAddr, 3)
			convey.So(processes[victim].Pause(), convey.ShouldBeNil)
			survivor := processes[(victim+1)%3]
			awaitServed(ctx, t, survivor.CallerAddr, 40)
			convey.So(processes[victim].Resume(), convey.ShouldBeNil)
			awaitServed(ctx, t, processes[victim].CallerAddr, 3)
			seen := stop()
			for name, all := range seen {
				for _, s := range all {
					// A request of the paused box may rightly end as unknown
					// or failed, but none with a wrong or broken answer.
					convey.So(s.Outcome, convey.ShouldNotEqual, bench.OutcomeWrong)
					convey.So(s.Outcome, convey.ShouldNotEqual, bench.OutcomeBroken)
					if name != processes[victim].Name {
						convey.So(s.Outcome, convey.ShouldEqual, bench.OutcomeFinished)
					}
				}
			}
			convey.So(awaitNoHolds(ctx, f), convey.ShouldEqual, 0)
		})
	}
}

// activeRequests returns the number of requests in flight that a box reports to operators.
func activeRequests(ctx context.Context, t *testing.T, operator string) int {
	t.Helper()
	status, _, body := call(ctx, t, http.MethodGet, "http://"+operator+"/status", nil, nil)
	if status != http.StatusOK {
		t.Fatalf("status %d of %s", status, operator)
	}
	var s operatorhttp.Status
	if err := json.Unmarshal([]byte(body), &s); err != nil {
		t.Fatal(err)
	}
	return s.Active
}

// TestPlannedStop stops a box while it serves; no request may be cut.
func TestPlannedStop(t *testing.T) {
	convey.Convey("A planned stop cuts no request", t, func() {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f, processes := startProcesses(ctx, t, 2)
		caller := bench.NewCaller()
		defer caller.Close()
		var wait sync.WaitGroup
		var answered atomic.Int64
		seen := make([]bench.Seen, 12)
		for i := range seen {
			wait.Go(func() {
				seen[i] = caller.Do(ctx, processes[0].CallerAddr, "lm-porta", request(i))
				answered.Add(1)
			})
		}
		// Waits until the box has accepted all requests: one that arrives after the stop is refused, not cut.
		for taken := 0; taken < len(seen); taken = int(answered.Load()) + activeRequests(ctx, t, processes[0].OperatorAddr) {
			time.Sleep(time.Millisecond)
		}
		convey.So(processes[0].Stop(), convey.ShouldBeNil)
		wait.Wait()
		for _, s := range seen {
			convey.So(s.Reason, convey.ShouldEqual, "")
			convey.So(s.Outcome, convey.ShouldEqual, bench.OutcomeFinished)
		}
		awaitServed(ctx, t, processes[1].CallerAddr, 3)
		convey.So(awaitNoHolds(ctx, f), convey.ShouldEqual, 0)
	})
}
