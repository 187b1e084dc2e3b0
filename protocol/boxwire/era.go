// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import "runridge.example/runridge/state/position"

// Era is the era of the revisions in a message, plus one; 0 means not stated, which is what
// builds without eras send. Messages carry the store's own revisions and not positions, because
// such builds read and write revisions.
type Era uint64

// EraOf returns the era of a position in its form on the wire.
func EraOf(at uint64) Era { return Era(position.Era(at) + 1) }

// position returns the position of a revision in a message. A revision without an era is taken
// to be of the era of receiverAt, the receiver's own position. Revision 0 means none and gives 0.
func (e Era) position(revision, receiverAt uint64) uint64 {
	switch {
	case revision == 0:
		return 0
	case e == 0:
		return position.Of(position.Era(receiverAt), revision)
	default:
		return position.Of(uint64(e)-1, revision)
	}
}
