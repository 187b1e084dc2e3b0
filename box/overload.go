// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"time"

	"runridge.example/runridge/coordination/overload"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/protocol/boxwire"
	"runridge.example/runridge/state/member"
	"runridge.example/runridge/state/rank"
	"runridge.example/runridge/transport/gate"
)

const (
	// defaultOverloadDelay is the default bound on the delay of this box's messages. A request of
	// some tens of milliseconds takes several messages one after the other.
	defaultOverloadDelay = 30 * time.Millisecond
	// echoPeers is how many other boxes answer this one's echoes.
	echoPeers = 3
)

// newOverload creates the part that limits the requests of callers.
func (b *Box) newOverload() *overload.Keeper {
	bound := defaultOverloadDelay
	if ms := b.settings.OverloadDelayMS; ms > 0 {
		bound = time.Duration(ms) * time.Millisecond
	}
	return overload.New(overload.Config{Bound: bound, Peers: echoes{b}, Log: b.options.Log})
}

// gateCallers limits the new connections of callers of routed services. The box's own interface refuses
// single requests instead, since the balancer asks it there whether it is ready.
func (b *Box) gateCallers() {
	if b.routed != nil {
		b.routed.listener = gate.New(b.routed.listener, b.overload, b.options.Log)
	}
}

// echoes exchanges echoes with other boxes.
type echoes struct{ b *Box }

// EchoPeers returns live boxes of this box's region, or of any region if there are none, the same
// ones while the fleet stays the same.
func (e echoes) EchoPeers() []string {
	var near, all []string
	region := e.b.regions.Of(e.b.settings.Zone)
	for _, other := range e.b.members.Snapshot().Duty {
		if other.Name == e.b.settings.Name || other.State != member.Live || !e.b.net.Reads(other.Name, boxwire.KindEcho) {
			continue
		}
		all = append(all, other.Name)
		if e.b.regions.Of(other.Zone) == region {
			near = append(near, other.Name)
		}
	}
	if len(near) == 0 {
		near = all
	}
	return rank.Of(near).First(e.b.settings.Name, echoPeers)
}

// SendEcho asks another box to send a sequence number back.
func (e echoes) SendEcho(to string, sequence uint64) ring.Outcome {
	return e.b.net.Send(to, &boxwire.Echo{Sequence: sequence})
}

// receiveEcho handles an echo and reports whether the message was one.
func (b *Box) receiveEcho(from string, m boxwire.Message) bool {
	echo, ok := m.(*boxwire.Echo)
	switch {
	case !ok:
		return false
	case echo.Reply:
		b.overload.Answered(from, echo.Sequence)
	default:
		// An answer that does not fit into the queue is lost; the other box asks again.
		_ = b.net.Send(from, &boxwire.Echo{Sequence: echo.Sequence, Reply: true})
	}
	return true
}
