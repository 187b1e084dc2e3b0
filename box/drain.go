// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"math/rand/v2"
	"time"

	"runridge.example/runridge/coordination/drain"
	"runridge.example/runridge/protocol/boxwire"
	zones "runridge.example/runridge/state/drain"
)

// newDrains creates the keeper of the drained zones.
func (b *Box) newDrains() *drain.Keeper {
	return drain.New(drain.Config{
		Self:          b.settings.Name,
		Source:        b.routed.platform,
		Peers:         b.others,
		Ranked:        b.nearRanked,
		Tree:          b.tree,
		RegionEntries: b.regionEntries,
		Reads:         b.routed.discoverer.Reading,
		OnChange:      b.setDrained,
		Log:           b.options.Log,
	})
}

// setDrained puts the drained zones into force.
func (b *Box) setDrained(z zones.Zones) { b.routed.discoverer.SetDrained(z.Names()) }

// rereadPlatform makes the table follower and the keeper of drained zones read again at once: a wait
// that was pending when the platform was lost may never end, and a box that starts to read has
// relied on others until now.
func (b *Box) rereadPlatform() {
	b.follower.Refresh()
	b.routed.drains.Refresh()
}

// platformReached reports whether the platform answered this box's last read of the table and of the
// drained zones.
func (b *Box) platformReached() bool { return b.follower.Reaches() && b.routed.drains.Reaches() }

// listReadJitter is the time over which boxes spread their reads of the platform's list of
// boxes after the platform came back with an older state: all of them at once would be more
// than it can answer.
const listReadJitter = 3 * time.Second

// platformRestored makes the box check, after a random delay, whether it is still on the
// platform's list of boxes.
func (b *Box) platformRestored() {
	time.AfterFunc(rand.N(listReadJitter), b.members.RereadList)
}

// drainedVersion returns the version of the drained zones that this box knows.
func (b *Box) drainedVersion() zones.Version {
	if b.routed == nil {
		return zones.Version{}
	}
	return b.routed.drains.Zones().Version()
}

// countDrained returns the number of drained zones and the revision at which this is known.
func (b *Box) countDrained() (zones int, revision uint64) {
	if b.routed == nil || b.routed.drains == nil {
		return 0, 0
	}
	known := b.routed.drains.Zones()
	return len(known.Drained()), known.Revision()
}

// SendDrained sends the drained zones to another box.
func (p peers) SendDrained(to string, u zones.Update) {
	// A receiver detects a lost update by the revision in the next membership message.
	_ = p.net.Send(to, boxwire.FromDrained(u))
}

// SendDrainedPull asks another box for its drained zones.
func (p peers) SendDrainedPull(to string) {
	_ = p.net.Send(to, &boxwire.DrainedPull{})
}

// receiveDrained handles a message about drained zones and reports whether it was one.
func (b *Box) receiveDrained(from string, m boxwire.Message) bool {
	if b.routed == nil {
		return false
	}
	switch m := m.(type) {
	case *boxwire.Drained:
		b.routed.drains.Receive(from, m.Open(b.routed.drains.Zones().At()))
	case *boxwire.DrainedPull:
		b.routed.drains.Pull(from)
	default:
		return false
	}
	return true
}

// receiveDrainedVersion compares the version of the drained zones in another box's
// membership message with this box's.
func (b *Box) receiveDrainedVersion(from string, m *boxwire.Member) {
	if b.routed != nil {
		b.routed.drains.Heard(from, m.DrainedVersion(b.routed.drains.Zones().At()))
	}
}
