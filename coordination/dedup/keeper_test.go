// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dedup

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"runridge.example/runridge/state/dedup"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/rank"
	"runridge.example/runridge/tests/seed"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Run(m, 3000))
}

// window is short relative to the simulated times, so that records both cover a key and
// expire.
const window = 20 * time.Second

// replyTimeout is how long a reply still counts.
const replyTimeout = defaultFor

// message is a message in flight.
type message struct {
	from, to string
	body     any
}

// fleet is a set of keepers on a network that loses, duplicates and reorders messages, with
// boxes that crash, come back empty, and learn late of each other's end.
type fleet struct {
	t        *rapid.T
	now      time.Time
	keepers  map[string]*Keeper
	names    []string
	messages []message
	up       map[string]bool
	// runs is, for each key, the owners that were allowed to run, with the time.
	runs     map[string]map[lifecycle.RequestID]time.Time
	sequence uint64
	// claimedAt is when each claim was made; its request waits for replyTimeout.
	claimedAt map[uint64]time.Time
	// starts counts the processes, for their incarnations.
	starts uint64
}

// sender is the Sender of one box.
type sender struct {
	f    *fleet
	self string
}

func (w sender) send(to string, body any) {
	w.f.messages = append(w.f.messages, message{from: w.self, to: to, body: body})
}

func (w sender) SendClaim(to string, c Claim)   { w.send(to, c) }
func (w sender) SendCopy(to string, c Copy)     { w.send(to, c) }
func (w sender) SendCopied(to string, c Copied) { w.send(to, c) }
func (w sender) SendReply(_ string, r Reply) {
	if r.Verdict == VerdictRun {
		w.f.recordRun(r.Sequence)
	}
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		t: t, now: time.Unix(1000, 0), keepers: make(map[string]*Keeper), up: make(map[string]bool),
		runs:      make(map[string]map[lifecycle.RequestID]time.Time),
		claimedAt: make(map[uint64]time.Time),
	}
	for i := range 4 {
		name := fmt.Sprintf("box-%d", i)
		f.names = append(f.names, name)
		f.up[name] = true
		f.start(name)
	}
	for _, name := range f.names {
		f.keepers[name].store.SetBoxes(f.now, f.names)
	}
	// All boxes have been together for a window when the test begins.
	f.now = f.now.Add(window + time.Second)
	return f
}

func (f *fleet) start(name string) {
	f.starts++
	k := NewKeeper(Config{
		Self: name, Incarnation: f.starts, Sender: sender{f: f, self: name}, Store: dedup.Config{Window: window},
		Rank: func(key string, boxes []string) []string { return rank.Of(boxes).First(key, 2) },
	})
	k.store.SetBoxes(f.now, []string{name})
	f.keepers[name] = k
}

// owner returns the owner of a claim, which is derived from its sequence number, like its
// key.
func (f *fleet) owner(sequence uint64) lifecycle.RequestID {
	return lifecycle.RequestID{Box: "caller", Incarnation: 1, Sequence: sequence}
}

func keyOf(sequence uint64) string {
	return fmt.Sprintf("key-%d", sequence%2)
}

// recordRun records that a claim was allowed to run, and checks that no other request with
// the same key was allowed within the window.
func (f *fleet) recordRun(sequence uint64) {
	if f.now.Sub(f.claimedAt[sequence]) > replyTimeout {
		return
	}
	key, owner := keyOf(sequence), f.owner(sequence)
	if f.runs[key] == nil {
		f.runs[key] = make(map[lifecycle.RequestID]time.Time)
	}
	for other, at := range f.runs[key] {
		if other != owner && f.now.Sub(at) < window {
			f.t.Fatalf("%s: request %d was allowed to run %s after request %d", key, sequence, f.now.Sub(at), other.Sequence)
		}
	}
	f.runs[key][owner] = f.now
}

// act draws and takes one step of the simulation.
func (f *fleet) act() {
	t := f.t
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
	name := rapid.SampledFrom(f.names).Draw(t, "box")
	k := f.keepers[name]
	switch rapid.IntRange(0, 11).Draw(t, "action") {
	case 0:
		f.retryClaim(name)
	case 1:
		f.sequence++
		f.claimedAt[f.sequence] = f.now
		r := dedup.Record{Key: keyOf(f.sequence), Digest: 7, Owner: f.owner(f.sequence), Once: true}
		// The claimer may see another set of boxes, so any box may receive the claim.
		f.messages = append(f.messages, message{from: "caller", to: name, body: Claim{Sequence: f.sequence, Record: r}})
	case 2, 3, 4, 5, 6:
		f.deliver()
	case 7:
		k.expirePending(f.now)
	case 8, 9:
		f.updateView(name)
	case 10:
		f.crash(name)
	case 11:
		f.now = f.now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "s")) * time.Second)
	}
}

// retryClaim repeats a claim whose reply may have been lost, possibly at another box.
func (f *fleet) retryClaim(name string) {
	if f.sequence == 0 {
		return
	}
	sequence := uint64(rapid.IntRange(1, int(f.sequence)).Draw(f.t, "claim"))
	if f.now.Sub(f.claimedAt[sequence]) > replyTimeout {
		return
	}
	r := dedup.Record{Key: keyOf(sequence), Digest: 7, Owner: f.owner(sequence), Once: true}
	f.messages = append(f.messages, message{from: "caller", to: name, body: Claim{Sequence: sequence, Record: r}})
}

// deliver delivers any one message, possibly again later, possibly never.
func (f *fleet) deliver() {
	if len(f.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.messages)-1).Draw(f.t, "letter")
	l := f.messages[i]
	fate := rapid.IntRange(0, 9).Draw(f.t, "fate")
	if fate != 1 {
		f.messages = slices.Delete(f.messages, i, i+1)
	}
	if fate == 0 || !f.up[l.to] {
		return
	}
	f.keepers[l.to].handle(f.now, incoming{from: l.from, body: l.body})
}

// updateView updates a box's view of the live boxes.
func (f *fleet) updateView(name string) {
	var live []string
	for _, n := range f.names {
		if f.up[n] {
			live = append(live, n)
		}
	}
	if f.up[name] {
		f.keepers[name].store.SetBoxes(f.now, live)
	}
}

// crash ends a box, or starts one that had ended, with an empty store. All boxes learn of a
// crash before another one follows; the design note states this limit.
func (f *fleet) crash(name string) {
	if !f.up[name] {
		f.up[name] = true
		f.start(name)
	} else {
		f.up[name] = false
	}
	for _, n := range f.names {
		f.updateView(n)
	}
}

func TestOnceRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.act()
		}
	})
}
