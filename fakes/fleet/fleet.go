// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fleet starts real boxes with stand-ins of the platform, of a table's
// engines and of its plain services in one process, on loopback. Tests and
// measurements run against it.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"runridge.example/runridge/box"
	"runridge.example/runridge/coordination/follow"
	"runridge.example/runridge/fakes/engine"
	"runridge.example/runridge/fakes/plain"
	"runridge.example/runridge/fakes/platform"
	"runridge.example/runridge/fakes/process"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/setting"
	"runridge.example/runridge/protocol/platformapi"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// Config describes the fleet to start.
type Config struct {
	Table table.Table
	Boxes int
	// Policy is the boxes' scheduling policy.
	Policy schedule.Policy
	// Skew is the ratio of the engines' real speed to the speed in the table: 0.8 is a
	// fifth slower. 0 selects 1.
	Skew float64
	// ReportLag is the age of load reports; every GapEvery-th page of cache events is lost.
	ReportLag time.Duration
	GapEvery  int
	// CacheTokens is the capacity of each engine's prefix cache, in tokens; 0 selects a default.
	CacheTokens int
	// ResultTTL is how long engines keep a prefill result; 0 selects their default.
	ResultTTL time.Duration
	// EndsAt, if not empty, crashes each engine that is to prefill a prompt that contains it.
	EndsAt string
	// Software returns the version of an engine's software, by its name; nil means that none is
	// announced.
	Software func(engine string) string
	// StepTimeoutMS is the boxes' timeout for an order to an engine, in milliseconds.
	StepTimeoutMS int
	Log           log.Logger
}

// Fleet is a running fleet. Engines and Plain are by endpoint name.
type Fleet struct {
	Platform *platform.Server
	Engines  map[string]*engine.Engine
	Plain    map[string]*plain.Server
	Links    *engine.Links
	Ledger   *engine.Ledger
	Boxes    []*Member

	cfg     Config
	ctx     context.Context
	cancel  context.CancelFunc
	running errgroup.Group
}

// Member is one box of the fleet.
type Member struct {
	Name   string
	Box    *box.Box
	cancel context.CancelFunc
	done   chan struct{}
}

// Stop performs a planned stop of the box and waits for its end.
func (m *Member) Stop() {
	m.cancel()
	<-m.done
}

const (
	pollInterval      = 200 * time.Millisecond
	settleTime        = 300 * time.Millisecond
	readyTimeout      = 10 * time.Second
	readyPollInterval = 2 * time.Millisecond
	// defaultCacheTokens is the default capacity of an engine's prefix cache, in tokens.
	defaultCacheTokens = 60_000
)

// Start starts a fleet and waits until all its boxes are ready. The fleet stops when ctx ends or
// Stop is called.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	if cfg.Skew <= 0 {
		cfg.Skew = 1
	}
	if cfg.CacheTokens == 0 {
		cfg.CacheTokens = defaultCacheTokens
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{
		Platform: platform.New(),
		Engines:  make(map[string]*engine.Engine),
		Plain:    make(map[string]*plain.Server),
		Links:    engine.NewLinks(cfg.Table.LinkRate),
		Ledger:   engine.NewLedger(),
		cfg:      cfg,
		ctx:      ctx,
		cancel:   cancel,
	}
	if err := f.start(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	if err := f.Platform.Start(f.ctx); err != nil {
		return err
	}
	for _, e := range f.cfg.Table.Endpoints {
		if p, ok := f.cfg.Table.Pool(e.Pool); ok && p.Role == table.RolePlain {
			if err := f.startPlain(e); err != nil {
				return err
			}
			continue
		}
		if err := f.startEngine(e); err != nil {
			return err
		}
	}
	data, err := json.Marshal(f.cfg.Table)
	if err != nil {
		return err
	}
	f.Platform.Put(follow.ObjectName, data)
	for i := range f.cfg.Boxes {
		if _, err := f.AddBox(fmt.Sprintf("box-%d", i+1)); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// startPlain starts the stand-in for a plain service's endpoint and puts its address in the table.
func (f *Fleet) startPlain(e table.Endpoint) error {
	s, err := plain.Start(f.ctx)
	if err != nil {
		return err
	}
	f.Plain[e.Name] = s
	e.Address = s.Addr()
	f.cfg.Table = f.cfg.Table.WithEndpoint(e)
	return nil
}

// startEngine starts the stand-in for an engine and puts its address in the table.
func (f *Fleet) startEngine(e table.Endpoint) error {
	software := ""
	if f.cfg.Software != nil {
		software = f.cfg.Software(e.Name)
	}
	fake := engine.New(engine.Config{
		Name:            e.Name,
		Software:        software,
		Zone:            e.Zone,
		PrefillRate:     float64(e.PrefillTokensPerSecond) * f.cfg.Skew,
		StepBase:        time.Duration(float64(e.StepBaseUS)/f.cfg.Skew) * time.Microsecond,
		StepPer:         time.Duration(float64(e.StepPerRequestUS)/f.cfg.Skew) * time.Microsecond,
		Slots:           e.Slots,
		KVTokens:        e.KVTokens,
		KVBytesPerToken: e.KVBytesPerToken,
		CacheTokens:     f.cfg.CacheTokens,
		ResultTTL:       f.cfg.ResultTTL,
		ReportLag:       f.cfg.ReportLag,
		GapEvery:        f.cfg.GapEvery,
		CrashPrompt:     f.cfg.EndsAt,
		Links:           f.Links,
		Ledger:          f.Ledger,
	})
	if err := fake.Start(f.ctx); err != nil {
		return err
	}
	f.Engines[e.Name] = fake
	e.Address = fake.Addr()
	f.cfg.Table = f.cfg.Table.WithEndpoint(e)
	return nil
}

// AddBox starts another box and adds it to the platform's list. It does not wait until the box is ready.
func (f *Fleet) AddBox(name string) (*Member, error) {
	zones := f.cfg.Table.Zones
	zone := zones[len(f.Boxes)%len(zones)].Name
	b, err := box.New(setting.Box{
		Name:           name,
		Zone:           zone,
		CallerListen:   "127.0.0.1:0",
		BoxListen:      "127.0.0.1:0",
		OperatorListen: "127.0.0.1:0",
		Platform:       f.Platform.Addr(),
		Limits:         setting.Limits{StepTimeoutMS: f.cfg.StepTimeoutMS},

		OverloadDelayMS: setting.MaxOverloadDelayMS,
	}, box.Options{Policy: f.cfg.Policy, Log: f.cfg.Log, PollBoxes: pollInterval, Settle: settleTime})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(f.ctx)
	m := &Member{Name: name, Box: b, cancel: cancel, done: make(chan struct{})}
	f.Boxes = append(f.Boxes, m)
	f.Platform.SetBox(platformapi.Box{Name: name, Address: b.BoxAddr(), Zone: zone})
	f.running.Go(func() error {
		defer close(m.done)
		return b.Run(ctx)
	})
	return m, nil
}

// processRepeatSeconds is the repeat window of boxes that run as processes, in seconds. It is short,
// since some tests wait for a full one.
const processRepeatSeconds = 3

// AddProcess starts the router program as a box and adds it to the platform's list. Its settings
// and its log are files in dir.
func (f *Fleet) AddProcess(program, dir, name, zone string) (*process.Process, error) {
	const anyPort = "127.0.0.1:0"
	p, err := process.Start(program, dir, setting.Box{
		Name: name, Zone: zone, Platform: f.Platform.Addr(), RepeatWindowSeconds: processRepeatSeconds, OverloadDelayMS: setting.MaxOverloadDelayMS,
		CallerListen: anyPort, BoxListen: anyPort, OperatorListen: anyPort,
	})
	if err != nil {
		return nil, err
	}
	f.Platform.SetBox(platformapi.Box{Name: name, Address: p.Settings().BoxListen, Zone: zone})
	return p, nil
}

// Table returns the table with the real addresses of the endpoints.
func (f *Fleet) Table() table.Table {
	return f.cfg.Table
}

// SetTable publishes a changed table on the platform.
func (f *Fleet) SetTable(t table.Table) error {
	data, err := json.Marshal(t)
	if err != nil {
		return err
	}
	f.cfg.Table = t
	f.Platform.Put(follow.ObjectName, data)
	return nil
}

// RestartEngine starts an engine again after it was killed or has crashed, at the same address.
func (f *Fleet) RestartEngine(name string) error {
	return f.Engines[name].Start(f.ctx)
}

// awaitReady waits until each box is ready and knows the others, and errors after readyTimeout.
func (f *Fleet) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for {
		ready := 0
		for _, m := range f.Boxes {
			if m.Box.Ready() && m.Box.LiveBoxes() == len(f.Boxes) {
				ready++
			}
		}
		if ready == len(f.Boxes) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d boxes ready after %s", ready, len(f.Boxes), readyTimeout)
		}
		time.Sleep(readyPollInterval)
	}
}

// Held returns the number of holds on all engines.
func (f *Fleet) Held() int {
	held := 0
	for _, e := range f.Engines {
		held += e.Held()
	}
	return held
}

// Stop stops the fleet and waits for its boxes.
func (f *Fleet) Stop() {
	f.cancel()
	_ = f.running.Wait()
}
