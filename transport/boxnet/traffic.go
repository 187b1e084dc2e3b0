// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxnet

import (
	"sync/atomic"

	"runridge.example/runridge/protocol/boxwire"
	"runridge.example/runridge/state/locality"
)

// Flow counts the messages of one kind that this box has sent to boxes at one distance. Only the
// sender counts a message, so the flows of all boxes add up to the traffic between them.
type Flow struct {
	Kind     boxwire.Kind
	Distance locality.Distance
	Bytes    uint64
	Messages uint64
}

// flowCount holds the counters of one flow.
type flowCount struct{ bytes, messages atomic.Uint64 }

// flows holds the counters by kind and distance.
type flows [boxwire.Kinds][locality.Distances]flowCount

// add counts a message of size bytes.
func (f *flows) add(k boxwire.Kind, d locality.Distance, size int) {
	c := &f[k][d]
	c.bytes.Add(uint64(size))
	c.messages.Add(1)
}

// Flows returns the flows with at least one message so far.
func (n *Net) Flows() []Flow {
	var out []Flow
	for k := range n.flows {
		for d := range n.flows[k] {
			c := &n.flows[k][d]
			if count := c.messages.Load(); count > 0 {
				out = append(out, Flow{
					Kind:     boxwire.Kind(k),
					Distance: locality.Distance(d),
					Bytes:    c.bytes.Load(),
					Messages: count,
				})
			}
		}
	}
	return out
}

// distanceTo returns the distance of another box; locality.SameRegion if DistanceTo isn't set.
func (n *Net) distanceTo(box string) locality.Distance {
	if n.cfg.DistanceTo == nil {
		return locality.SameRegion
	}
	return n.cfg.DistanceTo(box)
}
