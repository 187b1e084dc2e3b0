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

// compressors are reused, because each takes 0.6 MB.
var compressors = sync.Pool{New: func() any {
	// The error can only be about the level, which is valid.
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// compress encodes a value with its fields by position and compresses it.
func compress(v any) ([]byte, error) {
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
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

// decompress decodes what compress returned. It returns ErrFrame for invalid data and for more
// than limit bytes after decompression.
func decompress(data []byte, limit int64, into any) error {
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

// minCompressedBoxes is the lowest number of boxes in a membership message that are
// compressed. Probes carry fewer; a box that starts receives all.
const minCompressedBoxes = 32

// Pack returns the message with its updates compressed if there are many.
func (m *Member) Pack() (*Member, error) {
	if len(m.Message.Updates) < minCompressedBoxes {
		return m, nil
	}
	data, err := compress(boxList{Boxes: m.Message.Updates})
	if err != nil {
		return nil, fmt.Errorf("encode boxes: %w", err)
	}
	out := *m
	out.Message.Updates, out.Packed = nil, data
	return &out, nil
}

// Open returns the membership message with its updates, decompressed if they are in Packed.
func (m *Member) Open() (member.Message, error) {
	if len(m.Packed) == 0 {
		return m.Message, nil
	}
	var list boxList
	if err := decompress(m.Packed, maxSmallFrame, &list); err != nil {
		return m.Message, fmt.Errorf("boxes: %w", err)
	}
	out := m.Message
	out.Updates = list.Boxes
	return out, nil
}

// boxList is the compressed part of a membership message.
type boxList struct{ Boxes []member.Box }

// uncompressed returns the message for builds that do not know compressed updates.
func (m *Member) uncompressed() (Message, error) {
	out := *m
	var err error
	out.Message, err = m.Open()
	out.Packed = nil
	return &out, err
}
