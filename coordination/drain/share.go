// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package drain

import (
	"slices"
	"time"

	"runridge.example/runridge/state/drain"
	"runridge.example/runridge/state/spread"
)

// publish sends what this box has read to the others, if it is due: within its region,
// and to one box of each other region, which passes it on there.
func (k *Keeper) publish(due bool) {
	if !due {
		return
	}
	u := k.Zones().Update(k.cfg.Self)
	k.pass(u)
	if k.cfg.Heads == nil {
		return
	}
	for _, box := range k.cfg.Heads(treeKey(u.Origin)) {
		k.cfg.Peers.SendDrained(box, u)
	}
}

// treeKey is what the tree of an origin's updates is drawn from.
func treeKey(origin string) string { return rankKey + "@" + origin }

// pass sends an update to this box's children in its region's tree, whose root is the
// origin or the box that takes the update in for the region.
func (k *Keeper) pass(u drain.Update) {
	for _, box := range spread.Below(spread.Draw(k.cfg.Tree, k.cfg.Ranked, treeKey(u.Origin), u.Origin), k.cfg.Self) {
		k.cfg.Peers.SendDrained(box, u)
	}
}

// Receive takes what another box knows and passes it on. What is an answer to this
// box's own question goes no further.
func (k *Keeper) Receive(from string, u drain.Update) {
	// An update without a position is of a box that knows nothing.
	if u.At == 0 || u.Origin == k.cfg.Self {
		return
	}
	if known := k.Zones(); known.Corrects(u) {
		k.cfg.Peers.SendDrained(from, known.Update(""))
	}
	k.noteReturn(time.Now(), u.At)
	k.update(from, func(z drain.Zones) drain.Zones { return z.WithUpdate(u) })
	if u.Origin != "" && k.unseen(u) {
		k.pass(u)
	}
}

// unseen notes an update and says whether it is the first of its origin at its
// position. Positions are the platform's and never go back.
func (k *Keeper) unseen(u drain.Update) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if u.At <= k.passed[u.Origin] {
		return false
	}
	k.passed[u.Origin] = u.At
	return true
}

// Heard takes in the version that another box names, and asks it if this box may miss
// something.
func (k *Keeper) Heard(from string, v drain.Version) {
	now := time.Now()
	k.mutex.Lock()
	if k.heard.IsZero() {
		k.heard = now
	}
	ask := k.zones.Misses(v) && now.Sub(k.pulled) >= pullPause
	if ask {
		k.pulled = now
	}
	k.mutex.Unlock()
	if ask {
		k.cfg.Peers.SendDrainedPull(from)
	}
}

// Pull answers a box that has missed an update.
func (k *Keeper) Pull(from string) {
	if known := k.Zones(); known.Known() {
		k.cfg.Peers.SendDrained(from, known.Update(""))
	}
}

// Status is what operators see.
type Status struct {
	// Known says whether the drained zones were ever heard.
	Known bool `json:"known"`
	// Revision is that of the last change that the box knows of, and Position the
	// platform's revision at which its list was whole.
	Revision uint64       `json:"revision"`
	Position uint64       `json:"position"`
	Drained  []ZoneStatus `json:"drained,omitempty"`
}

// Has says whether a zone is drained.
func (s Status) Has(zone string) bool {
	return slices.ContainsFunc(s.Drained, func(z ZoneStatus) bool { return z.Zone == zone })
}

// ZoneStatus is one drained zone.
type ZoneStatus struct {
	Zone string `json:"zone"`
	// Revision is that of the operator's write, Since when it came into force on
	// this box.
	Revision uint64    `json:"revision"`
	Since    time.Time `json:"since"`
}

// Status says which zones are drained.
func (k *Keeper) Status() Status {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	s := Status{Known: k.zones.Known(), Revision: k.zones.Revision(), Position: k.zones.At()}
	for _, zone := range k.zones.Drained() {
		s.Drained = append(s.Drained, ZoneStatus{Zone: zone.Name, Revision: zone.Revision, Since: k.since[zone.Name]})
	}
	return s
}
