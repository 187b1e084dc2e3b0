// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package box puts the parts of one entry box together and runs them. The
// router's command and the tests start boxes through it.
package box

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"runridge.example/runridge/coordination/cleanup"
	"runridge.example/runridge/coordination/dedup"
	"runridge.example/runridge/coordination/dispatch"
	"runridge.example/runridge/coordination/follow"
	"runridge.example/runridge/coordination/home"
	members "runridge.example/runridge/coordination/member"
	"runridge.example/runridge/coordination/owner"
	"runridge.example/runridge/coordination/watch"
	"runridge.example/runridge/modules/invalid"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/metric"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/modules/setting"
	"runridge.example/runridge/modules/sleep"
	"runridge.example/runridge/protocol/boxwire"
	"runridge.example/runridge/protocol/relayapi"
	records "runridge.example/runridge/state/dedup"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/member"
	"runridge.example/runridge/state/rank"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
	"runridge.example/runridge/transport/boxnet"
	"runridge.example/runridge/transport/callerhttp"
	"runridge.example/runridge/transport/enginehttp"
	"runridge.example/runridge/transport/operatorhttp"
	"runridge.example/runridge/transport/plainhttp"
	"runridge.example/runridge/transport/platformhttp"
)

// Options are what the command and tests may set beside the settings.
type Options struct {
	// Policy is the scheduling policy; experiments change it.
	Policy schedule.Policy
	// Incarnation tells this start of the box from earlier ones; 0 takes the
	// time.
	Incarnation uint64
	Log         log.Logger
	// ProbePeriod is the time between two probes of other boxes.
	ProbePeriod time.Duration
	// Settle bounds how long a starting box waits for the others' word on the
	// table.
	Settle time.Duration
	// Window is how long a request with an idempotency key is recognized.
	Window time.Duration
	// Platform serves routed services; nil means that there are none, and the
	// platform keeps the table alone.
	Platform RelayPlatform
	// Names are the headers of routed services; nil is the product's own.
	Names *relayapi.Names
	// PollBoxes is how often the platform's list of boxes is read.
	PollBoxes time.Duration
}

const (
	defaultPoll = 2 * time.Second
	// probeShare is how much shorter a probe's timeout is than its period.
	probeShare = 3
	// keyRank is how many boxes keep a key's record.
	keyRank = 2
)

// Box is one running entry box.
type Box struct {
	settings setting.Box
	options  Options
	engine   *enginehttp.Client
	plain    *plainhttp.Client
	platform Platform
	// ownPlatform is closed with the box.
	ownPlatform *platformhttp.Client
	net         *boxnet.Net
	others      peers
	follower    *follow.Follower
	homes       *home.Homes
	router      *home.Router
	releaser    *cleanup.Releaser
	dispatch    *dispatch.Dispatcher
	// decisions takes the homes' decisions to the part that asked.
	decisions decisions
	members   *members.Members
	watch     *watch.Watch
	keeper    *dedup.Keeper
	claimer   *dedup.Claimer
	callers   *callerhttp.Server
	metrics   *metric.Metrics

	callerListener net.Listener
	boxListener    net.Listener
	opListener     net.Listener
	stopping       atomic.Bool
	names          atomic.Pointer[boxwire.Names]
	routed         *routed
	// stopTime, in nanoseconds, and lingerMS may change while the box runs.
	stopTime, lingerMS atomic.Int64
	// leavingSince is when a planned stop began, in nanoseconds since 1970.
	leavingSince atomic.Int64
	merging      merging
	known        atomic.Pointer[directory.Directory]
	netCtx       context.Context
	endNet       context.CancelFunc
}

// New makes a box and opens its listeners.
func New(s setting.Box, o Options) (*Box, error) {
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixMilli())
	}
	if o.PollBoxes <= 0 {
		o.PollBoxes = defaultPoll
	}
	if o.Window <= 0 {
		o.Window = time.Duration(s.RepeatWindowSeconds) * time.Second
	}
	if o.ProbePeriod <= 0 {
		o.ProbePeriod = member.DefaultPeriod
	}
	o.Log = o.Log.WithFields(log.Fields{log.FieldBox: s.Name, log.FieldIncarnation: o.Incarnation})
	key, err := readKey(s.BoxKeyFile)
	if err != nil {
		return nil, err
	}
	b := &Box{
		settings: s,
		options:  o,
		engine:   enginehttp.New(),
		plain:    plainhttp.New(),
	}
	if o.Platform != nil {
		counts := &callCounts{counts: make(map[string]int)}
		platform := measured{
			RelayPlatform: o.Platform,
			metrics:       func() *metric.Metrics { return b.metrics },
			counts:        counts,
		}
		b.platform = platform
		b.routed = &routed{platform: platform, calls: counts, changed: ring.New[struct{}](1)}
	} else {
		b.ownPlatform = platformhttp.New(s.Platform)
		b.platform = b.ownPlatform
	}
	limitMemory(s.MemoryLimitMB)
	b.stopTime.Store(stopTime(s))
	b.lingerMS.Store(int64(s.LingerMS))
	// The listeners come first: the box tells the others where it listens.
	if err := b.listen(); err != nil {
		return nil, errors.Join(err, b.closeListeners())
	}
	b.netCtx, b.endNet = context.WithCancel(context.Background())
	if b.metrics, err = b.newMetrics(); err != nil {
		return nil, err
	}
	b.assemble(key)
	return b, nil
}

// minKey is the least length of the key that boxes share, in bytes.
const minKey = 16

func readKey(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	key, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("setting box_key_file: %w", err)
	}
	if len(key) < minKey {
		return nil, invalid.FieldError{Field: "setting box_key_file", Value: path, Allowed: fmt.Sprintf("a file of at least %d bytes", minKey)}
	}
	return key, nil
}

// assemble joins the parts.
func (b *Box) assemble(key []byte) {
	s, o := b.settings, b.options
	b.net = boxnet.New(b.netCtx, boxnet.Config{
		Box:         s.Name,
		Incarnation: o.Incarnation,
		Key:         key,
		Handler:     b.receive,
		OnRefused:   func(box string) { b.members.Refused(box) },
		Log:         o.Log,
	})
	others := peers{
		net:        b.net,
		generation: func() uint64 { return b.follower.Table().Generation },
		age:        func() time.Duration { return b.follower.Age() },
	}
	b.others = others
	b.router = home.NewRouter(s.Name, others)
	b.follower = follow.New(follow.Config{
		Self:        s.Name,
		Platform:    b.platform,
		Peers:       others,
		Ranked:      b.router.Ranked,
		Settle:      b.settle(),
		FirstAtOnce: b.routed != nil,
		Reads:       b.tableReads(),
		Wait:        b.tableWait(),
		Log:         o.Log,
	})
	owners := owner.New(owner.Config{
		Members: func() members.Snapshot { return b.members.Snapshot() },
		Prober:  b.net,
	})
	b.keeper = dedup.NewKeeper(dedup.Config{
		Self:        s.Name,
		Incarnation: o.Incarnation,
		Store:       records.Config{Window: o.Window},
		Sender:      keyMessages{b},
		Rank:        func(key string, boxes []string) []string { return rank.Of(boxes).First(key, keyRank) },
	})
	b.claimer = dedup.NewClaimer(dedup.ClaimerConfig{
		Incarnation: o.Incarnation,
		Asker:       keyMessages{b},
		Ranked:      b.router.Ranked,
	})
	b.releaser = cleanup.New(cleanup.Config{Engine: b.engine, Log: o.Log})
	b.watch = watch.New(watch.Config{
		Engine:   b.engine,
		Homes:    homesOf{b},
		Checker:  b.router,
		Owners:   owners,
		Releaser: b.releaser,
		Log:      o.Log,
	})
	b.homes = home.New(home.Config{
		Self:    s.Name,
		Answers: b.router,
		Watch:   b.watchSetter(),
		Policy:  o.Policy,
		Log:     o.Log,
		Seed:    xxhash.Sum64String(s.Name) ^ o.Incarnation,
	})
	b.dispatch = dispatch.New(dispatch.Config{
		Box:         s.Name,
		Incarnation: o.Incarnation,
		Zone:        s.Zone,
		Engine:      b.engine,
		Homes:       b.router,
		Releaser:    b.releaser,
		Tables:      b.follower,
		Keys:        b.claimer,
		Owners:      owners,
		Window:      o.Window,
		Metrics:     b.metrics,
		MaxAttempts: uint32(s.Limits.MaxAttempts),
		StepTimeout: time.Duration(s.Limits.StepTimeoutMS) * time.Millisecond,
		Log:         o.Log,
	})
	b.members = members.New(members.Config{
		View: member.Config{
			Self: member.Box{
				Name: s.Name, Address: b.BoxAddr(), Zone: s.Zone,
				Start: o.Incarnation, Incarnation: o.Incarnation,
			},
			Period:  o.ProbePeriod,
			Timeout: o.ProbePeriod / probeShare,
			Seed:    xxhash.Sum64String(s.Name) ^ o.Incarnation,
		},
		Sender:   others,
		Platform: b.platform,
		Poll:     o.PollBoxes,
		OnChange: b.membersChanged,
		OnPause: func() {
			b.homes.Paused()
			b.pauseRouted()
			b.keeper.Distrust()
		},
		Log: o.Log,
	})
	b.names.Store(boxwire.NewNames())
	b.decisions = decisions{dispatch: b.dispatch}
	if b.routed != nil {
		b.assembleRouted(o.relayNames())
		b.decisions.relay = b.routed.relay
	}
	b.router.Connect(b.homes, b.decisions)
	b.follower.OnChange(b.setTable)
	b.callers = callerhttp.New(callerhttp.Config{
		Dispatcher:    b.dispatch,
		Plain:         b.plain,
		Tables:        b.follower,
		Ready:         b.Ready,
		Zone:          s.Zone,
		MaxBody:       s.Limits.MaxBodyBytes,
		MaxHeaders:    s.Limits.MaxHeaderBytes,
		MaxConcurrent: s.Limits.MaxConcurrent,
		BytesPerToken: s.Limits.BytesPerToken,
		Log:           o.Log,
	})
}

func (b *Box) listen() error {
	var err error
	if b.settings.CallerListen != "" {
		if b.callerListener, err = net.Listen("tcp", b.settings.CallerListen); err != nil {
			return fmt.Errorf("setting caller_listen: %w", err)
		}
	}
	if b.routed != nil {
		if err := b.routed.listen(b.settings.Relay.Listen, b.settings.Relay.ReadyListen); err != nil {
			return err
		}
	}
	if b.boxListener, err = net.Listen("tcp", b.settings.BoxListen); err != nil {
		return fmt.Errorf("setting box_listen: %w", err)
	}
	if b.opListener, err = net.Listen("tcp", b.settings.OperatorListen); err != nil {
		return fmt.Errorf("setting operator_listen: %w", err)
	}
	return nil
}

// closeListeners closes those that were opened before one failed.
func (b *Box) closeListeners() error {
	opened := []net.Listener{b.callerListener, b.boxListener, b.opListener}
	if b.routed != nil {
		opened = append(opened, b.routed.listener, b.routed.ready)
	}
	var err error
	for _, l := range opened {
		if l != nil {
			err = errors.Join(err, l.Close())
		}
	}
	return err
}

// CallerAddr is where callers reach the box; empty if it serves none.
func (b *Box) CallerAddr() string {
	if b.callerListener == nil {
		return ""
	}
	return b.callerListener.Addr().String()
}

// OperatorAddr is where operators reach it.
func (b *Box) OperatorAddr() string { return b.opListener.Addr().String() }

// BoxAddr is where other boxes reach it.
func (b *Box) BoxAddr() string { return b.boxListener.Addr().String() }

// Ready says whether the box takes requests: it has a table and is not
// stopping.
func (b *Box) Ready() bool {
	known := b.routed == nil || b.routed.discoverer.Directory().Known()
	return known && b.follower.Table().Generation > 0 && !b.stopping.Load()
}

// LiveBoxes is the number of boxes that this one takes for live, with itself.
func (b *Box) LiveBoxes() int { return b.router.Live() }

// Table is the table in force.
func (b *Box) Table() table.Table { return b.follower.Table() }

// Offer takes a table as another box would hand it over.
func (b *Box) Offer(t table.Table) { b.follower.Offer(t) }

// Heard takes in the generation that another box has in force, as its messages do.
func (b *Box) Heard(from string, generation uint64) { b.follower.Heard(from, generation) }

// Active is the number of requests under way.
func (b *Box) Active() int {
	if b.routed == nil {
		return b.dispatch.Active()
	}
	return b.dispatch.Active() + b.routed.relay.Active()
}

// PendingReleases is the number of holds not yet acknowledged as free.
func (b *Box) PendingReleases() int { return b.releaser.Pending() }

// Traffic is the bytes sent to and received from other boxes, and the
// messages sent.
func (b *Box) Traffic() (sent, received, messages uint64) { return b.net.Traffic() }

// Run serves until the context ends, then finishes what is in flight.
func (b *Box) Run(ctx context.Context) error {
	// The duties outlive the listener: requests in flight still need them.
	duties, endDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer endDuties()
	var running errgroup.Group
	running.Go(func() error { return b.follower.Run(duties) })
	running.Go(func() error { return b.homes.Run(duties) })
	running.Go(func() error { return b.releaser.Run(duties) })
	running.Go(func() error { return b.net.Serve(duties, b.boxListener) })
	running.Go(func() error { return operatorhttp.Serve(duties, b.opListener, b.Status, b.metrics.Handler()) })
	running.Go(func() error { return b.members.Run(duties) })
	running.Go(func() error { return b.watch.Run(duties) })
	if b.routed != nil {
		running.Go(func() error { return b.routed.discoverer.Run(duties) })
		running.Go(func() error { return b.mergeChanges(duties) })
		running.Go(func() error { return b.routed.registry.Run(duties) })
		running.Go(func() error { return b.routed.calls.report(duties, b.options.Log) })
		running.Go(func() error { return b.serveReady(duties) })
		running.Go(func() error { return b.routed.server.Serve(duties, b.routed.listener) })
	}
	running.Go(func() error { return b.keeper.Run(duties) })
	b.options.Log.WithFields(log.Fields{
		"callers": b.CallerAddr(), "boxes": b.BoxAddr(), "operator": b.OperatorAddr(),
	}).Info("box_started")
	serving, endServing := context.WithCancel(duties)
	defer endServing()
	leave := context.AfterFunc(ctx, func() {
		b.leave(duties)
		endServing()
	})
	defer leave()
	served := b.serveCallers(serving)
	if b.routed != nil {
		b.stopTaking()
	}
	b.drain(duties, time.Unix(0, b.leavingSince.Load()))
	if b.routed != nil {
		b.endRouted(duties)
	}
	endDuties()
	b.endNet()
	err := errors.Join(served, running.Wait())
	err = errors.Join(err, b.metrics.Close(context.WithoutCancel(ctx)))
	b.engine.Close()
	b.plain.Close()
	if b.ownPlatform != nil {
		b.ownPlatform.Close()
	}
	b.options.Log.Info("box_stopped")
	return err
}

// leave makes the box not ready and gives its duties to others, and goes on
// serving for as long as the platform's balancer lags behind.
func (b *Box) leave(ctx context.Context) {
	b.leavingSince.Store(time.Now().UnixNano())
	b.stopping.Store(true)
	b.members.Leave()
	b.homes.Leave()
	b.leaveRouted()
	b.options.Log.WithFields(log.Fields{"active": b.Active()}).Info("box_leaving")
	sleep.For(ctx, time.Duration(b.lingerMS.Load())*time.Millisecond)
}

// drain waits until no request is in flight and no hold is left to free, or
// until the time of a planned stop that began at the given time is up.
func (b *Box) drain(ctx context.Context, begun time.Time) {
	bound := time.NewTimer(b.stopBound() - time.Since(begun))
	defer bound.Stop()
	look := time.NewTicker(drainLook)
	defer look.Stop()
	for b.Active()+b.PendingReleases() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-bound.C:
			b.options.Log.WithFields(log.Fields{"cut": b.dispatch.ActiveIDs()}).Warn("stop_bound_reached")
			return
		case <-look.C:
		}
	}
}

const (
	defaultStop = 30 * time.Second
	drainLook   = 5 * time.Millisecond
)

// stopShare is the part of a planned stop's time in which requests may end;
// the rest is for the process itself.
const stopShare = 0.9

// stopBound is how long a planned stop may take.
func (b *Box) stopBound() time.Duration {
	if given := b.stopTime.Load(); given > 0 {
		return time.Duration(float64(given) * stopShare)
	}
	return defaultStop
}

// membersChanged puts a changed view into force: who has duties, and where
// each box is.
func (b *Box) membersChanged(s members.Snapshot) {
	addresses := make(map[string]string, len(s.All))
	lost := home.Lost{Starts: make(map[string]uint64)}
	for _, other := range s.All {
		lost.Starts[other.Name] = other.Start
		if other.Name != b.settings.Name {
			// The dead are still sent probes, so that both sides of a cut
			// find each other afterwards.
			addresses[other.Name] = other.Address
		}
		if other.State == member.Dead {
			lost.Dead = append(lost.Dead, other.Name)
		}
	}
	live := make([]string, 0, len(s.Duty))
	for _, other := range s.Duty {
		live = append(live, other.Name)
	}
	b.net.SetPeers(addresses)
	b.router.SetLive(live, member.Established(s.Duty))
	b.keeper.SetBoxes(live)
	b.homes.LiveChanged(lost)
	b.dispatch.Rehome()
	if b.routed != nil {
		b.routed.quotas.FleetChanged()
		b.routed.relay.Rehome()
	}
}

// homesOf reaches the homes, which are made after the watch.
type homesOf struct{ b *Box }

// Offer hands a command to the box's homes.
func (h homesOf) Offer(c home.Command) ring.Outcome { return h.b.homes.Offer(c) }
