// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package discover

import (
	"math/rand/v2"
	"slices"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/cover"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/spread"
)

// Peers takes updates between boxes. Calls must not block.
type Peers interface {
	// SendUpdate tells some boxes what has changed.
	SendUpdate(n directory.Update, to ...string)
	// SendUpdatePull asks a box for what came after a position.
	SendUpdatePull(to string, have uint64)
}

const (
	// rankKey orders the boxes for who reads the platform.
	rankKey = "endpoints"
	// forgetUpdates is how long the number of a box's last update is remembered: long
	// enough that no update goes in circles while boxes disagree on the tree,
	// and less than a box needs to start again.
	forgetUpdates = 3 * time.Second
)

// heard is the last update of one origin.
type heard struct {
	sequence uint64
	at       time.Time
}

// shared is what a box knows of the others' updates.
type shared struct {
	// sequence numbers this box's own updates.
	sequence uint64
	// seen is the last update of each other box.
	seen  map[string]heard
	cover cover.Cover
	// told is up to where another box of the region has told the changes.
	told uint64
	// decided is what this box last decided on reading the platform.
	decided cover.Decision
}

func newShared() shared {
	return shared{seen: make(map[string]heard), cover: cover.New(time.Now())}
}

// place is where a box stands in the order of those that read the platform.
func (d *Discoverer) place(box string) cover.Place {
	return d.placeIn(d.cfg.Ranked(rankKey), box)
}

func (d *Discoverer) placeIn(order []string, box string) cover.Place {
	return cover.Place{Rank: slices.Index(order, box), Boxes: len(order), Readers: d.cfg.Readers}
}

// Reading says whether this box reads the platform itself.
func (d *Discoverer) Reading() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.shared.decided.Read
}

// decide says whether this box has to read the platform itself.
func (d *Discoverer) decide(now time.Time) cover.Decision {
	if d.cfg.Peers == nil {
		return cover.Decision{Read: true, Tell: true}
	}
	place := d.place(d.cfg.Self)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	decided := d.shared.cover.Decide(now, place)
	if decided.Read != d.shared.decided.Read {
		d.cfg.Log.WithFields(log.Fields{
			"watching": decided.Read,
			"position": d.known.At(),
			"rank":     place.Rank,
			"boxes":    place.Boxes,
			"lost":     d.shared.cover.Lost(now),
		}).Info("endpoint_watch_changed")
	}
	d.shared.decided = decided
	return decided
}

// noteRead takes in whether this box's own read of the platform worked.
func (d *Discoverer) noteRead(worked bool) {
	if d.cfg.Peers == nil {
		return
	}
	place := d.place(d.cfg.Self)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.shared.cover = d.shared.cover.WithRead(time.Now(), place, worked, rand.Float64())
}

// standbyStep is how much later each further reader tells what it has read, unless
// another one has told it by then: some round trips between boxes. Three readers that
// all told at once sent each change three times to all boxes, as a change ends the
// waits of all three.
const standbyStep = 100 * time.Millisecond

// tell passes on what this box has read from the platform, if it reads it for
// others too: at once if it is the first of the readers or stands in for them.
func (d *Discoverer) tell(n directory.Update) { d.tellUnless(n, n.At) }

// tellUnless tells as a further reader only if no other box has told the changes up
// to a position.
func (d *Discoverer) tellUnless(n directory.Update, told uint64) {
	if d.cfg.Peers == nil || !d.decide(time.Now()).Tell {
		return
	}
	place := d.place(d.cfg.Self)
	if len(n.Changes) == 0 || place.Rank == 0 || !place.Reader() {
		d.send(n)
		return
	}
	time.AfterFunc(time.Duration(place.Rank)*standbyStep, func() {
		switch known := d.toldAt() >= told; {
		case known && n.Whole:
			return
		case known:
			// The word alone: a box that has missed the changes asks for them.
			n = directory.Update{After: n.At, At: n.At}
		}
		d.send(n)
	})
}

// toldAt is up to where another box of the region has told the changes.
func (d *Discoverer) toldAt() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.shared.told
}

// send sends an update of this box to the others.
func (d *Discoverer) send(n directory.Update) {
	d.mutex.Lock()
	d.shared.sequence++
	n.Origin, n.Sequence = d.cfg.Self, d.shared.sequence
	d.mutex.Unlock()
	d.pass(n)
	d.passAcross(n)
}

// lostUpdate tells that the platform was lost, or is back: nothing has changed as
// far as this box knows, and it covers nobody.
func (d *Discoverer) lostUpdate() directory.Update {
	at := d.Directory().At()
	return directory.Update{After: at, At: at, Lost: true}
}

// pass sends an update to this box's children in its region's tree, whose root is
// the origin or the box that took the update in for the region. So no box sends to
// more than a few.
func (d *Discoverer) pass(n directory.Update) {
	to := spread.Below(spread.Draw(d.cfg.Tree, d.cfg.Ranked, treeKey(n.Origin), n.Origin), d.cfg.Self)
	if len(to) == 0 {
		return
	}
	if n.Whole {
		d.noteListPassed(to)
	}
	d.cfg.Peers.SendUpdate(n, to...)
}

// treeKey is what the tree of an origin's updates is drawn from.
func treeKey(origin string) string { return rankKey + "@" + origin }

// passAcross sends an update of this box to one box of each other region. There it
// counts only while that region's own readers are silent: a region may have lost
// the platform and not the other boxes. That this region has lost the platform
// proves nothing there, and whole lists are asked for.
func (d *Discoverer) passAcross(n directory.Update) {
	if d.cfg.Heads == nil || n.Lost || n.Whole {
		return
	}
	if to := d.cfg.Heads(treeKey(n.Origin)); len(to) > 0 {
		d.cfg.Peers.SendUpdate(n, to...)
	}
}

// Receive takes an update from another box and passes it on. One without an origin
// is the answer to this box's own question, and goes no further.
func (d *Discoverer) Receive(from string, n directory.Update) {
	now := time.Now()
	answer := n.Origin == ""
	if !answer && !d.unseen(now, n) {
		return
	}
	if d.Directory().Fits(n) {
		d.fill(now, n)
	} else {
		d.hold(now, from, n)
	}
	if n.Lost {
		d.noteLost(now)
	}
	if !answer && d.passes(now, n) {
		d.pass(n)
	}
}

// noteLost takes in that a reader has lost the platform. The first word of it
// ends this box's own waits, which may wait in vain.
func (d *Discoverer) noteLost(now time.Time) {
	place := d.place(d.cfg.Self)
	d.mutex.Lock()
	first := !d.shared.cover.Lost(now)
	d.shared.cover = d.shared.cover.WithLost(now, place, rand.Float64())
	d.mutex.Unlock()
	if first {
		d.lost()
	}
}

// passes says whether an update goes on to the boxes after this one.
func (d *Discoverer) passes(now time.Time, n directory.Update) bool {
	origin := d.place(n.Origin)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.shared.cover.Passes(now, origin)
}

// unseen notes an update and says whether it has not been here before.
func (d *Discoverer) unseen(now time.Time, n directory.Update) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	last := d.shared.seen[n.Origin]
	if n.Origin == d.cfg.Self || n.Sequence <= last.sequence && now.Sub(last.at) < forgetUpdates {
		return false
	}
	d.shared.seen[n.Origin] = heard{sequence: n.Sequence, at: now}
	return true
}

// take puts an update that fits into force. One that is not older than what is
// known here covers this box, unless it tells that the platform is lost.
func (d *Discoverer) take(now time.Time, n directory.Update) {
	order := d.cfg.Ranked(rankKey)
	own, origin := d.placeIn(order, d.cfg.Self), d.placeIn(order, n.Origin)
	d.mutex.Lock()
	if origin.Rank >= 0 {
		d.shared.told = max(d.shared.told, n.At)
	}
	covers := n.At >= d.known.At() && !n.Lost
	if covers {
		d.shared.cover = d.shared.cover.WithWord(now, own, origin)
	}
	d.mutex.Unlock()
	if covers {
		d.noteHeard(now)
	}
	d.noteReturn(now, n.At)
	d.update(func(known directory.Directory) directory.Directory {
		if n.At > known.At() {
			d.remember(n)
		}
		return known.WithUpdate(now, n)
	})
}
