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
	// minOutage is the shortest silence of the platform in which an entry may expire
	// although its endpoint is alive.
	minOutage = 1500 * time.Millisecond
	// minFailures is how many calls have to fail in an outage, as the platform may lose one of them, unless
	// one lasts for minOutage.
	minFailures = 2
	// maxOverrun is how much longer than its bound a call may last if the box itself was not suspended.
	maxOverrun = 500 * time.Millisecond
	// gracePeriod is how long such entries have to reappear. Endpoints rewrite them within
	// about two seconds; an endpoint that is really gone must be out of the directory before
	// that.
	gracePeriod = 1800 * time.Millisecond
)

// outage tracks whether the platform is unavailable or was restored from an older copy.
type outage struct {
	// lastHeard is when the platform last answered this box, or another box that reported
	// it. failures counts the calls to the platform that have failed since, and longest is the time that the
	// longest of them took.
	lastHeard time.Time
	failures  int
	longest   time.Duration
	// rereadAt is when the whole list has to be read once more; zero means that no such read
	// is due.
	rereadAt time.Time
	// restoredAt is when the platform was last found to be restored from an older copy; zero
	// means never.
	restoredAt time.Time
}

// noteFailed records that a call to the platform failed after some time, of at most bound. One that took
// much longer shows that this box was suspended, and nothing of the platform.
func (d *Discoverer) noteFailed(took, bound time.Duration) {
	if took > bound+maxOverrun {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.outage.failures++
	d.outage.longest = max(d.outage.longest, took)
}

// LastHeard returns when the platform last answered this box, or another box that reported it.
func (d *Discoverer) LastHeard() time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.outage.lastHeard
}

// noteHeard records that the platform answers. It is called before the answer is applied,
// so that entries that disappear after an outage get a grace period.
func (d *Discoverer) noteHeard(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	away := now.Sub(d.outage.lastHeard)
	failed := d.outage.failures >= minFailures || d.outage.longest >= minOutage
	d.outage.lastHeard, d.outage.failures, d.outage.longest = now, 0, 0
	if !failed || away < minOutage {
		return
	}
	d.startGrace(now)
	d.cfg.Log.WithFields(log.Fields{"away_ms": away.Milliseconds(), "position": d.known.At()}).Info("endpoint_entries_in_grace")
}

const (
	// holdAfterRestore is how long known endpoints override the lists of a platform that was
	// restored from an older copy: endpoints rewrite their entries within about two seconds,
	// and the platform removes those of silent endpoints within about four.
	holdAfterRestore = 5 * time.Second
	// rereadAfter is the delay until the reading boxes read the whole list once more; all
	// boxes accept the list as it is by then.
	rereadAfter = holdAfterRestore + time.Second
)

// noteRestore checks whether the position at shows that the platform was restored from an
// older copy. If so it keeps the known endpoints for holdAfterRestore, starts a grace
// period, schedules another read and calls OnRestore. It is called before what was read at
// that position is applied.
func (d *Discoverer) noteRestore(now time.Time, at uint64) {
	d.mutex.Lock()
	before := d.known.At()
	if !d.known.Known() || position.Era(at) <= position.Era(before) {
		d.mutex.Unlock()
		return
	}
	d.known = d.known.WithRestoredUntil(now.Add(holdAfterRestore))
	d.startGrace(now)
	d.outage.rereadAt, d.outage.restoredAt = now.Add(rereadAfter), now
	d.cfg.Log.WithFields(log.Fields{
		"era": position.Era(at), "position": at, "era_before": position.Era(before), "position_before": before,
	}).Warn("endpoint_list_came_back_older")
	d.mutex.Unlock()
	if d.cfg.OnRestore != nil {
		d.cfg.OnRestore()
	}
}

// correctPosition sets the directory to the position of a fresh list. A position that came
// from a stale list may be later in the same era, if that list was read just after the
// platform was restored: no change would be accepted until the platform had passed that
// position.
func (d *Discoverer) correctPosition(before, at uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if at < before && position.Era(at) == position.Era(before) && d.known.At() == before {
		d.known = d.known.WithPosition(at)
	}
}

// LatestRestore returns the platform's era as far as this box knows, and when the platform
// was last found to be restored from an older copy; the time is zero if that hasn't
// happened since this box started.
func (d *Discoverer) LatestRestore() (era uint64, at time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return position.Era(d.known.At()), d.outage.restoredAt
}

// takeRereadDue reports whether the whole list has to be read once more after the platform
// was restored from an older copy, and clears the schedule if so.
func (d *Discoverer) takeRereadDue(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	due := !d.outage.rereadAt.IsZero() && now.After(d.outage.rereadAt)
	if due {
		d.outage.rereadAt = time.Time{}
	}
	return due
}

// startGrace starts a grace period at now. The caller holds the mutex.
func (d *Discoverer) startGrace(now time.Time) {
	d.known = d.known.WithGrace(now.Add(gracePeriod))
	time.AfterFunc(gracePeriod, func() {
		d.update(func(known directory.Directory) directory.Directory { return known.WithGraceEnded(time.Now()) })
	})
}
