// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow

import (
	"fmt"
	"slices"
	"time"

	"runridge.example/runridge/state/cover"
	"runridge.example/runridge/state/spread"
	"runridge.example/runridge/state/table"
)

// forwardRead sends a change that this box has read from the platform to the others, after its
// turn, unless a change from another reader has been sent on by then. Each region follows the
// platform by itself; a region that has lost the platform learns of a newer generation from the
// boxes of another region and pulls it.
func (f *Follower) forwardRead(change table.Delta) {
	if !f.watching() {
		return
	}
	change.Origin = f.cfg.Self
	turn := f.turn()
	if turn <= 0 {
		f.forward(change)
		return
	}
	time.AfterFunc(turn, func() { f.forward(change) })
}

// turn returns how long this box leaves it to the readers before it in rank to send a change.
func (f *Follower) turn() time.Duration {
	if f.cfg.Turn != nil {
		return f.cfg.Turn()
	}
	return cover.Place{Rank: slices.Index(f.cfg.Ranked(ObjectName), f.cfg.Self)}.Turn()
}

// forward sends a change to this box's children in the region's tree, whose root is the origin,
// unless it has already sent on this table or a newer one. A box that isn't in the tree because it
// is leaving sends to the tree's root.
func (f *Follower) forward(change table.Delta) {
	f.mutex.Lock()
	sent := !change.Stamp().NewerThan(f.forwarded)
	if !sent {
		f.forwarded, f.origin = change.Stamp(), change.Origin
	}
	f.mutex.Unlock()
	if sent {
		return
	}
	key := "table@" + change.Origin
	if change.Origin == "" {
		key = fmt.Sprintf("table@%d", change.Generation)
	}
	order := spread.TreeOrder(f.cfg.Tree, f.cfg.Ranked, key, change.Origin)
	to := spread.Children(order, f.cfg.Self)
	if change.Origin == f.cfg.Self && len(order) > 0 && order[0] != f.cfg.Self {
		to = order[:1]
	}
	if len(to) > 0 {
		f.cfg.Peers.SendChange(change, to...)
	}
}

// Receive applies a change from another box and forwards it, or pulls from that box what is
// missing if the change doesn't fit the table here.
func (f *Follower) Receive(from string, d table.Delta) {
	f.mutex.Lock()
	current := f.table
	if !f.gateOpen {
		current = f.pending
	}
	f.mutex.Unlock()
	if d.Stamp().NewerThan(current.Stamp()) {
		next, fits := current.WithDelta(d)
		if !fits {
			f.cfg.Peers.SendPull(from, current.Stamp())
			return
		}
		f.take(next)
	}
	f.forward(d)
}

// Pull answers a box that has an older table, with a change if its table is still kept
// here and with the whole table otherwise.
func (f *Follower) Pull(from string, have table.Stamp) {
	f.mutex.Lock()
	current, change := f.table, table.WholeDelta(f.table)
	for _, old := range f.history {
		if old.Stamp() == have {
			change = table.Diff(old, current)
		}
	}
	change.Origin = f.origin
	f.mutex.Unlock()
	if current.Stamp().NewerThan(have) {
		f.cfg.Peers.SendChange(change, from)
	}
}

// Heard records which table another box has in force, and pulls that table if it is newer
// and hasn't arrived along the tree within pullGrace.
func (f *Follower) Heard(from string, stamp table.Stamp) {
	if f.noteNamed(from, stamp) {
		time.AfterFunc(pullGrace, func() { f.noteNamed(from, stamp) })
	}
	f.tryOpenGate()
}

// noteNamed records that another box has named its table. It pulls that table if it is due, and
// otherwise reports whether this box has just learnt that it lacks a newer one.
func (f *Follower) noteNamed(from string, stamp table.Stamp) (learnt bool) {
	f.mutex.Lock()
	f.newestNamed = f.newestNamed.Newer(stamp)
	if !f.gateOpen {
		f.namers[from] = struct{}{}
	}
	have := f.table.Stamp().Newer(f.pending.Stamp())
	now := time.Now()
	switch {
	case !f.newestNamed.NewerThan(have):
		f.behindSince = time.Time{}
	case f.behindSince.IsZero():
		f.behindSince, learnt = now, true
	}
	// A starting box has put nothing into force yet and pulls at once.
	waited := !f.gateOpen || now.Sub(f.behindSince) >= pullGrace
	// The answer of one box may be lost, which must not delay a start.
	another := !f.gateOpen && from != f.lastAsked
	ask := stamp.NewerThan(have) && waited && (another || now.Sub(f.lastPull) >= minPullInterval)
	if ask {
		f.lastPull, f.lastAsked = now, from
	}
	f.mutex.Unlock()
	if ask {
		f.cfg.Peers.SendPull(from, have)
	}
	return learnt && !ask
}

// tryOpenGate opens the gate, and puts the pending table into force, once enough other boxes have
// named their tables and none is newer. So a box that starts from a stale read, or on a store
// restored from an older copy, doesn't put an older table into force than the box that it replaces
// had. After Settle it needs no more boxes, and after several times that it gives up on the newer
// table.
func (f *Follower) tryOpenGate() {
	f.mutex.Lock()
	open := f.gateOpen
	f.mutex.Unlock()
	if open {
		return
	}
	others := len(f.cfg.Ranked(ObjectName)) - 1
	alone := f.cfg.Alone != nil && f.cfg.Alone()
	waited := time.Since(f.started)
	f.mutex.Lock()
	enough := alone || len(f.namers) >= min(minNamers, max(others, 1)) || waited >= f.cfg.Settle
	ready := enough && !f.newestNamed.NewerThan(f.pending.Stamp()) || waited >= settleFactor*f.cfg.Settle
	if f.gateOpen || !ready || f.pending.Generation == 0 {
		f.mutex.Unlock()
		return
	}
	clear(f.namers)
	f.gateOpen = true
	change, fresh := f.apply(f.pending)
	f.mutex.Unlock()
	if fresh {
		f.forwardRead(change)
	}
}
