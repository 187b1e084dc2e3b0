// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package discover

import (
	"slices"
	"time"

	"runridge.example/runridge/state/directory"
)

const (
	// maxHeld is how many updates beyond a gap are kept until it is filled.
	maxHeld = 16
	// pullPause is the least time between two questions for what was missed: what
	// fills the gap is mostly on its way already, and without a pause a fleet of 300
	// boxes that started asked 2,300 times in 10 s.
	pullPause = 250 * time.Millisecond
	// pullTries is how often a box asks without a further update: those come at least
	// once in a second.
	pullTries = 4
	// listUnderWay is how long a list that was passed on may be under way, to all boxes
	// below this one and over a narrow link.
	listUnderWay = time.Second
)

// gap is what a box keeps for changes that it or others have missed.
type gap struct {
	// held are updates that begin after what is known here.
	held []directory.Update
	// pulled is when this box last asked another.
	pulled time.Time
	// listPassed is when the whole list last went to boxes after this one, and
	// listTo which.
	listPassed time.Time
	listTo     []string
	// history are the last changes, for boxes that ask.
	history directory.History
}

// fill puts an update into force, and then those that waited for it.
func (d *Discoverer) fill(now time.Time, n directory.Update) {
	d.take(now, n)
	for {
		next, found := d.nextHeld()
		if !found {
			return
		}
		d.take(now, next)
	}
}

// nextHeld takes a held update that fits now, and drops those that are old.
func (d *Discoverer) nextHeld() (directory.Update, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	kept := d.gap.held[:0]
	var next directory.Update
	found := false
	for _, n := range d.gap.held {
		switch {
		case n.At <= d.known.At():
		case !found && d.known.Fits(n):
			next, found = n, true
		default:
			kept = append(kept, n)
		}
	}
	d.gap.held = kept
	return next, found
}

// hold keeps an update that begins after what is known here, and asks for what lies
// between.
func (d *Discoverer) hold(now time.Time, from string, n directory.Update) {
	d.mutex.Lock()
	if len(d.gap.held) == maxHeld {
		d.gap.held = d.gap.held[1:]
	}
	d.gap.held = append(d.gap.held, n)
	d.mutex.Unlock()
	d.ask(now, from, pullTries)
}

// ask asks a box for what was missed, unless one was asked just now, and asks again
// after a pause while it is still missing: the other may have missed it too.
func (d *Discoverer) ask(now time.Time, from string, tries int) {
	d.mutex.Lock()
	waits := len(d.gap.held) == 0 || now.Sub(d.gap.pulled) < pullPause
	if !waits {
		d.gap.pulled = now
	}
	have := d.known.At()
	d.mutex.Unlock()
	if waits {
		return
	}
	d.cfg.Peers.SendUpdatePull(from, have)
	if tries > 1 {
		time.AfterFunc(pullPause, func() { d.ask(time.Now(), from, tries-1) })
	}
}

// noteListPassed notes that the whole list goes to boxes.
func (d *Discoverer) noteListPassed(to []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.gap.listPassed, d.gap.listTo = time.Now(), to
}

// remember notes an update that was put into force. The mutex is held.
func (d *Discoverer) remember(n directory.Update) {
	d.gap.history = d.gap.history.With(n)
}

// Pull answers a box that stands at a position with what it has missed: the changes
// since, or all that is known here if they are not kept any more.
func (d *Discoverer) Pull(from string, have uint64) {
	d.mutex.Lock()
	missed, kept := d.gap.history.Since(have)
	known := d.known
	underWay := have == 0 && time.Since(d.gap.listPassed) < listUnderWay && slices.Contains(d.gap.listTo, from)
	d.mutex.Unlock()
	switch {
	case !known.Known() || have >= known.At() || underWay:
	case have > 0 && kept:
		d.cfg.Peers.SendUpdate(missed, from)
	default:
		d.cfg.Peers.SendUpdate(known.All(), from)
	}
}
