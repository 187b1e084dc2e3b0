// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"slices"

	"runridge.example/runridge/state/drain"
	"runridge.example/runridge/state/position"
)

// Drained are the drained availability zones as a box knows them.
type Drained struct {
	// Update has the store's own revisions in place of positions.
	Update drain.Update
	Era    Era
}

// FromDrained converts drained zones to their message.
func FromDrained(u drain.Update) *Drained {
	era := EraOf(u.At)
	u.At, u.Revision = position.Revision(u.At), position.Revision(u.Revision)
	u.Drained = slices.Clone(u.Drained)
	for i := range u.Drained {
		u.Drained[i].Revision = position.Revision(u.Drained[i].Revision)
	}
	return &Drained{Update: u, Era: era}
}

// Open gives the drained zones that the message tells to a box that stands at a position.
func (m *Drained) Open(as uint64) drain.Update {
	u := m.Update
	u.At, u.Revision = m.Era.position(u.At, as), m.Era.position(u.Revision, as)
	u.Drained = slices.Clone(u.Drained)
	for i := range u.Drained {
		u.Drained[i].Revision = m.Era.position(u.Drained[i].Revision, as)
	}
	return u
}

// DrainedPull asks for them.
type DrainedPull struct{}

// Kind is the message's kind.
func (*Drained) Kind() Kind { return KindDrained }

// Kind is the message's kind.
func (*DrainedPull) Kind() Kind { return KindDrainedPull }
