// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import "time"

// Update is what a box that follows the platform's list tells the others: what
// has changed between two of the platform's revisions, or the whole list.
type Update struct {
	// Origin is the box that read it from the platform, and Sequence tells its
	// updates apart; a later one has a higher number.
	Origin   string
	Sequence uint64
	// After and At are the platform's revisions that the changes lie between.
	// A whole list is as of At.
	After, At uint64
	Whole     bool
	Changes   []Change
	// Lost says that the platform has forgotten its history or was away: what
	// waits for it elsewhere may wait in vain.
	Lost bool
}

// Fits says whether the update can be taken in without a gap.
func (d Directory) Fits(n Update) bool { return n.Whole || n.After <= d.at }

// WithUpdate returns the directory after an update. One that is older than the
// directory, or that leaves a gap after it, changes nothing.
func (d Directory) WithUpdate(now time.Time, n Update) Directory {
	if n.At < d.at || !d.Fits(n) {
		return d
	}
	if !n.Whole {
		return d.WithChanges(now, n.At, n.Changes)
	}
	list := make([]Entry, 0, len(n.Changes))
	for _, c := range n.Changes {
		list = append(list, c.Entry)
	}
	return d.WithList(now, n.At, list)
}

// All is the directory as an update: every endpoint that the platform lists.
func (d Directory) All() Update {
	n := Update{At: d.at, Whole: true}
	d.each(func(w *Status) {
		if !w.Gone && !w.InGrace {
			n.Changes = append(n.Changes, Change{Entry: w.Entry})
		}
	})
	return n
}
