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
	// rankKey orders the boxes for how an update goes round.
	rankKey = "suspects"
	// pullPause keeps one lag from being asked about with every message.
	pullPause = 500 * time.Millisecond
)

// treeKey is what the tree of an origin's updates is drawn from.
func treeKey(origin string) string { return rankKey + "@" + origin }

// publish sends suspects that this box has learnt something of to all others.
func (k *Keeper) publish(told []poison.Suspect) {
	for part := range slices.Chunk(told, poison.MaxSent) {
		u := poison.Update{Origin: k.cfg.Self, Suspects: part}
		k.pass(u)
		if k.cfg.Heads == nil {
			continue
		}
		for _, box := range k.cfg.Heads(treeKey(u.Origin)) {
			k.cfg.Peers.SendSuspects(box, u)
		}
	}
}

// pass sends an update to this box's children in its region's tree.
func (k *Keeper) pass(u poison.Update) {
	for _, box := range spread.Below(spread.Draw(k.cfg.Tree, k.cfg.Ranked, treeKey(u.Origin), u.Origin), k.cfg.Self) {
		k.cfg.Peers.SendSuspects(box, u)
	}
}

// Receive takes an update from another box. What is new here goes on to the boxes after
// this one; one that misses it for that notices by the digest.
func (k *Keeper) Receive(from string, u poison.Update) {
	if u.Origin == k.cfg.Self {
		return
	}
	told := k.learn(from, func(now time.Time, l poison.Ledger) (poison.Ledger, []poison.Suspect) {
		return l.With(now, u.Suspects...)
	})
	if u.Origin != "" && len(told) > 0 {
		k.pass(u)
	}
}

// Digest is what this box names to others with each membership message.
func (k *Keeper) Digest() uint64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.digest
}

// Heard takes in the digest that another box names, and asks it if it may know more.
func (k *Keeper) Heard(from string, digest uint64) {
	now := k.cfg.Now()
	k.mutex.Lock()
	ask := digest != 0 && digest != k.digest && now.Sub(k.pulled) >= pullPause
	if ask {
		k.pulled = now
	}
	k.mutex.Unlock()
	if ask {
		k.cfg.Peers.SendSuspectsPull(from)
	}
}

// Pull answers a box that asks for what is known here.
func (k *Keeper) Pull(from string) {
	k.mutex.Lock()
	known := k.ledger.PassedOn(k.cfg.Now())
	k.mutex.Unlock()
	for part := range slices.Chunk(known, poison.MaxSent) {
		k.cfg.Peers.SendSuspects(from, poison.Update{Suspects: part})
	}
}

// Status is what a box tells its operators of poison requests.
type Status struct {
	// Suspects is how many requests endpoints have ended in the middle of.
	Suspects int `json:"suspects"`
	// Blocked are the poison requests among them.
	Blocked []BlockedStatus `json:"blocked,omitempty"`
}

// BlockedStatus is one poison request.
type BlockedStatus struct {
	Fingerprint string `json:"fingerprint"`
	// Ends is how many endpoints ended under it, and SeenMS how long ago it last came.
	Ends   int   `json:"ends"`
	SeenMS int64 `json:"seen_ms"`
}

// Status tells what this box knows.
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
