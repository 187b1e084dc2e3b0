// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package box assembles one entry box from its parts and runs it. The router's command and
// the tests start boxes through it.
package box

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"runridge.example/runridge/coordination/cleanup"
	"runridge.example/runridge/coordination/dedup"
	"runridge.example/runridge/coordination/dispatch"
	"runridge.example/runridge/coordination/follow"
	"runridge.example/runridge/coordination/held"
	"runridge.example/runridge/coordination/home"
	members "runridge.example/runridge/coordination/member"
	"runridge.example/runridge/coordination/notice"
	"runridge.example/runridge/coordination/overload"
	"runridge.example/runridge/coordination/quarantine"
	"runridge.example/runridge/coordination/unreadable"
	"runridge.example/runridge/coordination/watch"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/metric"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/modules/setting"
	"runridge.example/runridge/protocol/boxwire"
	"runridge.example/runridge/protocol/relayapi"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/member"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/spread"
	"runridge.example/runridge/state/table"
	"runridge.example/runridge/transport/boxnet"
	"runridge.example/runridge/transport/callerhttp"
	"runridge.example/runridge/transport/enginehttp"
	"runridge.example/runridge/transport/plainhttp"
	"runridge.example/runridge/transport/platformhttp"
	"runridge.example/runridge/transport/reach"
)

// Options are what the command and tests may set in addition to the settings.
type Options struct {
	// Policy is the scheduling policy; experiments override it.
	Policy schedule.Policy
	// Incarnation distinguishes this start of the box from earlier ones; 0 means the
	// current time in milliseconds.
	Incarnation uint64
	Log         log.Logger
	// ProbePeriod is the time between two probes of other boxes.
	ProbePeriod time.Duration
	// Settle bounds how long a starting box waits for other boxes to report their table.
	Settle time.Duration
	// Window is how long a request with an idempotency key is recognized.
	Window time.Duration
	// Platform is the platform's client for routed services. If it is nil, there are no
	// routed services, and the platform keeps only the table.
	Platform RelayPlatform
	// Names are the header names of routed services; nil means the product's own.
	Names *relayapi.Names
	// HeldBytes bounds the data held in memory for callers; 0 means a fraction of the box's
	// memory.
	HeldBytes int64
	// DialEndpoint opens connections to the addresses of endpoints of routed services; nil means
	// over TCP.
	DialEndpoint reach.Dial
	// PollBoxes is how often the platform's list of boxes is read.
	PollBoxes time.Duration
}

const (
	defaultPoll = 2 * time.Second
	// probeShare is the ratio of the probe period to the probe timeout.
	probeShare = 3
	// recordReplicas is how many boxes keep the record of an idempotency key.
	recordReplicas = 2
)

// Box is one running entry box.
type Box struct {
	settings setting.Box
	options  Options
	regions  locality.Map
	engine   *enginehttp.Client
	plain    *plainhttp.Client
	platform Platform
	// ownPlatform is the platform client that this box created and closes; nil if Options
	// gave one.
	ownPlatform *platformhttp.Client
	net         *boxnet.Net
	others      peers
	follower    *follow.Follower
	homes       *home.Homes
	router      *home.Router
	releaser    *cleanup.Releaser
	dispatch    *dispatch.Dispatcher
	// decisions passes the homes' decisions to the part that asked for them.
	decisions  decisions
	members    *members.Members
	watch      *watch.Watch
	keeper     *dedup.Keeper
	quarantine *quarantine.Keeper
	overload   *overload.Keeper
	claimer    *dedup.Claimer
	notices    *notice.Keeper
	callers    *callerhttp.Server
	metrics    *metric.Metrics
	// unreadable records the platform's objects that cannot be read.
	unreadable *unreadable.Keeper
	// held bounds the memory that holds data for callers.
	held *held.Budget

	callerListener net.Listener
	boxListener    net.Listener
	opListener     net.Listener
	stopping       atomic.Bool
	names          atomic.Pointer[boxwire.Names]
	// zones maps the names of the other boxes to their zones.
	zones atomic.Pointer[map[string]string]
	// spread determines which boxes forward updates and table changes.
	spread atomic.Pointer[spread.Fleet]
	routed *routed
	// stopTime (the time for a planned stop, in nanoseconds) and lingerMS may change while
	// the box runs.
	stopTime, lingerMS atomic.Int64
	// leavingSince is when a planned stop began, in nanoseconds since 1970.
	leavingSince atomic.Int64
	merging      merging
	known        atomic.Pointer[directory.Directory]
	netCtx       context.Context
	cancelNet    context.CancelFunc
}

// New creates a box and opens its listeners.
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
		regions:  locality.New(s.Regions),
	}
	b.notices = notice.New(notice.Config{
		OnLimit: func(l schedule.EngineLimit) { b.router.SendLimit(l) },
		Born:    b.bornOf,
		Log:     o.Log,
	})
	b.engine, b.plain = enginehttp.New(b.notices), plainhttp.New(b.notices)
	if o.Platform != nil {
		counts := &callCounts{counts: make(map[string]int)}
		platform := meteredPlatform{
			RelayPlatform: o.Platform,
			metrics:       func() *metric.Metrics { return b.metrics },
			counts:        counts,
		}
		b.platform = platform
		b.routed = &routed{platform: platform, calls: counts, directoryChanged: ring.New[struct{}](1)}
	} else {
		b.ownPlatform = platformhttp.New(s.Platform)
		b.platform = b.ownPlatform
	}
	b.unreadable = unreadable.New(unreadable.Config{Log: o.Log})
	b.platform.Observe(b.unreadable)
	limitMemory(s.MemoryLimitMB)
	b.held = held.New(held.Config{Bytes: cmp.Or(o.HeldBytes, heldBytes(s.MemoryLimitMB)), Log: o.Log})
	b.stopTime.Store(stopTime(s))
	b.lingerMS.Store(int64(s.LingerMS))
	// Listeners are opened first: the box announces its address to the others.
	if err := b.listen(); err != nil {
		return nil, errors.Join(err, b.closeListeners())
	}
	b.netCtx, b.cancelNet = context.WithCancel(context.Background())
	if b.metrics, err = b.newMetrics(); err != nil {
		return nil, err
	}
	b.assemble(key)
	return b, nil
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

// closeListeners closes the listeners opened so far, after one of them failed.
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

// CallerAddr returns the address for callers, or an empty string if the box serves none.
func (b *Box) CallerAddr() string {
	if b.callerListener == nil {
		return ""
	}
	return b.callerListener.Addr().String()
}

// OperatorAddr returns the address for operators.
func (b *Box) OperatorAddr() string { return b.opListener.Addr().String() }

// BoxAddr returns the address on which it listens for other boxes.
func (b *Box) BoxAddr() string { return b.boxListener.Addr().String() }

// Ready reports whether the box accepts requests: it has a table, knows the endpoints and
// the drained zones, and is not stopping.
func (b *Box) Ready() bool {
	known := b.routed == nil || b.merging.known.Load() && b.routed.drains.Ready()
	return known && b.follower.Table().Generation > 0 && !b.stopping.Load()
}

// LiveBoxes returns the number of boxes that this one considers live, itself included.
func (b *Box) LiveBoxes() int { return b.router.Live() }

// Table returns the table in force.
func (b *Box) Table() table.Table { return b.follower.Table() }

// ReceiveTable receives a table as if another box had sent it.
func (b *Box) ReceiveTable(t table.Table) { b.follower.Offer(t) }

// ReceiveStamp receives the stamp of the table that another box has in force, as messages between
// boxes carry it.
func (b *Box) ReceiveStamp(from string, own table.Stamp) { b.follower.Heard(from, own) }

// Active returns the number of requests in flight, including those whose callers have not
// read the whole answer yet and those of other boxes that go through this one.
func (b *Box) Active() int {
	if b.routed == nil {
		return b.dispatch.Active()
	}
	return b.dispatch.Active() + b.routed.relay.Active() + b.routed.server.Delivering() + b.net.Tunnels()
}

// PendingReleases returns the number of holds whose release is not acknowledged yet.
func (b *Box) PendingReleases() int { return b.releaser.Pending() }

// Traffic returns the bytes sent to and received from other boxes, and the number of
// messages sent.
func (b *Box) Traffic() (sent, received, messages uint64) { return b.net.Traffic() }
