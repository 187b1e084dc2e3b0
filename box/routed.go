// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/discover"
	"runridge.example/runridge/coordination/dispatch"
	"runridge.example/runridge/coordination/drain"
	"runridge.example/runridge/coordination/follow"
	members "runridge.example/runridge/coordination/member"
	"runridge.example/runridge/coordination/notice"
	"runridge.example/runridge/coordination/quota"
	"runridge.example/runridge/coordination/registry"
	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/coordination/stages"
	origins "runridge.example/runridge/coordination/streams"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/modules/setting"
	"runridge.example/runridge/protocol/boxwire"
	"runridge.example/runridge/protocol/callerapi"
	"runridge.example/runridge/protocol/relayapi"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/retry"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
	"runridge.example/runridge/transport/relayhttp"
	"runridge.example/runridge/transport/upstream"
)

// Platform is what a box reads from the platform.
type Platform interface {
	follow.Platform
	members.Platform
	// Observe sets the observer of the objects that are read, before the first read.
	Observe(o adapter.ObjectObserver)
}

// RelayPlatform is what routed services need of the platform.
type RelayPlatform interface {
	Platform
	discover.Source
	drain.Source
	registry.Platform
	stages.Leases
	origins.Store
}

// routed holds the parts of a box that serve routed services.
type routed struct {
	platform   RelayPlatform
	relay      *relay.Relay
	quotas     *quota.Keeper
	origins    *origins.Keeper
	stages     *stages.Keeper
	server     *relayhttp.Server
	endpoints  *upstream.Client
	discoverer *discover.Discoverer
	drains     *drain.Keeper
	registry   *registry.Keeper
	calls      *callCounts
	listener   net.Listener
	ready      net.Listener
	// directoryChanged gets a value when the directory has changed.
	directoryChanged *ring.Ring[struct{}]
}

const (
	// spareBoxes is how many joining boxes, not known here yet, are allowed for when a
	// bound is divided among the boxes.
	spareBoxes = 2
	// readyHeaderTimeout bounds the reading of the headers of one readiness check by the
	// balancer.
	readyHeaderTimeout = 2 * time.Second
	// routedSettle is how long a starting box waits for other boxes to name their tables: a few
	// round trips to a box and one retry.
	routedSettle = 500 * time.Millisecond
)

// assembleRouted creates the parts for routed services.
func (b *Box) assembleRouted(names relayapi.Names) {
	s := b.settings.Relay
	r := b.routed
	r.endpoints = upstream.New(upstream.Config{
		Names:   names,
		Share:   b.connectionShare,
		Notices: b.notices,
		Dial:    b.options.DialEndpoint,
		Box:     b.settings.Name,
		Zone:    b.settings.Zone,
		Regions: b.regions,
		ZoneOf:  b.zoneOf,
		Peers:   tunnelPeers{b},
		Slack:   b.overload.Slack,
		Metrics: b.metrics,
		Log:     b.options.Log,
	})
	r.discoverer = discover.New(discover.Config{
		Source:        r.platform,
		OnChange:      b.setDirectory,
		OnLost:        b.rereadPlatform,
		OnReading:     b.rereadPlatform,
		Vouches:       b.platformReached,
		OnRestore:     b.platformRestored,
		BatchDelay:    b.changePause,
		Self:          b.settings.Name,
		Peers:         b.others,
		Ranked:        b.nearRanked,
		Tree:          b.tree,
		RegionEntries: b.regionEntries,
		Readers:       b.readers(),
		Listed:        b.listed,
		Log:           b.options.Log,
	})
	r.drains = b.newDrains()
	r.quotas = quota.New(quota.Config{
		Self:   b.settings.Name,
		Peers:  b.others,
		Ranked: b.router.OwnersOf,
		Fleet:  b.fleet,
		Bound:  quotaBoundOf(s),
		Log:    b.options.Log,
	})
	r.origins = b.newOrigins()
	r.stages = stages.New(stages.Config{
		Self:    b.settings.Name,
		Leases:  r.platform,
		Engines: r.endpoints,
		Homes:   homesRef{b},
		Find:    b.findEngine,
		Known:   func(id string) bool { _, ok := r.discoverer.Directory().Status(id); return ok },
		Rules:   stageRulesOf(s),
		Metrics: b.metrics,
		Log:     b.options.Log,

		LatestRestore: r.discoverer.LatestRestore,
	})
	r.relay = relay.New(relay.Config{
		Box:          b.settings.Name,
		Zone:         b.settings.Zone,
		Regions:      b.regions,
		RoundTrip:    func(region string) time.Duration { return b.members.Delays().ToRegion(b.regions, region) },
		Slack:        b.overload.Slack,
		Endpoints:    r.endpoints,
		Homes:        b.router,
		Directory:    r.discoverer,
		Quotas:       r.quotas,
		Origins:      r.origins,
		Quarantine:   b.quarantine,
		Ready:        r.drains.Ready,
		Tables:       b.follower,
		ParsePrefill: names.ParsePrefill,
		NextID:       b.dispatch.NextID,
		Boxes:        func() int { return b.knownBoxes() + spareBoxes },
		Budget:       budgetOf(s),
		ColdBound:    coldBoundOf(s),
		Notices:      b.notices,
		Held:         b.held,
		Metrics:      b.metrics,
		Log:          b.options.Log,
	})
	r.registry = registry.New(registry.Config{
		Self: adapter.Box{
			Name: b.settings.Name, Address: b.advertised(), Zone: b.settings.Zone, Wire: uint16(boxwire.VersionCurrent),
		},
		Platform: r.platform,
		Members:  b.members.Snapshot,
		Ranked:   b.router.Ranked,
		Log:      b.options.Log,
	})
	r.server = relayhttp.New(relayhttp.Config{
		Relay:          r.relay,
		Names:          names,
		MaxConnections: connectionsFor(b.settings.MemoryLimitMB),
		Admission:      b.overload,
		Held:           b.held,
		Log:            b.options.Log,
	})
}

// Directory returns what is known of the endpoints; it is empty without routed services.
func (b *Box) Directory() directory.Directory {
	if b.routed == nil {
		return directory.Directory{}
	}
	return b.routed.discoverer.Directory()
}

// bornOf returns when an endpoint of routed services started, as far as the directory
// knows, or 0.
func (b *Box) bornOf(endpoint string) int64 {
	s, _ := b.Directory().Status(endpoint)
	return s.Born
}

// knownBoxes returns the number of boxes that may exist. Boxes that look dead from here are
// included: they may be cut off and still use their part of a shared bound.
func (b *Box) knownBoxes() int {
	s := b.members.Snapshot()
	return max(len(s.All), len(s.Listed))
}

// connectionShare returns this box's part of the connections allowed to one endpoint of a
// service; 0 means no bound.
func (b *Box) connectionShare(service string) int {
	s, ok := b.follower.Table().Service(service)
	if !ok || s.MaxConnections <= 0 {
		return 0
	}
	return max(s.MaxConnections/(b.knownBoxes()+spareBoxes), 1)
}

const (
	// defaultReads is the platform's rate limit on reads, in calls a second, if the
	// settings give none.
	defaultReads = 1000
	// readShare is the fraction of the platform's read rate that waiting for changes of
	// endpoints may use, over all boxes.
	readShare = 0.3
)

// changePause returns the pause between two waits for changes that keeps all boxes together
// within their part of the platform's read rate.
func (b *Box) changePause() time.Duration {
	reads := b.settings.PlatformReadsPerSecond
	if reads <= 0 {
		reads = defaultReads
	}
	return time.Duration(float64(b.knownBoxes()) / (readShare * reads) * float64(time.Second))
}

func (r *routed) listen(address, ready string) error {
	var err error
	if r.listener, err = net.Listen("tcp", address); err != nil {
		return fmt.Errorf("setting relay.listen: %w", err)
	}
	if r.ready, err = net.Listen("tcp", ready); err != nil {
		return fmt.Errorf("setting relay.ready_listen: %w", err)
	}
	return nil
}

// RelayAddr returns the address for callers of routed services, or an empty string if the
// box serves none.
func (b *Box) RelayAddr() string {
	if b.routed == nil {
		return ""
	}
	return b.routed.listener.Addr().String()
}

// ReadyAddr returns the address at which the platform's balancer checks readiness, or an
// empty string if the box serves no routed services.
func (b *Box) ReadyAddr() string {
	if b.routed == nil {
		return ""
	}
	return b.routed.ready.Addr().String()
}

// serveReady answers the balancer's readiness checks until the context ends.
func (b *Box) serveReady(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+callerapi.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if !b.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readyHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(b.routed.ready); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// decisions passes the homes' decisions to the part that asked for them.
type decisions struct {
	// relay is nil on a box without routed services.
	relay    *relay.Relay
	dispatch *dispatch.Dispatcher
	notices  *notice.Keeper
}

// HandleDecision passes on a decision for a request of this box, after noting the endpoints' limits
// that it carries.
func (d decisions) HandleDecision(from, group string, decision schedule.Decision) {
	switch dec := decision.(type) {
	case schedule.Grant:
		d.notices.Heard(dec.Limits)
	case schedule.DecodeAssignment:
		d.notices.Heard(dec.Limits)
	}
	if d.relay != nil && d.relay.HandleDecision(from, group, decision) {
		return
	}
	d.dispatch.HandleDecision(from, group, decision)
}

// CheckAttempts reports to a home which of the given attempts of this box are over. Attempts that
// the relay still owns are left out; the dispatcher handles the others.
func (d decisions) CheckAttempts(from, group, engine string, ids []lifecycle.AttemptID) {
	var others []lifecycle.AttemptID
	for _, id := range ids {
		if d.relay == nil || !d.relay.Owns(id.Request) {
			others = append(others, id)
		}
	}
	d.dispatch.CheckAttempts(from, group, engine, others)
}

// relayNames returns the header names of routed services.
func (o Options) relayNames() relayapi.Names {
	if o.Names != nil {
		return *o.Names
	}
	return relayapi.Default()
}

// settle returns the bound on the wait, at a start, for other boxes to report their table.
func (b *Box) settle() time.Duration {
	if b.options.Settle <= 0 && b.routed != nil {
		return routedSettle
	}
	return b.options.Settle
}

// routedTableWait bounds one wait for a new table by a box that reads the platform for
// other boxes. It is short so that a watch that the platform dropped silently is renewed
// within the 2 s in which a change has to take effect.
const routedTableWait = 1500 * time.Millisecond

func (b *Box) tableWait() time.Duration {
	if b.routed != nil {
		return routedTableWait
	}
	return 0
}

// tableReads makes the boxes that read the list of endpoints for others read the table too,
// so that both reads cover the same boxes.
func (b *Box) tableReads() func() bool {
	if b.routed == nil {
		return nil
	}
	return func() bool { return b.routed.discoverer.Reading() }
}

// tableTurn makes the boxes send changes of the table in the order in which they announce
// endpoints.
func (b *Box) tableTurn() func() time.Duration {
	if b.routed == nil {
		return nil
	}
	return func() time.Duration { return b.routed.discoverer.Turn() }
}

// watchSetter returns the function that passes engines to the watch. The watch speaks the
// product's own engine protocol; engines of routed services speak another, so they have
// none.
func (b *Box) watchSetter() func(group string, engines []table.Endpoint) {
	if b.routed != nil {
		return nil
	}
	return b.watch.Set
}

// serveCallers serves the box's own completions API, if it has one, until the context ends.
func (b *Box) serveCallers(ctx context.Context) error {
	if b.callerListener == nil {
		<-ctx.Done()
		return nil
	}
	return b.callers.Serve(ctx, b.callerListener)
}

// Reload applies the settings that may change while the box runs.
func (b *Box) Reload(s setting.Box) {
	limitMemory(s.MemoryLimitMB)
	b.stopTime.Store(stopTime(s))
	b.lingerMS.Store(int64(s.LingerMS))
	if b.routed != nil {
		b.routed.relay.SetBudget(budgetOf(s.Relay))
		b.routed.quotas.SetBound(quotaBoundOf(s.Relay))
		b.routed.stages.SetRules(stageRulesOf(s.Relay))
		b.routed.relay.SetColdBound(coldBoundOf(s.Relay))
		b.homes.SetColdBound(coldBoundOf(s.Relay))
	}
}

// stopTime returns the time for a planned stop, in nanoseconds.
func stopTime(s setting.Box) int64 {
	return int64(s.StopSeconds * float64(time.Second))
}

// budgetOf returns the retry budget from the settings.
func budgetOf(s setting.Relay) retry.Config {
	return retry.Config{
		Ratio:  s.RetryRatio,
		Slack:  s.RetrySlack,
		Window: time.Duration(s.RetryWindowSeconds * float64(time.Second)),
	}
}

// stopAccepting closes the listener and the idle connections; requests in flight continue
// to their end.
func (b *Box) stopAccepting() {
	_ = b.routed.listener.Close()
	b.routed.server.CloseIdle()
}

// closeRouted waits for callers' connections to close, then closes the connections to
// endpoints.
func (b *Box) closeRouted(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, idleConnectionWait)
	defer cancel()
	b.routed.server.Wait(call)
	b.routed.endpoints.Close()
}

// idleConnectionWait bounds the wait for connections without a request to close.
const idleConnectionWait = 300 * time.Millisecond

// leaveRouted announces to callers that the box is leaving.
func (b *Box) leaveRouted() {
	if b.routed != nil {
		b.routed.server.DisableKeepAlives()
	}
}
