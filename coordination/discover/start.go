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
	// largeFleet is the number of boxes in a region from which a starting box takes its
	// first list from another box: when a whole fleet starts, the boxes' lists would
	// saturate the platform's link.
	largeFleet = 64
	// boxListTimeout bounds the wait for the list of boxes, which all boxes may read at
	// once; boxListPollInterval is how often the wait checks for it.
	boxListTimeout      = 1500 * time.Millisecond
	boxListPollInterval = 10 * time.Millisecond
	// listWait is how long a box waits for a list from another box before it reads the
	// platform's: it covers a reader's own read and three levels of the tree over narrow
	// links.
	listWait = 3 * time.Second
	// listWaitStep is the extra wait per rank, and maxListWaitStep bounds the sum: a box
	// that reads the list itself can answer those after it, and a read by all boxes at once
	// is slower for all of them.
	listWaitStep    = 50 * time.Millisecond
	maxListWaitStep = 5 * time.Second
	// pullTimeout is how long a box waits for the answer to a pull before it asks another
	// box.
	pullTimeout = 400 * time.Millisecond
)

// awaitList waits for the first list from another box of a large fleet, and reports
// whether it arrived. When the fleet starts, the readers read the list from the platform
// and announce it along the tree; when a single box starts, the box above it in the tree
// answers at once.
func (d *Discoverer) awaitList(ctx context.Context) bool {
	if d.cfg.Peers == nil || d.cfg.Listed == nil {
		return false
	}
	start := time.Now()
	for !d.cfg.Listed() && time.Since(start) < boxListTimeout && ctx.Err() == nil {
		sleep.For(ctx, boxListPollInterval)
	}
	order := d.cfg.Ranked(rankKey)
	place := d.placeIn(order, d.cfg.Self)
	if place.Boxes < largeFleet || place.Rank < 0 || place.Reader() {
		return false
	}
	above := spread.Ancestors(spread.TreeOrder(d.cfg.Tree, d.cfg.Ranked, rankKey, ""), d.cfg.Self)
	bound := listWait + min(time.Duration(place.Rank)*listWaitStep, maxListWaitStep)
	for i := 0; !d.Directory().Known() && time.Since(start) < bound && ctx.Err() == nil; i++ {
		d.cfg.Peers.SendUpdatePull(above[i%len(above)], 0)
		d.awaitKnown(ctx, pullTimeout)
	}
	known := d.Directory().Known()
	d.cfg.Log.WithFields(log.Fields{
		"known":     known,
		"rank":      place.Rank,
		"boxes":     place.Boxes,
		"waited_ms": time.Since(start).Milliseconds(),
	}).Info("endpoint_list_awaited")
	return known
}

// awaitKnown waits until a list is known, for at most atMost.
func (d *Discoverer) awaitKnown(ctx context.Context, atMost time.Duration) {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case <-d.listed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readList reads the whole list from the platform. The first read ends early if a list
// from another box arrives meanwhile: far from the platform its 60 pages take 2.6 s, so
// readers of other regions are asked for their lists.
func (d *Discoverer) readList(ctx context.Context) ([]directory.Entry, uint64, error) {
	if d.needFresh || d.Directory().Known() {
		return d.cfg.Source.Endpoints(ctx, !d.needFresh)
	}
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		d.pullFromOtherRegions(call)
	}()
	return d.cfg.Source.Endpoints(call, true)
}

// pullFromOtherRegions asks a box of each other region for its list until one is known
// here or the context ends. It alternates between each region's first reader and another
// of its boxes.
func (d *Discoverer) pullFromOtherRegions(ctx context.Context) {
	keys := []string{rankKey, treeKey(d.cfg.Self)}
	for i := 0; !d.Directory().Known() && ctx.Err() == nil; i++ {
		if d.cfg.RegionEntries != nil && d.place(d.cfg.Self).Reader() {
			for _, box := range d.cfg.RegionEntries(keys[i%len(keys)]) {
				d.cfg.Peers.SendUpdatePull(box, 0)
			}
		}
		d.awaitKnown(ctx, pullTimeout)
	}
}
