// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import "runridge.example/runridge/coordination/held"

// partial is what has come of a stream and was not passed on: part of an event.
type partial struct {
	hold *held.Hold
	data []byte
	// taken is the room taken for it, in bytes.
	taken int
}

// freeRoom is what a stream may keep of an event without room taken for it, in bytes: every
// stream reads so much at once.
const freeRoom = 2 * pieceSize

// add keeps what has come; false is that there is no room for it.
func (p *partial) add(more []byte) bool {
	need := len(p.data) + len(more) - freeRoom - p.taken
	if need > 0 && !p.hold.Take(need) {
		return false
	}
	p.taken += max(need, 0)
	p.data = append(p.data, more...)
	return true
}

// drop lets go of what was passed on.
func (p *partial) drop(n int) {
	p.data = append(p.data[:0], p.data[n:]...)
	if p.taken == 0 || len(p.data) > freeRoom {
		return
	}
	p.hold.Give(p.taken)
	p.taken = 0
	p.data = append([]byte(nil), p.data...)
}
