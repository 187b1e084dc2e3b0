// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import "time"

// News is what a box that follows the platform's list tells the others: what
// has changed between two of the platform's revisions, or the whole list.
type News struct {
	// Origin is the box that read it from the platform, and Sequence tells its
	// news apart; a later one has a higher number.
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

// Fits says whether the news can be taken in without a gap.
func (d Directory) Fits(n News) bool { return n.Whole || n.After <= d.at }

// WithNews returns the directory after news. News that is older than the
// directory, or that leaves a gap after it, changes nothing.
func (d Directory) WithNews(now time.Time, n News) Directory {
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

// All is the directory as news: every endpoint that the platform lists.
func (d Directory) All() News {
	n := News{At: d.at, Whole: true}
	for _, w := range d.words {
		if !w.Gone && !w.Doubted {
			n.Changes = append(n.Changes, Change{Entry: w.Entry})
		}
	}
	return n
}
