// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package soak runs router processes against a stand-in platform in a process of its own. It
// injects faults from outside by a seeded schedule and checks what callers and endpoints saw
// against the router's promises.
package soak

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"runridge.example/runridge/bench/soak/check"
	"runridge.example/runridge/bench/soak/proxy"
	"runridge.example/runridge/bench/soak/schedule"
	"runridge.example/runridge/platform/standin"
)

// Config configures a run.
type Config struct {
	// Router is the path of the router's executable, and Site the command line of a
	// process that runs ServeSite.
	Router string
	Site   []string
	// Dir is the directory for settings and logs.
	Dir      string
	Seed     uint64
	Boxes    int
	Workers  int
	Faults   int
	Length   time.Duration
	Kinds    []schedule.Kind
	Features Features
	LogLevel string
	// Room is the factor by which time bounds are extended.
	Room float64
	// Out receives a line for each fault when it begins.
	Out io.Writer
}

// Features are the optional features that a deployment can enable.
type Features struct {
	// Cold has endpoints start cold, and Regions restricts a route and an account to one
	// region.
	Cold, Regions bool
	// Versions has engines of several software versions side by side, and callers that take streams
	// up at other boxes.
	Versions bool
}

// Result holds the outcome of a run.
type Result struct {
	// Statuses counts answers by HTTP status; 0 counts requests without an answer.
	Statuses map[int]int
	Faults   map[schedule.Kind]int
	Skipped  int
	// Stalled is the total time during which the machine was stalled.
	Stalled  time.Duration
	Goodput  []Goodput
	Report   *check.Report
	Schedule []schedule.Event
}

const (
	// overloadDelay is the boxes' bound on the delay of their messages. Processes that share a machine
	// delay each other far more than boxes do.
	overloadDelay = 100 * time.Millisecond
	// warmUp is the time before the first fault.
	warmUp = 3 * time.Second
	// recovery is the bound that the platform's specification sets from the last fault to
	// full recovery, and recoveredTime how long service is checked after that.
	recovery      = 15 * time.Second
	recoveredTime = 3 * time.Second
	// minFaultTime is the minimum length of the period in which faults begin.
	minFaultTime = 5 * time.Second
)

// run is the state of one run.
type run struct {
	cfg    Config
	site   *siteProcess
	net    *proxy.Net
	owners *proxy.Owners
	boxes  []*box
	places []*endpointPlace
	report *check.Report
	start  time.Time

	mutex    sync.Mutex
	record   check.Record
	samples  []tableSample
	tables   []tableChange
	result   Result
	operator *operator
	// crowded is the box to which most callers open new connections; nil if there is none.
	crowded atomic.Pointer[box]
	// active counts the faults that last now.
	active sync.WaitGroup
}

// Run executes the schedule of a configuration and checks the outcome.
func Run(ctx context.Context, cfg Config) (Result, error) {
	r := &run{cfg: cfg, owners: proxy.NewOwners(), report: &check.Report{}, operator: newOperator(cfg)}
	r.result = Result{Statuses: make(map[int]int), Faults: make(map[schedule.Kind]int), Report: r.report}
	r.net = proxy.New(r.distance())
	defer r.net.Close()
	if err := r.startAll(ctx); err != nil {
		return r.result, err
	}
	defer r.stopAll()
	r.execute(ctx)
	if err := r.site.call("See", standin.None{}, &r.record.Observed); err != nil {
		return r.result, err
	}
	r.record.Ended = time.Now()
	if err := r.readOverloads(); err != nil {
		return r.result, err
	}
	r.checkAll()
	return r.result, nil
}

// Schedule draws the schedule of a run.
func Schedule(cfg Config) []schedule.Event {
	last := max(cfg.Length-warmUp-recovery-recoveredTime, minFaultTime) + warmUp
	return schedule.Draw(schedule.Config{
		Seed: cfg.Seed, Boxes: cfg.Boxes, Places: len(layout()),
		Begin: warmUp, End: last, Faults: cfg.Faults, Kinds: cfg.Kinds,
	})
}

// execute runs the load, injects the faults and waits for recovery.
func (r *run) execute(ctx context.Context) {
	load, endLoad := context.WithCancel(ctx)
	watch, endWatch := context.WithCancel(ctx)
	var callers, watchers sync.WaitGroup
	for i := range r.cfg.Boxes * r.cfg.Workers {
		callers.Go(func() { r.runCaller(load, i) })
	}
	watchers.Go(func() { r.watchTables(watch) })
	watchers.Go(func() { r.detectStalls(watch) })
	r.start = time.Now()
	r.result.Schedule = Schedule(r.cfg)
	for _, e := range r.result.Schedule {
		sleepUntil(ctx, r.start.Add(e.At))
		if ctx.Err() != nil {
			break
		}
		r.startEvent(ctx, e)
	}
	r.active.Wait()
	sleepUntil(ctx, time.Now().Add(recovery+recoveredTime))
	endLoad()
	callers.Wait()
	// Prefill results that are kept now expire, or are freed, within their lifetime.
	sleepUntil(ctx, time.Now().Add(resultLifetime))
	endWatch()
	watchers.Wait()
}

func sleepUntil(ctx context.Context, at time.Time) {
	select {
	case <-time.After(time.Until(at)):
	case <-ctx.Done():
	}
}

// drainBound is how long after the store has acknowledged that an endpoint leaves requests may reach it.
const drainBound = 2 * time.Second

// bounds returns the bounds of the platform's specification, with time bounds extended by Room but for that of
// leaving endpoints: stalls of the machine are recorded as faults.
func (r *run) bounds() check.Bounds {
	room := func(d time.Duration) time.Duration { return time.Duration(float64(d) * r.cfg.Room) }
	b := check.Bounds{
		Gone: room(500 * time.Millisecond), Leaving: drainBound, KeyWithdrawn: room(5 * time.Second),
		KeyGiven:    room(tableBound),
		ZoneDrained: room(5 * time.Second), Answered: room(500 * time.Millisecond),
		QuotaWindow: quotaWindow, QuotaOverage: quotaOverage, QuotaSlack: quotaSlack,
		RetryWindow: retryWindow, RetryRatio: retryRatio, RetrySlack: retrySlack,
		Lease:   lease,
		Contact: room(contactBound),
		Stable:  contactBound,
	}
	if r.cfg.Features.Cold {
		b.ColdPace, b.ColdOverage, b.ColdSlack = coldPace, coldOverage, coldSlack
	}
	return b
}
