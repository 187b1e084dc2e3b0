// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"runridge.example/runridge/coordination/home"
	members "runridge.example/runridge/coordination/member"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/sleep"
	"runridge.example/runridge/protocol/boxwire"
	"runridge.example/runridge/state/member"
	"runridge.example/runridge/state/rank"
	"runridge.example/runridge/transport/boxnet"
	"runridge.example/runridge/transport/operatorhttp"
)

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
	running.Go(func() error { return b.reportFlows(duties) })
	running.Go(func() error { return b.quarantine.Run(duties) })
	if b.routed != nil {
		running.Go(func() error { return b.routed.discoverer.Run(duties) })
		running.Go(func() error { return b.routed.drains.Run(duties) })
		running.Go(func() error { return b.mergeChanges(duties) })
		running.Go(func() error { return b.routed.registry.Run(duties) })
		running.Go(func() error { return b.routed.stages.Run(duties) })
		running.Go(func() error { return b.reportCalls(duties) })
		running.Go(func() error { return b.serveReady(duties) })
		running.Go(func() error { return b.routed.server.Serve(duties, b.routed.listener) })
	}
	running.Go(func() error { return b.keeper.Run(duties) })
	b.options.Log.WithFields(log.Fields{
		"callers": b.CallerAddr(), "boxes": b.BoxAddr(), "operator": b.OperatorAddr(),
		"relay": b.RelayAddr(), "ready": b.ReadyAddr(),
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
	peers := make(map[string]boxnet.Peer, len(s.All))
	zones := make(map[string]string, len(s.All))
	lost := home.Lost{Starts: make(map[string]uint64)}
	for _, other := range s.All {
		zones[other.Name] = other.Zone
		lost.Starts[other.Name] = other.Start
		if other.Name != b.settings.Name {
			// The dead are still sent probes, so that both sides of a cut
			// find each other afterwards.
			peers[other.Name] = boxnet.Peer{
				Address: other.Address, Start: other.Start, Version: boxwire.Version(other.Wire),
			}
		}
		if other.State == member.Dead {
			lost.Dead = append(lost.Dead, other.Name)
		}
	}
	live := make([]string, 0, len(s.Duty))
	for _, other := range s.Duty {
		live = append(live, other.Name)
	}
	b.zones.Store(&zones)
	b.spreadTo(s.Duty)
	b.net.SetPeers(peers)
	b.router.SetLive(
		rank.Of(live).In(zones, b.regions),
		rank.Of(member.Established(s.Duty)).In(zones, b.regions),
	)
	b.keeper.SetBoxes(live)
	b.homes.LiveChanged(lost)
	b.dispatch.Rehome()
	if b.routed != nil {
		b.routed.quotas.FleetChanged()
		b.routed.relay.Rehome()
	}
}
