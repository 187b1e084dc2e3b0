// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package discover

import (
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/directory"
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
	d.outage = outage{heard: now}
	if !over {
		return
	}
	d.known = d.known.WithGrace(now.Add(gracePeriod))
	d.cfg.Log.WithFields(log.Fields{"away_ms": away.Milliseconds(), "position": d.known.At()}).Info("endpoint_entries_in_grace")
	time.AfterFunc(gracePeriod, func() {
		d.update(func(known directory.Directory) directory.Directory { return known.WithoutGrace(time.Now()) })
	})
}
