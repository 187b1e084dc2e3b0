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
	// minCompressedChanges is the lowest number of changes in an update that are compressed.
	// With fewer, compression saves less than its own overhead.
	minCompressedChanges = 4
	// maxDecompressed bounds the changes of an update after decompression, in bytes.
	maxDecompressed = MaxFrame
)

// FromUpdate converts an update to its message; own is the stamp of the sender's table. If there
// are many changes, they are compressed to a fifth of the bytes.
func FromUpdate(n directory.Update, own table.Stamp) (*Update, error) {
	era := EraOf(n.At)
	n.After, n.At = position.Revision(n.After), position.Revision(n.At)
	if len(n.Changes) < minCompressedChanges {
		return &Update{Update: n, Generation: own.Generation, Era: era, Version: own.Version}, nil
	}
	data, err := compress(n)
	if err != nil {
		return nil, fmt.Errorf("encode changes of endpoints: %w", err)
	}
	return &Update{Generation: own.Generation, Packed: data, Era: era, Version: own.Version}, nil
}

// Open converts the message back to an update; receiverAt is the receiver's own position.
func (m *Update) Open(receiverAt uint64) (directory.Update, error) {
	n, err := m.decompressed()
	n.After, n.At = m.Era.position(n.After, receiverAt), m.Era.position(n.At, receiverAt)
	return n, err
}

// decompressed returns the update as it was sent, with the store's own revisions.
func (m *Update) decompressed() (directory.Update, error) {
	var n directory.Update
	if len(m.Packed) == 0 {
		return m.Update, nil
	}
	if err := decompress(m.Packed, maxDecompressed, &n); err != nil {
		return n, fmt.Errorf("changes of endpoints: %w", err)
	}
	return n, nil
}

// uncompressed returns the message for builds that can read compressed changes only if their
// structs have the same number of fields.
func (m *Update) uncompressed() (Message, error) {
	n, err := m.decompressed()
	return &Update{Update: n, Generation: m.Generation, Era: m.Era, Version: m.Version}, err
}
