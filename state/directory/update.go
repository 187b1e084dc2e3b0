// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import "time"

// Update is what a reader of the platform's list sends to the other boxes: the
// changes between two positions of the platform, or the whole list.
type Update struct {
	// Origin is the box that read it from the platform, and Sequence its number
	// among the updates of that box, which rises.
	Origin   string
	Sequence uint64
	// After and At are the positions between which the changes lie. A whole list
	// is as of At.
	After, At uint64
	// Whole means that Changes is the whole list.
	Whole   bool
	Changes []Change
	// Lost means that the platform has lost its history or was unavailable: changes
	// that others still wait for may never come.
	Lost bool
}

// Fits reports whether the update can be applied without a gap.
func (d Directory) Fits(n Update) bool { return n.Whole || n.After <= d.at }

// WithUpdate returns the directory after an update. An update that is older than
// the directory or leaves a gap after it changes nothing.
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

// Snapshot returns the directory as an update: every endpoint that the platform lists.
func (d Directory) Snapshot() Update {
	n := Update{At: d.at, Whole: true}
	d.each(func(w *Status) {
		if !w.Gone && !w.InGrace {
			n.Changes = append(n.Changes, Change{Entry: w.Entry})
		}
	})
	return n
}
