// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"fmt"

	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/position"
	"runridge.example/runridge/state/table"
)

const (
	// leastPacked is from how many changes on an update is compressed: fewer gain
	// less than the compressed form's own bytes.
	leastPacked = 4
	// maxUnpacked bounds the changes of an update once they are unpacked, in bytes.
	maxUnpacked = MaxFrame
)

// FromUpdate converts an update, of a box with its own table, to its message: packed where there are many changes, which
// takes a fifth of the bytes.
func FromUpdate(n directory.Update, own table.Stamp) (*Update, error) {
	era := EraOf(n.At)
	n.After, n.At = position.Revision(n.After), position.Revision(n.At)
	if len(n.Changes) < leastPacked {
		return &Update{Update: n, Generation: own.Generation, Era: era, Version: own.Version}, nil
	}
	data, err := pack(n)
	if err != nil {
		return nil, fmt.Errorf("encode changes of endpoints: %w", err)
	}
	return &Update{Generation: own.Generation, Packed: data, Era: era, Version: own.Version}, nil
}

// Open gives the update that the message tells to a box that stands at a position.
func (m *Update) Open(as uint64) (directory.Update, error) {
	n, err := m.plain()
	n.After, n.At = m.Era.position(n.After, as), m.Era.position(n.At, as)
	return n, err
}

// plain gives the update as it was sent, with the store's own revisions.
func (m *Update) plain() (directory.Update, error) {
	var n directory.Update
	if len(m.Packed) == 0 {
		return m.Update, nil
	}
	if err := unpack(m.Packed, maxUnpacked, &n); err != nil {
		return n, fmt.Errorf("changes of endpoints: %w", err)
	}
	return n, nil
}

// unpacked is the message for builds that read packed changes only if theirs have as many
// fields.
func (m *Update) unpacked() (Message, error) {
	n, err := m.plain()
	return &Update{Update: n, Generation: m.Generation, Era: m.Era, Version: m.Version}, err
}
