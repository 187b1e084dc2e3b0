// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow

import (
	"fmt"
	"slices"
	"time"

	"runridge.example/runridge/state/spread"
	"runridge.example/runridge/state/table"
)

// pass sends a change on to this box's children in its region's tree. Each region
// follows the platform by itself; one that has lost it hears of a newer generation
// from the other's boxes and asks. The tree is drawn
// anew for each generation, so that no box carries all changes, and its root
// gets the change from whoever watches the platform.
func (f *Follower) pass(change table.Delta) {
	order := spread.Draw(f.cfg.Tree, f.cfg.Ranked, fmt.Sprintf("table@%d", change.Generation), "")
	at := slices.Index(order, f.cfg.Self)
	if at < 0 {
		return
	}
	var to []string
	if at > 0 && f.watching() {
		to = append(to, order[0])
	}
	to = append(to, spread.Below(order, f.cfg.Self)...)
	if len(to) > 0 {
		f.cfg.Peers.SendChange(change, to...)
	}
}

// Receive takes a change from another box.
func (f *Follower) Receive(from string, d table.Delta) {
	f.mutex.Lock()
	current := f.table
	if !f.open {
		current = f.pending
	}
	f.mutex.Unlock()
	if !d.Stamp().After(current.Stamp()) {
		return
	}
	next, fits := current.WithDelta(d)
	if !fits {
		f.cfg.Peers.SendPull(from, current.Stamp())
		return
	}
	f.Offer(next)
}

// Pull answers a box that has an older table.
func (f *Follower) Pull(from string, have table.Stamp) {
	f.mutex.Lock()
	current, change := f.table, table.WholeDelta(f.table)
	for _, old := range f.past {
		if old.Stamp() == have {
			change = table.Diff(old, current)
		}
	}
	f.mutex.Unlock()
	if current.Stamp().After(have) {
		f.cfg.Peers.SendChange(change, from)
	}
}

// Heard takes in which table another box has in force, and asks for it if it is newer.
func (f *Follower) Heard(from string, stamp table.Stamp) {
	f.mutex.Lock()
	f.others = f.others.Latest(stamp)
	have := f.table.Stamp().Latest(f.pending.Stamp())
	now := time.Now()
	switch {
	case !f.others.After(have):
		f.behind = time.Time{}
	case f.behind.IsZero():
		f.behind = now
	}
	// One that starts has put nothing into force yet and asks at once.
	waited := !f.open || now.Sub(f.behind) >= pullGrace
	ask := stamp.After(have) && waited && now.Sub(f.pulled) >= pullPause
	if ask {
		f.pulled = now
	}
	f.mutex.Unlock()
	if ask {
		f.cfg.Peers.SendPull(from, have)
	}
	f.tryOpen(false)
}

// tryOpen opens the gate once this box has a table that is as new as any that
// another box has named, or when it has waited long enough. So a box that
// starts from a stale read does not put an older table into force than the
// box that it replaces had.
func (f *Follower) tryOpen(late bool) {
	f.mutex.Lock()
	ready := f.pending.Generation > 0 && f.others.Generation > 0 && !f.others.After(f.pending.Stamp())
	if f.open || !ready && !late || f.pending.Generation == 0 {
		f.mutex.Unlock()
		return
	}
	f.open = true
	change, fresh := f.enforce(f.pending)
	f.mutex.Unlock()
	if fresh {
		f.pass(change)
	}
}
