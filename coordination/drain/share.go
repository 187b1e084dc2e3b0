// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package drain

import (
	"slices"
	"time"

	"runridge.example/runridge/state/drain"
	"runridge.example/runridge/state/spread"
)

// publish sends the drained zones to the boxes of this region and to one box of each other
// region, which forwards them there. It does nothing unless due is set.
func (k *Keeper) publish(due bool) {
	if !due {
		return
	}
	u := k.Zones().Update(k.cfg.Self)
	k.forward(u)
	if k.cfg.RegionEntries == nil {
		return
	}
	for _, box := range k.cfg.RegionEntries(treeKey(u.Origin)) {
		k.cfg.Peers.SendDrained(box, u)
	}
}

// treeKey returns the key from which the tree of an origin's updates is derived.
func treeKey(origin string) string { return rankKey + "@" + origin }

// forward sends an update to this box's children in its region's tree, whose root is the
// origin or the box that receives updates on behalf of the region.
func (k *Keeper) forward(u drain.Update) {
	for _, box := range spread.Children(spread.TreeOrder(k.cfg.Tree, k.cfg.Ranked, treeKey(u.Origin), u.Origin), k.cfg.Self) {
		k.cfg.Peers.SendDrained(box, u)
	}
}

// Receive applies an update from another box and forwards it. The answer to this box's own
// pull, which has no origin, isn't forwarded.
func (k *Keeper) Receive(from string, u drain.Update) {
	// An update without a position comes from a box that knows nothing.
	if u.At == 0 || u.Origin == k.cfg.Self {
		return
	}
	if known := k.Zones(); known.Supersedes(u) {
		k.cfg.Peers.SendDrained(from, known.Update(""))
	}
	k.noteRestore(time.Now(), u.At)
	k.update(from, func(z drain.Zones) drain.Zones { return z.WithUpdate(u) })
	if u.Origin != "" && k.markForwarded(u) {
		k.forward(u)
	}
}

// markForwarded records an update as forwarded and reports whether it is the first of its
// origin at its position. Positions come from the platform and never decrease.
func (k *Keeper) markForwarded(u drain.Update) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if u.At <= k.forwarded[u.Origin] {
		return false
	}
	k.forwarded[u.Origin] = u.At
	return true
}

// Heard records the version that another box names, and pulls from that box if this box
// may lack something.
func (k *Keeper) Heard(from string, v drain.Version) {
	now := time.Now()
	k.mutex.Lock()
	if k.firstHeard.IsZero() {
		k.firstHeard = now
	}
	ask := k.zones.MayLack(v) && now.Sub(k.lastPull) >= minPullInterval
	if ask {
		k.lastPull = now
	}
	k.mutex.Unlock()
	if ask {
		k.cfg.Peers.SendDrainedPull(from)
	}
}

// Pull answers a box that has missed an update with all drained zones known here. It sends
// nothing if this box has not learnt them yet.
func (k *Keeper) Pull(from string) {
	if known := k.Zones(); known.Known() {
		k.cfg.Peers.SendDrained(from, known.Update(""))
	}
}

// Status is the part of the status page about drained zones.
type Status struct {
	// Known reports whether this box has ever learnt the drained zones.
	Known bool `json:"known"`
	// Revision is the revision of the last change that this box knows of, and Position the
	// platform's revision up to which its list is complete.
	Revision uint64       `json:"revision"`
	Position uint64       `json:"position"`
	Drained  []ZoneStatus `json:"drained,omitempty"`
}

// Has reports whether a zone is drained.
func (s Status) Has(zone string) bool {
	return slices.ContainsFunc(s.Drained, func(z ZoneStatus) bool { return z.Zone == zone })
}

// ZoneStatus describes a drained zone.
type ZoneStatus struct {
	Zone string `json:"zone"`
	// Revision is the revision of the operator's write, and Since when it came into force on
	// this box.
	Revision uint64    `json:"revision"`
	Since    time.Time `json:"since"`
}

// Status returns the drained zones and the revisions that they are known at.
func (k *Keeper) Status() Status {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	s := Status{Known: k.zones.Known(), Revision: k.zones.Revision(), Position: k.zones.At()}
	for _, zone := range k.zones.Drained() {
		s.Drained = append(s.Drained, ZoneStatus{Zone: zone.Name, Revision: zone.Revision, Since: k.since[zone.Name]})
	}
	return s
}
