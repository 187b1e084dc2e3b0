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

// Peers sends updates between boxes. Calls must not block.
type Peers interface {
	// SendUpdate sends an update to some boxes.
	SendUpdate(u directory.Update, to ...string)
	// SendUpdatePull asks a box for the changes after a position.
	SendUpdatePull(to string, have uint64)
}

const (
	// rankKey is the key of the order in which boxes read the platform.
	rankKey = "endpoints"
	// sequenceMemory is how long the sequence number of a box's last update is remembered:
	// long enough that no update loops while boxes disagree on the tree, and less than a box
	// needs to restart.
	sequenceMemory = 3 * time.Second
)

// lastUpdate is the sequence number and arrival time of an origin's latest update.
type lastUpdate struct {
	sequence uint64
	at       time.Time
}

// exchange is a box's state in the exchange of updates with others.
type exchange struct {
	// sequence is the number of this box's latest update.
	sequence uint64
	// seen maps an origin to its latest update.
	seen  map[string]lastUpdate
	cover cover.Cover
	// announced is the latest position that another box of the region has announced.
	announced uint64
	// decided is the latest decision on whether this box reads the platform.
	decided cover.Decision
}

func newExchange() exchange {
	return exchange{seen: make(map[string]lastUpdate), cover: cover.New(time.Now())}
}

// place returns the position of a box in the order of readers.
func (d *Discoverer) place(box string) cover.Place {
	return d.placeIn(d.cfg.Ranked(rankKey), box)
}

func (d *Discoverer) placeIn(order []string, box string) cover.Place {
	return cover.Place{Rank: slices.Index(order, box), Boxes: len(order), Readers: d.cfg.Readers}
}

// Reading reports whether this box reads the platform itself.
func (d *Discoverer) Reading() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.exchange.decided.Read
}

// decide returns, and records, whether this box has to read the platform itself and
// announce what it reads.
func (d *Discoverer) decide(now time.Time) cover.Decision {
	if d.cfg.Peers == nil {
		return cover.Decision{Read: true, Announce: true}
	}
	place := d.place(d.cfg.Self)
	decision, started := d.decideAt(now, place)
	if started && d.cfg.OnReading != nil {
		d.cfg.OnReading()
	}
	return decision
}

// decideAt is like decide for a place, and reports whether this box starts to read.
func (d *Discoverer) decideAt(now time.Time, place cover.Place) (decision cover.Decision, started bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	before := d.exchange.decided.Read
	decision = d.exchange.cover.Decide(now, place)
	if decision.Read != before {
		d.cfg.Log.WithFields(log.Fields{
			"watching": decision.Read,
			"position": d.known.At(),
			"rank":     place.Rank,
			"boxes":    place.Boxes,
			"lost":     d.exchange.cover.Lost(now),
		}).Info("endpoint_watch_changed")
	}
	d.exchange.decided = decision
	return decision, decision.Read && !before
}

// noteRead records whether this box's own read of the platform succeeded.
func (d *Discoverer) noteRead(worked bool) {
	if d.cfg.Peers == nil {
		return
	}
	place := d.place(d.cfg.Self)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.exchange.cover = d.exchange.cover.WithRead(time.Now(), place, worked, rand.Float64())
}

// Turn returns how long this box leaves it to the readers before it in rank to send what it has
// read too.
func (d *Discoverer) Turn() time.Duration { return d.place(d.cfg.Self).Turn() }

// announce sends what this box has read from the platform to the others, if it reads for
// them: at once if it is the first reader or a stand-in for the readers.
func (d *Discoverer) announce(u directory.Update) { d.announceUnless(u, u.At) }

// announceUnless is like announce, but a further reader sends the update in full only if
// no other box has announced the changes up to a position.
func (d *Discoverer) announceUnless(u directory.Update, announced uint64) {
	if d.cfg.Peers == nil || !d.decide(time.Now()).Announce {
		return
	}
	turn := d.Turn()
	if len(u.Changes) == 0 || turn == 0 {
		d.send(u)
		return
	}
	time.AfterFunc(turn, func() {
		switch known := d.announcedPosition() >= announced; {
		case known && u.Whole:
			return
		case known:
			// Send only the position: a box that has missed the changes pulls them.
			u = directory.Update{After: u.At, At: u.At}
		}
		d.send(u)
	})
}

// announcedPosition returns the latest position that another box of the region has
// announced.
func (d *Discoverer) announcedPosition() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.exchange.announced
}

// send numbers an update of this box and sends it within the region and to the other
// regions.
func (d *Discoverer) send(u directory.Update) {
	d.mutex.Lock()
	d.exchange.sequence++
	u.Origin, u.Sequence = d.cfg.Self, d.exchange.sequence
	d.mutex.Unlock()
	u.Lost = u.Lost || d.cfg.Vouches != nil && !d.cfg.Vouches()
	d.forward(u)
	d.sendToOtherRegions(u)
}

// lostUpdate returns an update which says that this box lost the platform or regained it:
// it contains no changes and doesn't count as coverage for other boxes.
func (d *Discoverer) lostUpdate() directory.Update {
	at := d.Directory().At()
	return directory.Update{After: at, At: at, Lost: true}
}

// forward sends an update to this box's children in its region's tree, whose root is the
// origin or the box that receives updates on behalf of the region. So no box sends to more
// than a few.
func (d *Discoverer) forward(u directory.Update) {
	to := spread.Children(spread.TreeOrder(d.cfg.Tree, d.cfg.Ranked, treeKey(u.Origin), u.Origin), d.cfg.Self)
	if len(to) == 0 {
		return
	}
	if u.Whole {
		d.noteListForwarded(to)
	}
	d.cfg.Peers.SendUpdate(u, to...)
}

// treeKey returns the key from which the tree of an origin's updates is derived.
func treeKey(origin string) string { return rankKey + "@" + origin }

// sendToOtherRegions sends an update of this box to one box of each other region, which
// forwards it only while that region's own readers are silent: a region may have lost the
// platform but not the other boxes. Updates about a lost platform aren't sent, because
// they prove nothing about another region's access to it; nor are whole lists, which boxes
// pull when they need them.
func (d *Discoverer) sendToOtherRegions(u directory.Update) {
	if d.cfg.RegionEntries == nil || u.Lost || u.Whole {
		return
	}
	if to := d.cfg.RegionEntries(treeKey(u.Origin)); len(to) > 0 {
		d.cfg.Peers.SendUpdate(u, to...)
	}
}

// Receive applies an update from another box and forwards it. An update without an origin
// is the answer to this box's own pull and isn't forwarded.
func (d *Discoverer) Receive(from string, u directory.Update) {
	now := time.Now()
	answer := u.Origin == ""
	if !answer && !d.noteSequence(now, u) {
		return
	}
	if d.Directory().Fits(u) {
		d.applyWithHeld(now, u)
	} else {
		d.hold(now, from, u)
	}
	if u.Lost {
		d.noteLost(now)
	}
	if !answer && d.shouldForward(now, u) {
		d.forward(u)
	}
}

// noteLost records that a reader has lost the platform. The first such report ends this
// box's own waits, which may never return.
func (d *Discoverer) noteLost(now time.Time) {
	place := d.place(d.cfg.Self)
	d.mutex.Lock()
	first := !d.exchange.cover.Lost(now)
	d.exchange.cover = d.exchange.cover.WithLost(now, place, rand.Float64())
	d.mutex.Unlock()
	if first {
		d.notifyLost()
	}
}

// shouldForward reports whether an update is forwarded to this box's children.
func (d *Discoverer) shouldForward(now time.Time, u directory.Update) bool {
	origin := d.place(u.Origin)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.exchange.cover.Forwards(now, origin)
}

// noteSequence records an update's sequence number and reports whether the update is new
// to this box.
func (d *Discoverer) noteSequence(now time.Time, u directory.Update) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	last := d.exchange.seen[u.Origin]
	if u.Origin == d.cfg.Self || u.Sequence <= last.sequence && now.Sub(last.at) < sequenceMemory {
		return false
	}
	d.exchange.seen[u.Origin] = lastUpdate{sequence: u.Sequence, at: now}
	return true
}

// apply applies an update that fits the directory. One that is at least as new as the
// directory covers this box, unless it says that the platform is lost.
func (d *Discoverer) apply(now time.Time, u directory.Update) {
	order := d.cfg.Ranked(rankKey)
	own, origin := d.placeIn(order, d.cfg.Self), d.placeIn(order, u.Origin)
	d.mutex.Lock()
	if origin.Rank >= 0 {
		d.exchange.announced = max(d.exchange.announced, u.At)
	}
	covers := u.At >= d.known.At() && !u.Lost
	if covers {
		d.exchange.cover = d.exchange.cover.WithUpdate(now, own, origin)
	}
	d.mutex.Unlock()
	if covers {
		d.noteHeard(now)
	}
	d.noteRestore(now, u.At)
	d.update(func(known directory.Directory) directory.Directory {
		if u.At > known.At() {
			d.addToHistory(u)
		}
		return known.WithUpdate(now, u)
	})
}
