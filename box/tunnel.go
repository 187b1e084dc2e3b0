// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"context"
	"net"

	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/protocol/boxwire"
	"runridge.example/runridge/state/member"
	"runridge.example/runridge/state/path"
	"runridge.example/runridge/transport/boxnet"
	"runridge.example/runridge/transport/upstream"
)

// tunnelPeers connects this box to endpoints through the others.
type tunnelPeers struct{ b *Box }

var _ upstream.Peers = tunnelPeers{}

// Candidates returns the live boxes that open tunnels.
func (t tunnelPeers) Candidates() []path.Peer {
	var out []path.Peer
	for _, other := range t.b.members.Snapshot().Duty {
		if other.Name != t.b.settings.Name && other.State == member.Live && t.b.net.Reads(other.Name, boxwire.KindTunnel) {
			out = append(out, path.Peer{Name: other.Name, Zone: other.Zone, Region: t.b.regions.Of(other.Zone)})
		}
	}
	return out
}

// OpenTunnel connects to an endpoint through another box.
func (t tunnelPeers) OpenTunnel(ctx context.Context, box, id string) (net.Conn, error) {
	return t.b.net.OpenTunnel(ctx, box, id)
}

// ProbeThrough asks another box whether an endpoint listens.
func (t tunnelPeers) ProbeThrough(ctx context.Context, box, id string) error {
	return t.b.net.ProbeThrough(ctx, box, id)
}

// tunnelEndpoints connects other boxes to the endpoints of routed services.
type tunnelEndpoints struct{ b *Box }

// endpoints returns what connects other boxes to endpoints; nil without routed services.
func (b *Box) endpoints() boxnet.Endpoints {
	if b.routed == nil {
		return nil
	}
	return tunnelEndpoints{b}
}

func (t tunnelEndpoints) find(id string) (relay.Endpoint, error) {
	s, known := t.b.Directory().Status(id)
	if !known {
		return relay.Endpoint{}, boxnet.ErrTunnelUnavailable
	}
	return relay.Endpoint{Service: s.Service, ID: s.ID, Address: s.Address, Born: s.Born}, nil
}

// Connect opens a connection to an endpoint.
func (t tunnelEndpoints) Connect(ctx context.Context, id string) (net.Conn, error) {
	e, err := t.find(id)
	if err != nil {
		return nil, err
	}
	return t.b.routed.endpoints.Connect(ctx, e)
}

// Listens checks whether an endpoint listens.
func (t tunnelEndpoints) Listens(ctx context.Context, id string) error {
	e, err := t.find(id)
	if err != nil {
		return err
	}
	return t.b.prober().Listens(ctx, e.Address)
}

// zoneOf returns the availability zone of an endpoint, empty if unknown.
func (b *Box) zoneOf(endpoint string) string {
	s, _ := b.Directory().Status(endpoint)
	return s.Zone
}

// lostPaths returns the number of endpoints that this box reaches only through others, and of those
// that nobody reached a moment ago.
func (b *Box) lostPaths() (throughPeers, unreached int) {
	if b.routed == nil {
		return 0, 0
	}
	return b.routed.endpoints.PathCounts()
}
