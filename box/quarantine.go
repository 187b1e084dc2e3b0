// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"time"

	"runridge.example/runridge/coordination/quarantine"
	"runridge.example/runridge/protocol/boxwire"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/poison"
)

// newQuarantine creates the keeper that detects poison requests.
func (b *Box) newQuarantine() *quarantine.Keeper {
	return quarantine.New(quarantine.Config{
		Self:          b.settings.Name,
		Prober:        endpointProber{b},
		Find:          b.findEndpoint,
		Peers:         b.others,
		Ranked:        b.nearRanked,
		Tree:          b.tree,
		RegionEntries: b.regionEntries,
		Metrics:       b.metrics,
		Log:           b.options.Log,
	})
}

// findEndpoint returns what this box knows of an endpoint, either of routed services or
// from the table, and whether it is known.
func (b *Box) findEndpoint(id string) (directory.Status, bool) {
	if found, known := b.Directory().Status(id); known {
		return found, true
	}
	e, known := b.follower.Table().Endpoint(id)
	return directory.Status{Entry: directory.Entry{ID: e.Name, Service: e.Pool, Address: e.Address, Zone: e.Zone, Draining: e.Leaving}}, known
}

// SendSuspects sends suspected requests to another box.
func (p peers) SendSuspects(to string, u poison.Update) {
	// A receiver detects a lost update by the digest in the next membership message.
	_ = p.net.Send(to, boxwire.FromSuspects(time.Now(), u))
}

// SendSuspectsPull asks another box for the suspected requests that it knows.
func (p peers) SendSuspectsPull(to string) {
	_ = p.net.Send(to, &boxwire.SuspectsPull{})
}

// receiveSuspects handles a message about suspected requests and reports whether it was
// one.
func (b *Box) receiveSuspects(from string, m boxwire.Message) bool {
	switch m := m.(type) {
	case *boxwire.Suspects:
		b.quarantine.Receive(from, m.Update(time.Now()))
	case *boxwire.SuspectsPull:
		b.quarantine.Pull(from)
	default:
		return false
	}
	return true
}
