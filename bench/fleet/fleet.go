// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fleet measures what being in a fleet costs a box: it runs real boxes in one process,
// on loopback, with a stand-in for the platform's store that lists endpoints which nobody
// asks. What is measured is shared out over the boxes.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"runtime/pprof"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"runridge.example/runridge/box"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/setting"
	"runridge.example/runridge/platform"
	"runridge.example/runridge/platform/standin"
)

// Config says what to run.
type Config struct {
	Boxes, Endpoints, Zones int
	// Quiet is how long the fleet is measured while nothing happens.
	Quiet time.Duration
	// Profile and StartProfile are the files for processor profiles of the quiet time and
	// of what goes before it; empty is none.
	Profile, StartProfile string
	Log                   log.Logger
}

const (
	service = "model"
	// page is how many objects the store lists at once.
	page = 200
	// startBound ends a run whose fleet does not come together, and reachBound one whose
	// boxes do not learn of a change.
	startBound = 2 * time.Minute
	reachBound = 30 * time.Second
	slots      = 24
	// reads and writes are the rates of the store that the boxes are told.
	reads = 16_000
)

// fleet is what runs.
type fleet struct {
	cfg   Config
	store *standin.Store
	boxes []*box.Box
	ended errgroup.Group
	stops []context.CancelFunc
	// version is that of the configuration.
	version int
}

// Run measures one fleet.
func Run(cfg Config) (Report, error) {
	f := &fleet{cfg: cfg, store: standin.NewStore()}
	defer f.store.Close()
	f.store.SetPage(page)
	for i := range cfg.Endpoints {
		f.putEndpoint(i, false)
	}
	f.configure()
	out := Report{Boxes: cfg.Boxes, Endpoints: cfg.Endpoints}
	err := f.measure(&out)
	for _, stop := range f.stops {
		stop()
	}
	if ended := f.ended.Wait(); err == nil {
		err = ended
	}
	return out, err
}

func (f *fleet) measure(out *Report) error {
	if err := f.startAll(out); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	if err := f.quiet(out); err != nil {
		return err
	}
	f.configure()
	generation := f.version
	var err error
	if out.Change, err = f.reach(time.Now(), reachBound, func(b *box.Box) bool {
		return len(b.Table().Routes) >= generation
	}); err != nil {
		return fmt.Errorf("change of the configuration: %w", err)
	}
	f.putEndpoint(0, true)
	if out.Endpoint, err = f.reach(time.Now(), reachBound, func(b *box.Box) bool {
		status, known := b.Directory().Status(endpointID(0))
		return known && status.Draining
	}); err != nil {
		return fmt.Errorf("endpoint that drains: %w", err)
	}
	return nil
}

// startAll starts the boxes and measures until some time after they know each other: the last
// changes of membership are not the quiet time's.
func (f *fleet) startAll(out *Report) error {
	stop, err := profile(f.cfg.StartProfile)
	if err != nil {
		return err
	}
	defer stop()
	begun, before, calls := time.Now(), usage(), f.store.Calls()
	for i := range f.cfg.Boxes {
		if err := f.start(i); err != nil {
			return err
		}
	}
	if out.Start, err = f.reach(begun, startBound, f.whole); err != nil {
		return err
	}
	time.Sleep(f.cfg.Quiet)
	n := float64(f.cfg.Boxes)
	out.StartSeconds = (usage().cpu - before.cpu).Seconds() / n
	out.StartCalls = float64(f.store.Calls()-calls) / n
	out.StartSent = make(map[string]float64)
	for kind, bytes := range f.sent() {
		out.StartSent[kind] = float64(bytes) / n
	}
	return nil
}

// profile begins a profile of the processor; the function that it returns ends it.
func profile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}

// whole says whether a box is ready and knows all others and all endpoints.
func (f *fleet) whole(b *box.Box) bool {
	_, known := b.Directory().Status(endpointID(f.cfg.Endpoints - 1))
	return known && b.Ready() && b.LiveBoxes() == f.cfg.Boxes
}

func endpointID(i int) string { return fmt.Sprintf("i-%08x", i) }

func (f *fleet) zone(i int) string { return fmt.Sprintf("zone-%c", 'a'+rune(i%f.cfg.Zones)) }

// putEndpoint writes the entry of an endpoint.
func (f *fleet) putEndpoint(i int, draining bool) {
	state := "ready"
	if draining {
		state = "draining"
	}
	f.store.Put("servers", endpointID(i), map[string]any{
		"service": service, "address": fmt.Sprintf("127.2.%d.%d:9", i/250%250, i%250), "zone": f.zone(i), "version": "v1",
		"slots": slots, "state": state, "stage": "decode", "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// configure accepts the next configuration, with one route more.
func (f *fleet) configure() {
	f.version++
	c := standin.Configuration{Version: f.version, Services: []standin.Service{{Name: service, Engines: true, Slots: slots, HoldS: 1, SwitchS: 1}}}
	for i := range f.version {
		c.Routes = append(c.Routes, standin.Route{Name: fmt.Sprintf("r%d", i), Service: service, Kind: "streaming", TimeoutMS: 5000, TargetMS: 900, MaxAttempts: 1})
	}
	f.store.Configure(c)
}

// start runs a box.
func (f *fleet) start(i int) error {
	names := platform.Names()
	const any = "127.0.0.1:0"
	b, err := box.New(setting.Box{
		Name: fmt.Sprintf("box-%04d", i), Zone: f.zone(i), BoxListen: any, OperatorListen: any,
		Platform: f.store.Address(), PlatformProtocol: setting.PlatformObjects, PlatformReadsPerSecond: reads, StopSeconds: 1,
		Relay: setting.Relay{Listen: any, ReadyListen: any, RetryRatio: 0.2, RetrySlack: 1000, RetryWindowSeconds: 10},
	}, box.Options{Log: f.cfg.Log, Platform: platform.New(f.store.Address()), Names: &names})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	f.boxes = append(f.boxes, b)
	f.stops = append(f.stops, stop)
	f.ended.Go(func() error { return b.Run(ctx) })
	return nil
}

// quiet measures the fleet while nothing happens.
func (f *fleet) quiet(out *Report) error {
	stop, err := profile(f.cfg.Profile)
	if err != nil {
		return err
	}
	defer stop()
	before, sent, calls := usage(), f.sent(), f.store.Calls()
	time.Sleep(f.cfg.Quiet)
	after := usage()
	n := float64(f.cfg.Boxes)
	seconds := f.cfg.Quiet.Seconds()
	out.Cores = (after.cpu - before.cpu).Seconds() / seconds / n
	out.Switches = float64(after.switches-before.switches) / seconds / n
	out.Calls = float64(f.store.Calls()-calls) / seconds
	out.Sent = make(map[string]float64)
	for kind, bytes := range f.sent() {
		if more := bytes - sent[kind]; more > 0 {
			out.Sent[kind] = float64(more) / seconds / n
		}
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	out.HeapMB = float64(m.HeapAlloc) / n / bytesPerMB
	out.StackMB = float64(m.StackInuse) / n / bytesPerMB
	out.Goroutines = float64(runtime.NumGoroutine()) / n
	return nil
}

const bytesPerMB = 1 << 20

// used is what this process has used.
type used struct {
	cpu      time.Duration
	switches int64
}

func usage() used {
	var r syscall.Rusage
	// The call fails for arguments only.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return used{cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), switches: r.Nvcsw}
}

// sent is what all boxes have sent to each other, in bytes by kind and distance.
func (f *fleet) sent() map[string]uint64 {
	out := make(map[string]uint64)
	for _, b := range f.boxes {
		for _, flow := range b.Status().Flows {
			out[flow.Kind+", "+flow.Distance] += flow.Bytes
		}
	}
	return out
}
