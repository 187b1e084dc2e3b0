// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package discover

import (
	"slices"
	"time"

	"runridge.example/runridge/state/directory"
)

const (
	// maxHeld is the number of updates beyond a gap that are kept until the gap is filled.
	maxHeld = 16
	// minPullInterval is the minimum time between two pulls of missed updates. What fills
	// the gap is usually on its way already; without the interval a starting fleet of 300
	// boxes sent 2,300 pulls in 10 s.
	minPullInterval = 250 * time.Millisecond
	// maxPulls is how many pulls a box sends without a further update; updates arrive at
	// least once a second.
	maxPulls = 4
	// listTransitTime is how long a forwarded list may be in flight to all boxes below this
	// one, over a narrow link.
	listTransitTime = time.Second
)

// gap holds what a box needs to recover updates that it or other boxes have missed.
type gap struct {
	// held are updates that start after the directory's position.
	held []directory.Update
	// lastPull is when this box last sent a pull.
	lastPull time.Time
	// listForwardedAt is when this box last forwarded the whole list, and listForwardedTo
	// the boxes that it went to.
	listForwardedAt time.Time
	listForwardedTo []string
	// history holds the latest changes, for boxes that pull them.
	history directory.History
}

// applyWithHeld applies an update, and then the held updates that fit after it.
func (d *Discoverer) applyWithHeld(now time.Time, u directory.Update) {
	d.apply(now, u)
	for {
		next, found := d.nextHeld()
		if !found {
			return
		}
		d.apply(now, next)
	}
}

// nextHeld removes and returns a held update that fits the directory's position, and drops
// those that are older. It reports whether there was one.
func (d *Discoverer) nextHeld() (directory.Update, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	kept := d.gap.held[:0]
	var next directory.Update
	found := false
	for _, u := range d.gap.held {
		switch {
		case u.At <= d.known.At():
		case !found && d.known.Fits(u):
			next, found = u, true
		default:
			kept = append(kept, u)
		}
	}
	d.gap.held = kept
	return next, found
}

// hold keeps an update that starts after the directory's position, and pulls what lies
// between from its sender.
func (d *Discoverer) hold(now time.Time, from string, u directory.Update) {
	d.mutex.Lock()
	if len(d.gap.held) == maxHeld {
		d.gap.held = d.gap.held[1:]
	}
	d.gap.held = append(d.gap.held, u)
	d.mutex.Unlock()
	d.pullMissed(now, from, maxPulls)
}

// pullMissed pulls the missed updates from a box, unless a pull was sent less than
// minPullInterval ago. It repeats the pull after that interval while updates are still
// held, up to tries pulls in all: the other box may have missed them too.
func (d *Discoverer) pullMissed(now time.Time, from string, tries int) {
	d.mutex.Lock()
	waits := len(d.gap.held) == 0 || now.Sub(d.gap.lastPull) < minPullInterval
	if !waits {
		d.gap.lastPull = now
	}
	have := d.known.At()
	d.mutex.Unlock()
	if waits {
		return
	}
	d.cfg.Peers.SendUpdatePull(from, have)
	if tries > 1 {
		time.AfterFunc(minPullInterval, func() { d.pullMissed(time.Now(), from, tries-1) })
	}
}

// noteListForwarded records that the whole list is being sent to boxes.
func (d *Discoverer) noteListForwarded(to []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.gap.listForwardedAt, d.gap.listForwardedTo = time.Now(), to
}

// addToHistory adds an applied update to the history. The caller holds the mutex.
func (d *Discoverer) addToHistory(u directory.Update) {
	d.gap.history = d.gap.history.With(u)
}

// Pull answers a box whose directory stands at the position have: with the changes since
// then, or with the whole directory if the history no longer covers them. It sends nothing
// if the box misses nothing, or if a forwarded list is still in flight to it.
func (d *Discoverer) Pull(from string, have uint64) {
	d.mutex.Lock()
	missed, kept := d.gap.history.Since(have)
	known := d.known
	underWay := have == 0 && time.Since(d.gap.listForwardedAt) < listTransitTime && slices.Contains(d.gap.listForwardedTo, from)
	d.mutex.Unlock()
	switch {
	case !known.Known() || have >= known.At() || underWay:
	case have > 0 && kept:
		d.cfg.Peers.SendUpdate(missed, from)
	default:
		d.cfg.Peers.SendUpdate(known.Snapshot(), from)
	}
}
