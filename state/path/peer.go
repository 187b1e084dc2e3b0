// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package path

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"runridge.example/runridge/state/locality"
)

// Peer is another box that may reach an endpoint.
type Peer struct {
	Name, Zone, Region string
	// FailedAt is when it last could not connect this box to an endpoint; zero if that was long ago
	// or it has connected this box since.
	FailedAt time.Time
}

// Need is what a box needs a peer for: the endpoint with its zone and region, and the same of the box
// itself.
type Need struct {
	Endpoint, Zone, Region  string
	Box, BoxZone, BoxRegion string
	// Allowed are the regions that the request may pass through besides those of the box and of the
	// endpoint.
	Allowed locality.Allowed
	// Via is the peer through which the endpoint was last reached; empty if none.
	Via string
}

const (
	// MaxPeers is how many peers are asked to reach one endpoint.
	MaxPeers = 6
	// zonePeers is how many peers of one zone are asked before those of the next one, since all
	// boxes of a zone may lose their links together.
	zonePeers = 2
)

// Costs of a peer in the order; the lowest comes first.
const (
	crossZoneCost   = 1
	crossRegionCost = 2
)

// near reports whether a peer is in the region of the box or of the endpoint.
func (n Need) near(p Peer) bool { return p.Region == n.Region || p.Region == n.BoxRegion }

// cost ranks a peer: those in the zone of the box or of the endpoint come first, so that bytes cross
// zones at most once.
func (n Need) cost(p Peer) int {
	switch {
	case !n.near(p):
		return crossRegionCost
	case p.Zone != n.Zone && p.Zone != n.BoxZone:
		return crossZoneCost
	default:
		return 0
	}
}

// Order returns the peers to ask, the best first, at most MaxPeers. Peers of the same rank come in
// an order that differs by box and endpoint, so that the load spreads over them. Those of one zone
// are followed by the ones of other zones after zonePeers. Peers that have failed come last, so that
// repeated calls reach all of them: the one whose failure is the longest ago first. Peers that the
// request may not pass through are left out.
func Order(n Need, peers []Peer) []Peer {
	score := func(p Peer) uint64 { return xxhash.Sum64String(n.Box + "\x00" + n.Endpoint + "\x00" + p.Name) }
	out := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return !n.near(p) && !n.Allowed.Permits(p.Region) })
	slices.SortFunc(out, func(a, b Peer) int {
		return cmp.Or(a.FailedAt.Compare(b.FailedAt), cmp.Compare(n.cost(a), n.cost(b)), cmp.Compare(score(a), score(b)))
	})
	inZone, turn := make(map[string]int), make(map[string]int, len(out))
	for _, p := range out {
		switch {
		case p.Name == n.Via:
			turn[p.Name] = -1
		case !p.FailedAt.IsZero():
			turn[p.Name] = len(out)
		default:
			turn[p.Name] = inZone[p.Zone] / zonePeers
			inZone[p.Zone]++
		}
	}
	slices.SortStableFunc(out, func(a, b Peer) int { return cmp.Compare(turn[a.Name], turn[b.Name]) })
	return out[:min(len(out), MaxPeers)]
}
