// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package discover

import (
	"context"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/sleep"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/spread"
)

const (
	// largeFleet is from how many boxes of a region on a box that starts takes its
	// first list from another box: where all boxes of a fleet start, their lists would
	// fill the platform's link.
	largeFleet = 64
	// boxesWait bounds the wait for the list of boxes, which all boxes may read at once,
	// and boxesLook is how often it is looked for.
	boxesWait = 1500 * time.Millisecond
	boxesLook = 10 * time.Millisecond
	// listWait is how long a box waits for another's list before it reads the
	// platform's: a reader's own reading, and three steps of the tree over narrow links.
	listWait = 3 * time.Second
	// listStep is how much longer each further box in rank waits, and longestStep
	// bounds that: one that reads the list itself can answer those after it, and what
	// all read at once comes later for all.
	listStep    = 50 * time.Millisecond
	longestStep = 5 * time.Second
	// listAsk is how long an answer is waited for before the next box above in the
	// tree is asked.
	listAsk = 400 * time.Millisecond
)

// awaitList waits for the first list from another box of a large fleet, and reports
// whether it came. The readers read it from the platform and tell it along the tree;
// where a single box starts, the box above it in the tree answers at once.
func (d *Discoverer) awaitList(ctx context.Context) bool {
	if d.cfg.Peers == nil || d.cfg.Listed == nil {
		return false
	}
	begun := time.Now()
	for !d.cfg.Listed() && time.Since(begun) < boxesWait && ctx.Err() == nil {
		sleep.For(ctx, boxesLook)
	}
	order := d.cfg.Ranked(rankKey)
	place := d.placeIn(order, d.cfg.Self)
	if place.Boxes < largeFleet || place.Rank < 0 || place.Reader() {
		return false
	}
	above := spread.Above(spread.Draw(d.cfg.Tree, d.cfg.Ranked, rankKey, ""), d.cfg.Self)
	bound := listWait + min(time.Duration(place.Rank)*listStep, longestStep)
	for i := 0; !d.Directory().Known() && time.Since(begun) < bound && ctx.Err() == nil; i++ {
		d.cfg.Peers.SendUpdatePull(above[i%len(above)], 0)
		d.awaitKnown(ctx, listAsk)
	}
	known := d.Directory().Known()
	d.cfg.Log.WithFields(log.Fields{
		"known":     known,
		"rank":      place.Rank,
		"boxes":     place.Boxes,
		"waited_ms": time.Since(begun).Milliseconds(),
	}).Info("endpoint_list_awaited")
	return known
}

// awaitKnown waits until there is a list, at most for a time.
func (d *Discoverer) awaitKnown(ctx context.Context, atMost time.Duration) {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case <-d.listed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readList reads the whole list from the platform. The first one ends early if
// another box's list comes meanwhile: far from the platform its 60 pages take 2.6 s,
// and so the readers of other regions are asked for theirs.
func (d *Discoverer) readList(ctx context.Context) ([]directory.Entry, uint64, error) {
	if d.fresh || d.Directory().Known() {
		return d.cfg.Source.Endpoints(ctx, !d.fresh)
	}
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		d.askAcross(call)
	}()
	return d.cfg.Source.Endpoints(call, true)
}

// askAcross asks a box of each other region for its list until there is one here, or
// the context ends: their first reader, or any other by turns.
func (d *Discoverer) askAcross(ctx context.Context) {
	keys := []string{rankKey, treeKey(d.cfg.Self)}
	for i := 0; !d.Directory().Known() && ctx.Err() == nil; i++ {
		if d.cfg.Heads != nil && d.place(d.cfg.Self).Reader() {
			for _, box := range d.cfg.Heads(keys[i%len(keys)]) {
				d.cfg.Peers.SendUpdatePull(box, 0)
			}
		}
		d.awaitKnown(ctx, listAsk)
	}
}
