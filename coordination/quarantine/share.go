// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"slices"
	"time"

	"runridge.example/runridge/state/poison"
	"runridge.example/runridge/state/spread"
)

const (
	// rankKey is the key by which boxes are ordered for forwarding updates.
	rankKey = "suspects"
	// pullInterval is the least time between two pulls, so that one difference does not
	// cause a pull with every message.
	pullInterval = 500 * time.Millisecond
)

// treeKey returns the key of the tree for an origin's updates.
func treeKey(origin string) string { return rankKey + "@" + origin }

// publish sends suspects that this box has news of to all other boxes.
func (k *Keeper) publish(news []poison.Suspect) {
	for part := range slices.Chunk(news, poison.MaxSent) {
		u := poison.Update{Origin: k.cfg.Self, Suspects: part}
		k.forward(u)
		if k.cfg.RegionEntries == nil {
			continue
		}
		for _, box := range k.cfg.RegionEntries(treeKey(u.Origin)) {
			k.cfg.Peers.SendSuspects(box, u)
		}
	}
}

// forward sends an update to this box's children in its region's tree.
func (k *Keeper) forward(u poison.Update) {
	for _, box := range spread.Children(spread.TreeOrder(k.cfg.Tree, k.cfg.Ranked, treeKey(u.Origin), u.Origin), k.cfg.Self) {
		k.cfg.Peers.SendSuspects(box, u)
	}
}

// Receive applies an update from another box. An update with news is forwarded to the boxes
// below this one; a box that misses it because of that notices by the digest.
func (k *Keeper) Receive(from string, u poison.Update) {
	if u.Origin == k.cfg.Self {
		return
	}
	news := k.update(from, func(now time.Time, l poison.Ledger) (poison.Ledger, []poison.Suspect) {
		return l.With(now, u.Suspects...)
	})
	if u.Origin != "" && len(news) > 0 {
		k.forward(u)
	}
}

// Digest returns the digest of the ledger, which each membership message carries to other
// boxes.
func (k *Keeper) Digest() uint64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.digest
}

// ReceiveDigest receives the digest of another box, and pulls from it if it differs.
func (k *Keeper) ReceiveDigest(from string, digest uint64) {
	now := k.cfg.Now()
	k.mutex.Lock()
	pull := digest != 0 && digest != k.digest && now.Sub(k.pulled) >= pullInterval
	if pull {
		k.pulled = now
	}
	k.mutex.Unlock()
	if pull {
		k.cfg.Peers.SendSuspectsPull(from)
	}
}

// Pull sends all that this box knows to a box that asks for it.
func (k *Keeper) Pull(from string) {
	k.mutex.Lock()
	known := k.ledger.Announced(k.cfg.Now())
	k.mutex.Unlock()
	for part := range slices.Chunk(known, poison.MaxSent) {
		k.cfg.Peers.SendSuspects(from, poison.Update{Suspects: part})
	}
}

// Status is the state of the ledger, for operators.
type Status struct {
	// Suspects is the number of requests under which endpoints have ended.
	Suspects int `json:"suspects"`
	// Blocked are the poison requests among them.
	Blocked []BlockedStatus `json:"blocked,omitempty"`
}

// BlockedStatus is one poison request.
type BlockedStatus struct {
	Fingerprint string `json:"fingerprint"`
	// Ends is the number of endpoints that ended under it, and SeenMS the time since it
	// last came, in milliseconds.
	Ends   int   `json:"ends"`
	SeenMS int64 `json:"seen_ms"`
}

// Status returns the state of the ledger.
func (k *Keeper) Status() Status {
	now := k.cfg.Now()
	k.mutex.Lock()
	known := k.ledger
	k.mutex.Unlock()
	s := Status{Suspects: known.Len()}
	for _, f := range known.AllBlocked() {
		suspect, _ := known.Suspect(f)
		s.Blocked = append(s.Blocked, BlockedStatus{
			Fingerprint: f.String(), Ends: len(suspect.Ends), SeenMS: now.Sub(suspect.Seen).Milliseconds(),
		})
	}
	return s
}
