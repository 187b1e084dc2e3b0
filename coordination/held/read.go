// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package held

import (
	"errors"
	"io"
)

var (
	// ErrBudgetExhausted is returned when the budget has no room for more data.
	ErrBudgetExhausted = errors.New("no room for what is read")
	// ErrTooLong is returned when the data is longer than the limit.
	ErrTooLong = errors.New("longer than allowed")
)

// initialSize is the size of the buffer before any data has come, in bytes. A body that is
// announced but not sent takes no more than that.
const initialSize = 16 << 10

// UnknownLength is the length of data that does not announce it.
const UnknownLength = -1

// Read reads to the end and reserves the memory for it in h, in steps as data comes. Length
// is the announced length or UnknownLength, and limit the most bytes allowed. With an error it
// returns the data read so far.
func Read(r io.Reader, h *Hold, length int64, limit int) ([]byte, error) {
	// One more byte detects the end, or data beyond the limit.
	maxSize := limit + 1
	if length >= 0 && length < int64(limit) {
		maxSize = int(length) + 1
	}
	size := min(maxSize, initialSize)
	if !h.Take(size) {
		return nil, ErrBudgetExhausted
	}
	data := make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			next := min(2*cap(data), maxSize)
			if !h.Take(next - cap(data)) {
				return data, ErrBudgetExhausted
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
