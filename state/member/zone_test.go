// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/rank"
)

// zones is the number of zones over which the boxes of these tests are spread.
const zones = 3

// inZone reports whether a box is in a zone.
func (w *network) inZone(box string, zone int) bool { return slices.Index(w.names, box)%zones == zone }

// duties returns the keys of some groups and accounts, and that of the platform's readers.
func duties() []string {
	out := []string{"endpoints"}
	for i := range 20 {
		out = append(out, fmt.Sprint("group-", i), fmt.Sprint("account-", i))
	}
	return out
}

// holders returns the boxes that hold a duty in one box's view: the home of each duty, and
// its first three boxes in rank, as many as read the platform.
func (w *network) holders(box string) []string {
	var live []string
	for _, b := range w.views[box].DutyCandidates() {
		live = append(live, b.Name)
	}
	chosen := rank.Of(Established(w.views[box].DutyCandidates()))
	var out []string
	for _, home := range chosen.Assign(duties()) {
		out = append(out, home)
	}
	for _, key := range duties() {
		out = append(out, rank.Of(live).First(key, 3)...)
	}
	return out
}

// assignsTo reports whether a box may assign duties to any of some others.
func (w *network) assignsTo(box string, others func(box string) bool) bool {
	return slices.ContainsFunc(w.views[box].DutyCandidates(), func(b Box) bool { return others(b.Name) })
}

// runUntilReplaced runs the network until in the view of no box of one part a lost box holds a duty,
// for at most the given time, and returns how long that took.
func (w *network) runUntilReplaced(part, lost func(box string) bool, most time.Duration) time.Duration {
	begin := w.now
	for w.now.Sub(begin) < most {
		held := slices.ContainsFunc(w.names, func(box string) bool {
			return part(box) && w.assignsTo(box, lost) && slices.ContainsFunc(w.holders(box), lost)
		})
		if !held {
			break
		}
		w.run(tick)
	}
	return w.now.Sub(begin)
}

// TestDutiesOfALostZone stops one of three zones of 58 boxes, or partitions it from the others,
// and checks how soon all its duties have other holders in the views of the remaining boxes.
// Suspicions spread sixteen to a message, last 3 s and end one at a time. Until then a request
// to a silent home costs 80 ms, as relay and quota fall back to the next box in rank, and the
// platform's readers are replaced after 1.1 s.
//
// The test guards against slow replacement of a zone that sends but receives nothing: once, in
// about a hundred runs, it took 26 s. With its boxes and all others suspected, updates queued
// for room in messages, and some boxes found the silent ones only by their own probes. The order
// of suspects depended on map order, so runs were not reproducible.
func TestDutiesOfALostZone(t *testing.T) {
	const boxes = 58
	cases := map[string]struct {
		// strike stops or partitions zone 0; refuses means that its boxes then refuse connections.
		strike  func(w *network)
		refuses bool
		// behind means that the boxes of the zone go on running, and are measured too.
		behind bool
		most   time.Duration
	}{
		"its power fails":          {strike: func(w *network) { w.stopZone(0) }, most: 10 * time.Second},
		"its processes are killed": {strike: func(w *network) { w.stopZone(0) }, refuses: true, most: 6 * time.Second},
		"it is partitioned":        {strike: func(w *network) { w.partitionZone(0, true, true) }, behind: true, most: 10 * time.Second},
		"nothing gets out of it":   {strike: func(w *network) { w.partitionZone(0, true, false) }, most: 10 * time.Second},
		"nothing gets into it":     {strike: func(w *network) { w.partitionZone(0, false, true) }, most: 10 * time.Second},
	}
	for name, c := range cases {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				w := newSeededNetwork(boxes, locality.Map{}, seed)
				w.run(30 * time.Second)
				c.strike(w)
				if c.refuses {
					w.refuseConnections()
				}
				lost := func(box string) bool { return w.inZone(box, 0) }
				stays := func(box string) bool { return !w.inZone(box, 0) }
				took := w.runUntilReplaced(stays, lost, 60*time.Second)
				t.Logf("replaced after %v", took)
				if took > c.most {
					t.Errorf("replaced after %v", took)
				}
				if c.behind {
					took := w.runUntilReplaced(lost, stays, 60*time.Second)
					t.Logf("in the partitioned zone after %v more", took)
				}
			})
		}
	}
}

// stopZone stops all boxes of a zone.
func (w *network) stopZone(zone int) {
	for _, name := range w.names {
		w.down[name] = w.down[name] || w.inZone(name, zone)
	}
}

// partitionZone drops the messages out of a zone, those into it, or both.
func (w *network) partitionZone(zone int, out, in bool) {
	w.lose = func(from, to string) bool {
		leaves, enters := w.inZone(from, zone) && !w.inZone(to, zone), !w.inZone(from, zone) && w.inZone(to, zone)
		return out && leaves || in && enters
	}
}

// refuseConnections reports each stopped box to every box that sends to it.
func (w *network) refuseConnections() {
	w.lose = func(from, to string) bool {
		if w.down[to] {
			w.views[from].ConnectionRefused(w.now, to)
		}
		return false
	}
}
