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

// Run serves until the context ends, then finishes the requests in flight.
func (b *Box) Run(ctx context.Context) error {
	// Background tasks outlive the listener: requests in flight still need them.
	background, cancelBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelBackground()
	var running errgroup.Group
	running.Go(func() error { return b.follower.Run(background) })
	running.Go(func() error { return b.homes.Run(background) })
	running.Go(func() error { return b.releaser.Run(background) })
	running.Go(func() error { return b.net.Serve(background, b.boxListener) })
	running.Go(func() error { return operatorhttp.Serve(background, b.opListener, b.Status, b.metrics.Handler()) })
	running.Go(func() error { return b.members.Run(background) })
	running.Go(func() error { return b.watch.Run(background) })
	running.Go(func() error { return b.reportFlows(background) })
	running.Go(func() error { return b.quarantine.Run(background) })
	running.Go(func() error { return b.overload.Run(background) })
	if b.routed != nil {
		running.Go(func() error { return b.routed.discoverer.Run(background) })
		running.Go(func() error { return b.routed.drains.Run(background) })
		running.Go(func() error { return b.mergeChanges(background) })
		running.Go(func() error { return b.routed.registry.Run(background) })
		running.Go(func() error { return b.routed.stages.Run(background) })
		running.Go(func() error { return b.routed.origins.Run(background) })
		running.Go(func() error { return b.routed.origins.RunBatches(background) })
		running.Go(func() error { return b.reportCalls(background) })
		running.Go(func() error { return b.serveReady(background) })
		running.Go(func() error { return b.routed.server.Serve(background, b.routed.listener) })
	}
	running.Go(func() error { return b.keeper.Run(background) })
	b.options.Log.WithFields(log.Fields{
		"callers": b.CallerAddr(), "boxes": b.BoxAddr(), "operator": b.OperatorAddr(),
		"relay": b.RelayAddr(), "ready": b.ReadyAddr(),
	}).Info("box_started")
	serving, cancelServing := context.WithCancel(background)
	defer cancelServing()
	stopLeave := context.AfterFunc(ctx, func() {
		b.leave(background)
		cancelServing()
	})
	defer stopLeave()
	served := b.serveCallers(serving)
	if b.routed != nil {
		b.stopAccepting()
	}
	b.drain(background, time.Unix(0, b.leavingSince.Load()))
	if b.routed != nil {
		b.closeRouted(background)
	}
	cancelBackground()
	b.cancelNet()
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

// leave makes the box not ready and hands its duties over to other boxes. It then waits,
// while the box still serves, for as long as the platform's balancer lags behind.
func (b *Box) leave(ctx context.Context) {
	b.leavingSince.Store(time.Now().UnixNano())
	b.stopping.Store(true)
	b.members.Leave()
	b.homes.Leave()
	b.net.CloseTunnels()
	b.leaveRouted()
	b.options.Log.WithFields(log.Fields{"active": b.Active()}).Info("box_leaving")
	sleep.For(ctx, time.Duration(b.lingerMS.Load())*time.Millisecond)
}

// drain waits until no request is in flight and no hold is left to release, or until the
// time for the planned stop, which began at begun, is over.
func (b *Box) drain(ctx context.Context, begun time.Time) {
	bound := time.NewTimer(b.stopBound() - time.Since(begun))
	defer bound.Stop()
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for b.Active()+b.PendingReleases() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-bound.C:
			b.options.Log.WithFields(log.Fields{"cut": b.dispatch.ActiveIDs()}).Warn("stop_bound_reached")
			return
		case <-poll.C:
		}
	}
}

const (
	defaultStopTimeout = 30 * time.Second
	drainPollInterval  = 5 * time.Millisecond
)

// stopShare is the fraction of a planned stop's time in which requests may finish; the rest
// is for the process to exit.
const stopShare = 0.9

// stopBound returns how long a planned stop may take.
func (b *Box) stopBound() time.Duration {
	if given := b.stopTime.Load(); given > 0 {
		return time.Duration(float64(given) * stopShare)
	}
	return defaultStopTimeout
}

// membersChanged puts a changed membership into force: which boxes have duties, and the
// address and zone of each box.
func (b *Box) membersChanged(s members.Snapshot) {
	peers := make(map[string]boxnet.Peer, len(s.All))
	zones := make(map[string]string, len(s.All))
	lost := home.LostProcesses{Starts: make(map[string]uint64)}
	for _, other := range s.All {
		zones[other.Name] = other.Zone
		lost.Starts[other.Name] = other.Start
		if other.Name != b.settings.Name {
			// Dead boxes are still probed, so that both sides of a network partition find
			// each other once it heals.
			peers[other.Name] = boxnet.Peer{
				Address: other.Address, Incarnation: other.Start, Version: boxwire.Version(other.Wire),
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
	b.setSpread(s.Duty)
	b.net.SetPeers(peers)
	b.router.SetLive(
		rank.Of(live).WithZones(zones, b.regions),
		rank.Of(member.Established(s.Duty)).WithZones(zones, b.regions),
	)
	b.keeper.SetBoxes(live)
	b.homes.LiveChanged(lost)
	b.dispatch.Rehome()
	if b.routed != nil {
		b.routed.quotas.FleetChanged()
		b.routed.relay.Rehome()
	}
}
