// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import "runridge.example/runridge/coordination/held"

// partialEvent holds the data of a stream that has been received but not sent to the caller.
type partialEvent struct {
	hold *held.Hold
	data []byte
	// reserved is the size reserved for data from hold, in bytes.
	reserved int
}

// unreservedBytes is how much a stream may buffer without a reservation, in bytes: every stream
// reads pieces of pieceSize anyway.
const unreservedBytes = 2 * pieceSize

// add appends data and reports whether there was memory for it.
func (p *partialEvent) add(more []byte) bool {
	need := len(p.data) + len(more) - unreservedBytes - p.reserved
	if need > 0 && !p.hold.Take(need) {
		return false
	}
	p.reserved += max(need, 0)
	p.data = append(p.data, more...)
	return true
}

// consume removes the first n bytes and gives back the reservation if the rest is small.
func (p *partialEvent) consume(n int) {
	p.data = append(p.data[:0], p.data[n:]...)
	if p.reserved == 0 || len(p.data) > unreservedBytes {
		return
	}
	p.hold.Give(p.reserved)
	p.reserved = 0
	p.data = append([]byte(nil), p.data...)
}
