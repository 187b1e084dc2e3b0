// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package discover

import (
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/position"
)

const (
	// leastOutage is how long the platform must not have been heard for an
	// entry to lapse meanwhile although its endpoint lives.
	leastOutage = 1500 * time.Millisecond
	// gracePeriod is how long such entries have to come back. Endpoints write them
	// anew within about two seconds; an endpoint that has really gone must be
	// out before that.
	gracePeriod = 1800 * time.Millisecond
)

// outage is what a box knows of the platform's being away.
type outage struct {
	// heard is when the platform was last heard, here or through another box,
	// and failed says that a call to it has failed since.
	heard  time.Time
	failed bool
	// rereadAt is when the whole list is due once more; zero is not.
	rereadAt time.Time
	// returnedAt is when the platform was last seen to have come back older; zero is never.
	returnedAt time.Time
}

// noteFailed takes in that a call to the platform failed.
func (d *Discoverer) noteFailed() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.outage.failed = true
}

// noteHeard takes in that the platform is heard, before what it said is. After
// an outage entries that are missing have a grace period.
func (d *Discoverer) noteHeard(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	away := now.Sub(d.outage.heard)
	over := d.outage.failed && away >= leastOutage
	d.outage.heard, d.outage.failed = now, false
	if !over {
		return
	}
	d.graceFrom(now)
	d.cfg.Log.WithFields(log.Fields{"away_ms": away.Milliseconds(), "position": d.known.At()}).Info("endpoint_entries_in_grace")
}

const (
	// heldFor is for how long what is known of endpoints holds over the lists of a platform
	// that came back older: endpoints write their entries again within about two seconds,
	// and the platform takes out those of endpoints that are silent within some four.
	heldFor = 5 * time.Second
	// rereadAfter is when the boxes that read for all read the whole list once more: all
	// boxes take it as it is by then.
	rereadAfter = heldFor + time.Second
)

// noteReturn takes in that the platform has come back older, if a position tells so, before
// what it said is taken in.
func (d *Discoverer) noteReturn(now time.Time, at uint64) {
	d.mutex.Lock()
	before := d.known.At()
	if !d.known.Known() || position.Era(at) <= position.Era(before) {
		d.mutex.Unlock()
		return
	}
	d.known = d.known.WithHeld(now.Add(heldFor))
	d.graceFrom(now)
	d.outage.rereadAt, d.outage.returnedAt = now.Add(rereadAfter), now
	d.cfg.Log.WithFields(log.Fields{
		"era": position.Era(at), "position": at, "era_before": position.Era(before), "position_before": before,
	}).Warn("endpoint_list_came_back_older")
	d.mutex.Unlock()
	if d.cfg.OnReturn != nil {
		d.cfg.OnReturn()
	}
}

// correct has the directory stand at the position of a list that is not old. One that it
// has from an old list may be later in the same era, if that was read just after the
// platform came back: no change would be taken in until the platform comes past it.
func (d *Discoverer) correct(begun, at uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if at < begun && position.Era(at) == position.Era(begun) && d.known.At() == begun {
		d.known = d.known.WithPosition(at)
	}
}

// LatestReturn is the era of the platform as far as this box knows, and when it was seen to
// have come back older; zero is not since the box started.
func (d *Discoverer) LatestReturn() (era uint64, at time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return position.Era(d.known.At()), d.outage.returnedAt
}

// rereads says whether the whole list is due once more after the platform came back older.
func (d *Discoverer) rereads(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	due := !d.outage.rereadAt.IsZero() && now.After(d.outage.rereadAt)
	if due {
		d.outage.rereadAt = time.Time{}
	}
	return due
}

// graceFrom begins a grace period. The mutex is held.
func (d *Discoverer) graceFrom(now time.Time) {
	d.known = d.known.WithGrace(now.Add(gracePeriod))
	time.AfterFunc(gracePeriod, func() {
		d.update(func(known directory.Directory) directory.Directory { return known.WithoutGrace(time.Now()) })
	})
}
