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

	"runridge.example/runridge/state/member"
)

// packers are compressors that are used again: one takes 0.6 MB.
var packers = sync.Pool{New: func() any {
	// The level is one that there is.
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// pack compresses a value, its fields by position.
func pack(v any) ([]byte, error) {
	var out bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&out)
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(w)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(v); err != nil {
		return nil, err
	}
	err := w.Close()
	return out.Bytes(), err
}

// unpack reads what was packed, of at most so many bytes.
func unpack(data []byte, limit int64, into any) error {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), limit+1))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrFrame, err)
	}
	if int64(len(plain)) > limit {
		return fmt.Errorf("%w: more than %d bytes unpacked", ErrFrame, limit)
	}
	if err := decode(plain, into); err != nil {
		return fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return nil
}

// leastPackedBoxes is from how many boxes on those of a membership message are compressed:
// what probes carry is less, and a box that starts is told all.
const leastPackedBoxes = 32

// Pack compresses the message's updates if there are many.
func (m *Member) Pack() (*Member, error) {
	if len(m.Message.Updates) < leastPackedBoxes {
		return m, nil
	}
	data, err := pack(boxList{Boxes: m.Message.Updates})
	if err != nil {
		return nil, fmt.Errorf("encode boxes: %w", err)
	}
	out := *m
	out.Message.Updates, out.Packed = nil, data
	return &out, nil
}

// Open gives the membership message with its updates.
func (m *Member) Open() (member.Message, error) {
	if len(m.Packed) == 0 {
		return m.Message, nil
	}
	var list boxList
	if err := unpack(m.Packed, maxSmall, &list); err != nil {
		return m.Message, fmt.Errorf("boxes: %w", err)
	}
	out := m.Message
	out.Updates = list.Boxes
	return out, nil
}

// boxList is what is compressed.
type boxList struct{ Boxes []member.Box }

// unpacked is the message for builds that know no packed updates.
func (m *Member) unpacked() (Message, error) {
	out := *m
	var err error
	out.Message, err = m.Open()
	out.Packed = nil
	return &out, err
}
