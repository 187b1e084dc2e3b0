// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"runridge.example/runridge/state/directory"
)

const (
	// leastPacked is from how many changes on an update is compressed: fewer gain
	// less than the compressed form's own bytes.
	leastPacked = 4
	// maxUnpacked bounds the changes of an update once they are unpacked, in bytes.
	maxUnpacked = MaxFrame
)

// packers are compressors that are used again: one takes 0.6 MB.
var packers = sync.Pool{New: func() any {
	// The level is one that there is.
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// FromUpdate converts an update to its message. The 3,000 endpoints of a large fleet
// are 193 KB as they stand and 40 KB packed (TestUpdatePacked).
func FromUpdate(n directory.Update, generation uint64) (*Update, error) {
	if len(n.Changes) < leastPacked {
		return &Update{Update: n, Generation: generation}, nil
	}
	var out bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&out)
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(w)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(n); err != nil {
		return nil, fmt.Errorf("encode changes of endpoints: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return &Update{Generation: generation, Packed: out.Bytes()}, nil
}

// Open gives the update that the message tells.
func (m *Update) Open() (directory.Update, error) {
	var n directory.Update
	if len(m.Packed) == 0 {
		return m.Update, nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.Packed)), maxUnpacked+1))
	if err != nil {
		return n, fmt.Errorf("%w: changes of endpoints: %w", ErrFrame, err)
	}
	if len(data) > maxUnpacked {
		return n, fmt.Errorf("%w: changes of endpoints of more than %d bytes", ErrFrame, maxUnpacked)
	}
	if err := decode(data, &n); err != nil {
		return n, fmt.Errorf("%w: changes of endpoints: %w", ErrFrame, err)
	}
	return n, nil
}

// unpacked is the message for builds that read packed changes only if theirs have as many
// fields.
func (m *Update) unpacked() (*Update, error) {
	n, err := m.Open()
	return &Update{Update: n, Generation: m.Generation}, err
}
