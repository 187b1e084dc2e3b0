// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package cover decides whether a box reads the platform itself or relies on other boxes that
// read it for all. It does no I/O: times and random numbers are arguments, and a Cover is an
// immutable value.
//
// The first few boxes, in an order that all boxes agree on, are the readers: they read the
// platform and send updates to the others. A box that receives no update from any of them reads
// the platform itself and sends updates in their place. This keeps the number of platform calls
// independent of the number of boxes: when every box read for itself, 295 boxes made 10,200
// calls on a day of 48 s without faults and 26,500 on one with faults.
package cover

import (
	"cmp"
	"time"
)

const (
	// Readers is the number of boxes, the first in rank, that read the platform for all: one
	// may be cut off and another one may crash before anyone notices.
	Readers = 3
	// RegionReaders is the number of readers in each of several regions; their updates reach
	// the other regions too. With three in each, two regions made 1,280 calls on a quiet day of
	// 48 s, where one set of readers had made 740.
	RegionReaders = 2
	// Validity is how long an update of a reader keeps a box from reading itself. It is
	// somewhat longer than the 600 ms that a reader waits for changes, after which it always
	// sends an update.
	Validity = 700 * time.Millisecond
	// startTime is how long a box that knows no other box waits for the list of boxes before it
	// assumes that it is the only one. The list is read again after 2 s.
	startTime = 2500 * time.Millisecond
	// takeoverStep is the additional delay with which each further box in rank replaces the
	// readers, so that the update of the first one arrives before most others read: an update
	// crosses the tree of boxes in some 10 ms.
	takeoverStep = 20 * time.Millisecond
	// maxTakeoverDelay bounds that delay: with Validity, a box that is cut off from all others
	// reads the platform well within a second.
	maxTakeoverDelay = 150 * time.Millisecond
	// TurnStep is the extra delay, per rank, after which a further reader sends what it has read,
	// unless another one has sent it by then; it covers some round trips between boxes. When all
	// three readers sent at once, each change went three times to all boxes, because a change ends
	// the waits of all three.
	TurnStep = 100 * time.Millisecond
	// standbys is how many boxes, the next in rank after the readers, try to replace them at
	// once even if a reader has lost the platform.
	standbys = 16
	// lostTime is how long a reader's message that it has lost the platform is valid. Readers
	// repeat it with each failed call, at most 1.7 s apart.
	lostTime = 2500 * time.Millisecond
	// tryGap is the average time between two tries of all boxes together while the readers have
	// lost the platform: the platform may still serve some boxes.
	tryGap = 100 * time.Millisecond
)

// Place is the position of a box among those that may read.
type Place struct {
	// Rank is its position in the order that all boxes agree on, starting at 0; negative if it
	// is not in it.
	Rank int
	// Boxes is the number of boxes in the order.
	Boxes int
	// Readers is how many of the first boxes read the platform for all; 0 means the constant
	// Readers.
	Readers int
}

// Reader reports whether the box at this place always reads.
func (p Place) Reader() bool { return p.Rank >= 0 && p.Rank < cmp.Or(p.Readers, Readers) }

// Turn returns how long a box at this place leaves it to the readers before it to send what it has
// read too; 0 for a box that isn't a reader, since it reads in their place.
func (p Place) Turn() time.Duration {
	if !p.Reader() {
		return 0
	}
	return time.Duration(p.Rank) * TurnStep
}

// Cover is what a box knows of the boxes that read the platform for it.
type Cover struct {
	// started is when the box started, and updated when the last update of a reader arrived.
	started, updated time.Time
	// reader is when the last update of one of the first boxes in rank arrived.
	reader time.Time
	// lost is when a reader last reported that it has lost the platform.
	lost time.Time
	// nextTry is when this box tries to read the platform itself meanwhile.
	nextTry time.Time
	// standIn means that this box reads in place of the readers.
	standIn bool
	// tried is when this box's own last read of the platform ended, whether it worked or not.
	tried time.Time
}

// New returns the cover of a box that starts.
func New(now time.Time) Cover { return Cover{started: now} }

// Decision says what a box does now.
type Decision struct {
	// Read means that it reads the platform.
	Read bool
	// Announce means that it sends what it reads to the others. If the read of a box without
	// Announce works, it sends updates from then on, before the next boxes in rank read too.
	Announce bool
	// AtOnce means that it doesn't wait for changes, because it is not known whether any box
	// reaches the platform.
	AtOnce bool
	// MaxWait bounds its wait for changes; 0 means no bound.
	MaxWait time.Duration
	// Wait is how long a box that does not read may wait before it decides again.
	Wait time.Duration
}

// Decide decides whether the box at a place reads the platform now.
func (c Cover) Decide(now time.Time, p Place) Decision {
	if p.Boxes <= 1 && now.Sub(c.started) < startTime {
		return Decision{Wait: startTime - now.Sub(c.started)}
	}
	if p.Reader() || c.standIn {
		return c.announcedRead(now, p)
	}
	if wait := c.due(p).Sub(now); wait > 0 {
		return Decision{Wait: wait}
	}
	return Decision{Read: true, AtOnce: true}
}

// announcedRead returns the decision to read for all. A box that starts to do so sends its first
// update before the last one from another box expires.
func (c Cover) announcedRead(now time.Time, p Place) Decision {
	decision := Decision{Read: true, Announce: true}
	if !c.tried.IsZero() && now.Sub(c.tried) < Validity {
		return decision
	}
	decision.MaxWait = max(c.due(p).Sub(now), 0)
	decision.AtOnce = decision.MaxWait == 0
	return decision
}

// due returns when a box that is not a reader reads itself unless an update arrives.
func (c Cover) due(p Place) time.Time {
	deadline := c.updated
	if deadline.IsZero() {
		// The readers need as long to discover each other as this box does.
		deadline = c.started.Add(startTime)
	}
	deadline = deadline.Add(Validity)
	if !c.nextTry.IsZero() {
		return later(c.nextTry, deadline)
	}
	return deadline.Add(p.takeoverDelay())
}

// standby returns how many boxes come between the readers and this one in rank.
func (p Place) standby() int { return p.Rank - cmp.Or(p.Readers, Readers) }

// takeoverDelay returns how much later than a reader this box reads if no update arrives.
func (p Place) takeoverDelay() time.Duration {
	if p.Rank < 0 {
		return maxTakeoverDelay
	}
	return min(time.Duration(max(p.standby()+1, 0))*takeoverStep, maxTakeoverDelay)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// WithUpdate returns the cover after an update from a box that reads the platform. A stand-in
// continues to read unless the other box precedes it in rank.
func (c Cover) WithUpdate(now time.Time, own, origin Place) Cover {
	if c.standIn && (origin.Rank < 0 || origin.Rank > own.Rank) {
		return c
	}
	c.updated, c.lost, c.nextTry, c.standIn = now, time.Time{}, time.Time{}, false
	if origin.Reader() {
		c.reader = now
	}
	return c
}

// WithLost returns the cover after a reader reported that it has lost the platform. The random
// number chance, from 0 to 1, spreads the first tries of boxes that are not standbys.
func (c Cover) WithLost(now time.Time, p Place, chance float64) Cover {
	if !c.Lost(now) && (p.Rank < 0 || p.standby() >= standbys) {
		c.nextTry = drawTry(now, p, chance)
	}
	c.lost = now
	return c
}

// Lost reports whether a reader has lost the platform, as far as this box knows.
func (c Cover) Lost(now time.Time) bool {
	return !c.lost.IsZero() && now.Sub(c.lost) < lostTime
}

// drawTry returns a random time for the next try of a box while the readers have lost the
// platform.
func drawTry(now time.Time, p Place, chance float64) time.Time {
	maxDelay := tryGap * time.Duration(max(p.Boxes, 1))
	return now.Add(max(time.Duration(chance*float64(maxDelay)), tryGap))
}

// WithRead returns the cover after this box itself has read the platform. If that worked, a box
// that is not a reader and has received no update meanwhile becomes a stand-in for the
// readers.
func (c Cover) WithRead(now time.Time, p Place, worked bool, chance float64) Cover {
	c.standIn = worked && !p.Reader() && (c.updated.IsZero() || now.Sub(c.updated) >= Validity)
	c.nextTry, c.tried = time.Time{}, now
	if !worked && c.Lost(now) {
		c.nextTry = drawTry(now, p, chance)
	}
	return c
}

// Forwards reports whether a box forwards an update to the boxes below it. The update of a mere
// stand-in is not needed where a reader's updates arrive: boxes that receive nothing, but can
// send, would otherwise flood the others.
func (c Cover) Forwards(now time.Time, origin Place) bool {
	return origin.Reader() || c.reader.IsZero() || now.Sub(c.reader) >= Validity
}
