// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"slices"

	"runridge.example/runridge/state/drain"
	"runridge.example/runridge/state/position"
)

// Drained carries the drained availability zones as the sender knows them.
type Drained struct {
	// Update holds the store's own revisions where positions are expected; Era is theirs.
	Update drain.Update
	Era    Era
}

// FromDrained converts an update of the drained zones to its message.
func FromDrained(u drain.Update) *Drained {
	era := EraOf(u.At)
	u.At, u.Revision = position.Revision(u.At), position.Revision(u.Revision)
	u.Drained = slices.Clone(u.Drained)
	for i := range u.Drained {
		u.Drained[i].Revision = position.Revision(u.Drained[i].Revision)
	}
	return &Drained{Update: u, Era: era}
}

// Open converts the message back to an update; receiverAt is the receiver's own position.
func (m *Drained) Open(receiverAt uint64) drain.Update {
	u := m.Update
	u.At, u.Revision = m.Era.position(u.At, receiverAt), m.Era.position(u.Revision, receiverAt)
	u.Drained = slices.Clone(u.Drained)
	for i := range u.Drained {
		u.Drained[i].Revision = m.Era.position(u.Drained[i].Revision, receiverAt)
	}
	return u
}

// DrainedPull asks for the drained zones that the receiver knows.
type DrainedPull struct{}

// Kind returns KindDrained.
func (*Drained) Kind() Kind { return KindDrained }

// Kind returns KindDrainedPull.
func (*DrainedPull) Kind() Kind { return KindDrainedPull }
