// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package held

import (
	"errors"
	"io"
)

var (
	// ErrNoRoom is returned when the budget has no room for more.
	ErrNoRoom = errors.New("no room for what is read")
	// ErrTooLong is returned when there is more than the limit.
	ErrTooLong = errors.New("longer than allowed")
)

// firstRoom is the room that is made before anything has come, in bytes. What a caller only
// announces takes no more.
const firstRoom = 16 << 10

// Unknown is the length of what does not tell it.
const Unknown = -1

// Read reads to the end and holds the room that it makes for it, which grows as bytes come.
// With an error it returns what it has read.
func Read(r io.Reader, h *Hold, length int64, limit int) ([]byte, error) {
	// One byte more finds the end, or that there is no end.
	most := limit + 1
	if length >= 0 && length < int64(limit) {
		most = int(length) + 1
	}
	size := min(most, firstRoom)
	if !h.Take(size) {
		return nil, ErrNoRoom
	}
	data := make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			next := min(2*cap(data), most)
			if !h.Take(next - cap(data)) {
				return data, ErrNoRoom
			}
			data = append(make([]byte, 0, next), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		h.Moved(n)
		switch {
		case len(data) > limit:
			return data, ErrTooLong
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err
		}
	}
}
