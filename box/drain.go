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

// newDrains makes the duty that follows the drained zones.
func (b *Box) newDrains() *drain.Keeper {
	return drain.New(drain.Config{
		Self:     b.settings.Name,
		Source:   b.routed.platform,
		Peers:    b.others,
		Ranked:   b.nearRanked,
		Tree:     b.tree,
		Heads:    b.heads,
		Reads:    b.routed.discoverer.Reading,
		OnChange: b.setDrained,
		Log:      b.options.Log,
	})
}

// setDrained puts the drained zones into force.
func (b *Box) setDrained(z zones.Zones) { b.routed.discoverer.SetDrained(z.Names()) }

// platformLost has what waits for the platform ask anew.
func (b *Box) platformLost() {
	b.follower.Refresh()
	b.routed.drains.Refresh()
}

// listSpread is the time over which boxes look whether they are still on the platform's list
// after it came back older: all at once would be more than it answers.
const listSpread = 3 * time.Second

// platformReturned has the box look for its entry on the platform's list.
func (b *Box) platformReturned() {
	time.AfterFunc(rand.N(listSpread), b.members.ReadAgain)
}

// drainedVersion is that of the drained zones that this box knows.
func (b *Box) drainedVersion() zones.Version {
	if b.routed == nil {
		return zones.Version{}
	}
	return b.routed.drains.Zones().Version()
}

// countDrained is how many zones are drained, and the revision of that.
func (b *Box) countDrained() (zones int, revision uint64) {
	if b.routed == nil || b.routed.drains == nil {
		return 0, 0
	}
	known := b.routed.drains.Zones()
	return len(known.Drained()), known.Revision()
}

// SendDrained sends the drained zones to another box.
func (p peers) SendDrained(to string, u zones.Update) {
	// One that is lost is noticed by the revision of the next membership message.
	_ = p.net.Send(to, boxwire.FromDrained(u))
}

// SendDrainedPull asks another box for them.
func (p peers) SendDrainedPull(to string) {
	_ = p.net.Send(to, &boxwire.DrainedPull{})
}

// receiveDrained takes a message on drained zones, and says whether it was one.
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

// hearDrained takes in the version that another box names.
func (b *Box) hearDrained(from string, m *boxwire.Member) {
	if b.routed != nil {
		b.routed.drains.Heard(from, m.DrainedVersion(b.routed.drains.Zones().At()))
	}
}
