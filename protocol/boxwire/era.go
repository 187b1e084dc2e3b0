// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import "runridge.example/runridge/state/position"

// Era tells the era of the revisions in a message, one higher than it is. Messages have the
// store's own revisions in place of positions, as builds without eras read and write them;
// 0 is told by these.
type Era uint64

// EraOf is the era of a position.
func EraOf(at uint64) Era { return Era(position.Era(at) + 1) }

// position is the position of a revision that is told to a box which stands at one: what
// tells no era is of the receiver's. Revision 0 is none.
func (e Era) position(revision, as uint64) uint64 {
	switch {
	case revision == 0:
		return 0
	case e == 0:
		return position.Of(position.Era(as), revision)
	default:
		return position.Of(uint64(e)-1, revision)
	}
}
