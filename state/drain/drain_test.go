// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package drain

import (
	"maps"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"runridge.example/runridge/state/position"
	"runridge.example/runridge/tests/seed"
)

// listOf returns a set of drained zones as a list, sorted by name.
func listOf(zones map[string]uint64) []Zone {
	var out []Zone
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		out = append(out, Zone{Name: name, Revision: zones[name]})
	}
	return out
}

func TestZones(t *testing.T) {
	one := []Zone{{Name: "a", Revision: 40}}
	known := Zones{}.WithList(50, one)
	cases := map[string]struct {
		zones    Zones
		drained  int
		at       uint64
		revision uint64
	}{
		"nothing was received":                          {Zones{}, 0, 0, 0},
		"none was ever drained":                         {Zones{}.WithList(50, nil), 0, 50, 1},
		"a first list, by its zones' writes":            {known, 1, 50, 40},
		"the same list is no change":                    {known.WithList(60, one), 1, 60, 40},
		"an older list is ignored":                      {known.WithList(49, nil), 1, 50, 40},
		"a drain that is not on the list":               {known.WithList(60, nil), 0, 60, 60},
		"a drain that ended":                            {known.WithChanges(55, []Change{{Zone: one[0], Ended: true}}), 0, 55, 55},
		"an older copy lacks the drain":                 {known.WithRestoredList(position.Of(2, 20), nil), 1, position.Of(2, 20), position.Of(2, 1)},
		"and it ends after that":                        {known.WithRestoredList(position.Of(2, 20), nil).WithChanges(position.Of(2, 21), []Change{{Zone: one[0], Ended: true}}), 0, position.Of(2, 21), position.Of(2, 21)},
		"an older copy has a drain that ended":          {known.WithList(60, nil).WithRestoredList(position.Of(2, 45), one), 0, position.Of(2, 45), position.Of(2, 1)},
		"an older copy, and the zone was drained again": {known.WithList(60, nil).WithRestoredList(position.Of(2, 45), []Zone{{Name: "a", Revision: position.Of(2, 44)}}), 1, position.Of(2, 45), position.Of(2, 45)},
		"an older copy, and another zone was drained":   {known.WithRestoredList(position.Of(2, 45), []Zone{{Name: "b", Revision: position.Of(2, 44)}}), 2, position.Of(2, 45), position.Of(2, 45)},
		"an older change is ignored":                    {known.WithChanges(49, []Change{{Zone: one[0], Ended: true}}), 1, 50, 40},
		"ended and written again": {
			known.WithChanges(57, []Change{{Zone: one[0], Ended: true}, {Zone: Zone{Name: "a", Revision: 57}}}), 1, 57, 57,
		},
		"another box knows more":                        {known.WithUpdate(Update{At: 70, Revision: 65}), 0, 70, 65},
		"another box knows less":                        {known.WithUpdate(Update{At: 30, Revision: 1}), 1, 50, 40},
		"another box's older list has a later revision": {Zones{}.WithList(90, nil).WithUpdate(known.Update("b")), 0, 90, 90},
		"a later list has an earlier revision":          {known.WithUpdate(Zones{}.WithList(90, nil).Update("b")), 0, 90, 90},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if n := len(c.zones.Drained()); n != c.drained || c.zones.At() != c.at || c.zones.Revision() != c.revision {
				t.Errorf("%d drained at %d with revision %d, want %d, %d, %d", n, c.zones.At(), c.zones.Revision(), c.drained, c.at, c.revision)
			}
		})
	}
}

// TestOracleZones has boxes read a store's list, its changes and each other's zones, at any
// time and in any order. No box may go back to an older state. Boxes that request the zones
// whenever another one has a version that they miss must agree with the newest box in the end.
func TestOracleZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const last = 25
		names := []string{"a", "b", "c"}
		truth := map[string]uint64{}
		states := []map[string]uint64{{}}
		events := []Change{{}}
		for at := uint64(1); at <= last; at++ {
			name := rapid.SampledFrom(names).Draw(t, "zone")
			revision, drained := truth[name]
			c := Change{Zone: Zone{Name: name, Revision: revision}, Ended: drained}
			if drained {
				delete(truth, name)
			} else {
				truth[name] = at
				c.Zone.Revision = at
			}
			states = append(states, maps.Clone(truth))
			events = append(events, c)
		}
		boxes := make([]Zones, 3)
		check := func(i int, before Zones) {
			z := boxes[i]
			if z.At() < before.At() || z.Revision() < before.Revision() {
				t.Fatalf("box %d went from %d, %d to %d, %d", i, before.At(), before.Revision(), z.At(), z.Revision())
			}
			if z.Known() && !slices.Equal(z.Drained(), listOf(states[z.At()])) {
				t.Fatalf("box %d at %d: %v, want %v", i, z.At(), z.Drained(), states[z.At()])
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "box")
			to := uint64(rapid.IntRange(1, last).Draw(t, "to"))
			before := boxes[i]
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				boxes[i] = before.WithList(to, listOf(states[to]))
			case 1:
				if before.Known() && to >= before.At() {
					boxes[i] = before.WithChanges(to, events[before.At()+1:to+1])
				}
			default:
				if other := boxes[rapid.IntRange(0, 2).Draw(t, "other")]; other.Known() {
					boxes[i] = before.WithUpdate(other.Update("o"))
				}
			}
			check(i, before)
		}
		requestUntilAgreed(t, boxes)
	})
}

// requestUntilAgreed has boxes request each other's zones while one has a version that another misses, and
// checks that all then have those of the newest box.
func requestUntilAgreed(t *rapid.T, boxes []Zones) {
	for range 20 {
		for i := range boxes {
			for j := range boxes {
				if !boxes[i].MayLack(boxes[j].Version()) {
					continue
				}
				answer := boxes[j].Update("")
				if boxes[i].Supersedes(answer) {
					boxes[j] = boxes[j].WithUpdate(boxes[i].Update(""))
				}
				boxes[i] = boxes[i].WithUpdate(answer)
			}
		}
	}
	newest := slices.MaxFunc(boxes, func(a, b Zones) int { return int(a.At()) - int(b.At()) })
	for i, z := range boxes {
		if !z.Same(newest) {
			t.Fatalf("box %d has %v with revision %d, the newest box %v with %d", i, z.Drained(), z.Revision(), newest.Drained(), newest.Revision())
		}
	}
}

// TestMain fixes the seed of the property test.
func TestMain(m *testing.M) { os.Exit(seed.Run(m, 5000)) }
