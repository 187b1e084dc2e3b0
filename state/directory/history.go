// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import "slices"

// maxHistory is the number of changes kept for boxes that missed them: one for each of a
// third of 3,000 endpoints, about 0.1 MB.
const maxHistory = 1000

// History holds the latest changes that a box has applied, for boxes that missed some of
// them. It avoids sending the whole list: that of 3,000 endpoints is 240 KB, and in a
// fleet of 300 starting boxes changes are missed about 2,000 times. The zero value is
// empty; a History is immutable.
type History struct {
	updates []Update
	changes int
}

// With returns the history after an applied update. After a whole list or a gap the
// history is empty.
func (h History) With(n Update) History {
	if n.Whole || len(h.updates) > 0 && n.After > h.at() {
		return History{}
	}
	if len(h.updates) > 0 && n.At <= h.at() {
		return h
	}
	updates := append(slices.Clone(h.updates), Update{After: n.After, At: n.At, Changes: n.Changes})
	changes := h.changes + len(n.Changes)
	for len(updates) > 1 && (changes > maxHistory || len(updates) > maxHistory) {
		changes -= len(updates[0].Changes)
		updates = updates[1:]
	}
	return History{updates: updates, changes: changes}
}

// at returns the position of the latest update; there must be one.
func (h History) at() uint64 { return h.updates[len(h.updates)-1].At }

// Since returns the changes after a position as one update, and false if some of them
// are no longer kept.
func (h History) Since(have uint64) (Update, bool) {
	if len(h.updates) == 0 || have < h.updates[0].After {
		return Update{}, false
	}
	out := Update{After: have, At: h.at()}
	for _, n := range h.updates {
		if n.At > have {
			out.Changes = append(out.Changes, n.Changes...)
		}
	}
	return out, true
}
