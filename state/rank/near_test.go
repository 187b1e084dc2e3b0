// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank_test

import (
	"fmt"
	"math"
	"os"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/rank"
	"runridge.example/runridge/tests/seed"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Run(m, 200))
}

// sixZones returns two regions of three zones each.
func sixZones() locality.Map {
	regions := make(map[string]string)
	for i := range 6 {
		regions[fmt.Sprint("zone-", i)] = fmt.Sprint("region-", i%2)
	}
	return locality.New(regions)
}

// roundRobin assigns boxes to zones in turn.
func roundRobin(boxes []string, zones int) map[string]string {
	out := make(map[string]string, len(boxes))
	for i, b := range boxes {
		out[b] = fmt.Sprint("zone-", i%zones)
	}
	return out
}

// keysOf returns perZone keys of each zone, and two of each region as a whole.
func keysOf(regions locality.Map, perZone int) []rank.Key {
	var out []rank.Key
	for i := range 6 {
		zone := fmt.Sprint("zone-", i)
		for _, name := range names(zone+"#%d", perZone) {
			out = append(out, rank.Key{Name: name, Zone: zone, Region: regions.Region(zone)})
		}
	}
	for _, region := range regions.Regions() {
		for _, name := range names("plain-%d@"+region, 2) {
			out = append(out, rank.Key{Name: name, Region: region})
		}
	}
	return out
}

// TestBoxWithoutAZone checks that a box whose zone is unknown does not count as near to the
// groups that belong to a whole region.
func TestBoxWithoutAZone(t *testing.T) {
	boxes := names("box-%d", 12)
	zones := roundRobin(boxes, 6)
	delete(zones, boxes[0])
	ranked := rank.Of(boxes).WithZones(zones, sixZones())
	for _, name := range names("plain-%d", 20) {
		key := rank.Key{Name: name, Region: "region-0"}
		if order := ranked.Nearest(key, len(boxes)); slices.Index(order, boxes[0]) < 5 {
			t.Fatalf("%s is among the nearest to %s: %v", boxes[0], name, order)
		}
		if home := ranked.AssignNear([]rank.Key{key})[name]; home == boxes[0] {
			t.Fatalf("%s is the home of %s", home, name)
		}
	}
}

// TestStandIns checks that a group whose zone loses all its boxes at once still has a box to
// ask within its region, and that the order otherwise follows the rank.
func TestStandIns(t *testing.T) {
	regions := sixZones()
	boxes := names("box-%d", 60)
	zones := roundRobin(boxes, 6)
	ranked := rank.Of(boxes).WithZones(zones, regions)
	for _, key := range keysOf(regions, 20) {
		order := ranked.Nearest(key, len(boxes))
		got := ranked.StandIns(key, order[0], 2)
		if len(got) != 2 || got[0] != order[1] || slices.Contains(got, order[0]) {
			t.Fatalf("%v replace %s, the rank order is %v", got, order[0], order)
		}
		last := zones[got[1]]
		if last == key.Zone || regions.Region(last) != key.Region {
			t.Fatalf("the last replacement for %+v is in %s", key, last)
		}
		one := rank.Of(boxes).WithZones(zones, locality.Map{})
		if in := one.StandIns(key, "", 3); !slices.Equal(in, one.First(key.Name, 3)) {
			t.Fatalf("%v replace the home within one region, want the first in rank", in)
		}
	}
	if few := rank.Of(boxes[:2]).StandIns(rank.Key{Name: "k"}, boxes[0], 2); !slices.Equal(few, boxes[1:2]) {
		t.Errorf("of two boxes %v replace the first", few)
	}
}

func TestNearest(t *testing.T) {
	regions := sixZones()
	zones := map[string]string{"a": "zone-0", "b": "zone-0", "c": "zone-2", "d": "zone-1", "e": "zone-3", "f": "unknown"}
	boxes := rank.Of([]string{"a", "b", "c", "d", "e", "f"}).WithZones(zones, regions)
	cases := map[string]struct {
		key rank.Key
		// first lists the boxes that come before all others.
		first []string
	}{
		"boxes of the zone first":  {key: rank.Key{Name: "k", Zone: "zone-0", Region: "region-0"}, first: []string{"a", "b"}},
		"then those of the region": {key: rank.Key{Name: "k", Zone: "zone-0", Region: "region-0"}, first: []string{"a", "b", "c"}},
		"a key of a whole region":  {key: rank.Key{Name: "k", Region: "region-1"}, first: []string{"d", "e"}},
		"a zone without boxes":     {key: rank.Key{Name: "k", Zone: "zone-5", Region: "region-1"}, first: []string{"d", "e"}},
		"a region without boxes":   {key: rank.Key{Name: "k", Zone: "z", Region: "region-2"}, first: rank.Of(boxes.Names()).Order("k")},
		"a key without a region":   {key: rank.Key{Name: "k"}, first: rank.Of(boxes.Names()).Order("k")},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := boxes.Nearest(c.key, len(c.first))
			if len(c.first) < len(boxes.Names()) {
				slices.Sort(got)
			}
			if !slices.Equal(got, c.first) {
				t.Errorf("first are %v, want %v", got, c.first)
			}
		})
	}
}

// TestOneRegionAssigns checks that naming the only region of a fleet does not change its homes.
func TestOneRegionAssigns(t *testing.T) {
	one := locality.New(map[string]string{"zone-0": "a", "zone-1": "a", "zone-2": "a"})
	boxes := names("front-%d", 50)
	var keys []rank.Key
	for i, name := range names("lm/zone#%d", 90) {
		keys = append(keys, rank.Key{Name: name, Zone: fmt.Sprint("zone-", i%3), Region: "a"})
	}
	near := rank.Of(boxes).WithZones(roundRobin(boxes, 3), one)
	want, got := rank.Of(boxes).Assign(names("lm/zone#%d", 90)), near.AssignNear(keys)
	for _, key := range keys {
		if got[key.Name] != want[key.Name] {
			t.Errorf("key %s has home %s, without regions %s", key.Name, got[key.Name], want[key.Name])
		}
		if !slices.Equal(near.Nearest(key, 3), rank.Of(boxes).First(key.Name, 3)) {
			t.Errorf("key %s has another rank order", key.Name)
		}
	}
}

// TestOracleAssignNear checks that each key has a home, in its own region if that has boxes;
// that no box has more than its even share of all keys or of its region's keys; and that the
// order of the boxes does not matter.
func TestOracleAssignNear(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := sixZones()
		zones := make(map[string]string)
		inRegion := make(map[string]int)
		var boxes []string
		for i := range rapid.IntRange(1, 40).Draw(t, "boxes") {
			name := fmt.Sprint("box-", i)
			// zone-6 is in no region.
			zones[name] = fmt.Sprint("zone-", rapid.IntRange(0, 6).Draw(t, "zone"))
			inRegion[regions.Region(zones[name])]++
			boxes = append(boxes, name)
		}
		keys := keysOf(regions, rapid.IntRange(0, 12).Draw(t, "keys"))
		homes := rank.Of(boxes).WithZones(zones, regions).AssignNear(keys)
		keysIn, loads := make(map[string]int), make(map[string]int)
		for _, key := range keys {
			home, there := homes[key.Name]
			if !there {
				t.Fatalf("key %s has no home", key.Name)
			}
			if at := regions.Region(zones[home]); at != key.Region && inRegion[key.Region] > 0 {
				t.Fatalf("key %s of %s has its home in %q", key.Name, key.Region, at)
			}
			keysIn[key.Region]++
			loads[home]++
		}
		for box, n := range loads {
			region := regions.Region(zones[box])
			share := (len(keys) + len(boxes) - 1) / len(boxes)
			own := (keysIn[region] + inRegion[region] - 1) / inRegion[region]
			if n > max(share, own) {
				t.Fatalf("box %s has %d keys, want at most %d of all or %d of its region's", box, n, share, own)
			}
		}
		reversed := slices.Clone(boxes)
		slices.Reverse(reversed)
		for key, home := range rank.Of(reversed).WithZones(zones, regions).AssignNear(keys) {
			if homes[key] != home {
				t.Fatalf("key %s has home %s by one order of the boxes and %s by another", key, homes[key], home)
			}
		}
	})
}

// byRegionAlone assigns keys by region, ignoring zones.
func byRegionAlone(keys []rank.Key, boxes []string, zones map[string]string, regions locality.Map) map[string]string {
	keys = slices.Clone(keys)
	for i := range keys {
		keys[i].Zone = ""
	}
	return rank.Of(boxes).WithZones(zones, regions).AssignNear(keys)
}

// weighted assigns keys by rendezvous hashing with weights: 16 for a box of the zone, 4 for a
// box of the region, 1 for all others.
func weighted(keys []rank.Key, boxes []string, zones map[string]string, regions locality.Map) map[string]string {
	out := make(map[string]string)
	for _, key := range keys {
		best, highest := "", math.Inf(-1)
		for _, box := range boxes {
			weight := 1.0
			switch {
			case zones[box] == key.Zone:
				weight = 16
			case regions.Region(zones[box]) == key.Region:
				weight = 4
			}
			u := (float64(xxhash.Sum64String(key.Name+box)>>11) + 0.5) / (1 << 53)
			if score := -weight / math.Log(u); score > highest {
				best, highest = box, score
			}
		}
		out[key.Name] = best
	}
	return out
}

func nearest(keys []rank.Key, boxes []string, zones map[string]string, regions locality.Map) map[string]string {
	return rank.Of(boxes).WithZones(zones, regions).AssignNear(keys)
}

func byHash(keys []rank.Key, boxes []string, _ map[string]string, _ locality.Map) map[string]string {
	return rank.Of(boxes).AssignNear(keys)
}

// TestCompareNearAssignments measures for each algorithm the share of keys whose homes are in
// another zone and in another region, the share that moves needlessly when a box leaves, and
// the load of the busiest box. It checks that the algorithm in use keeps keys in their region
// and moves few.
func TestCompareNearAssignments(t *testing.T) {
	type algorithm func([]rank.Key, []string, map[string]string, locality.Map) map[string]string
	algorithms := map[string]algorithm{"by hash alone": byHash, "region first": byRegionAlone, "zone, then region": nearest, "weights": weighted}
	fleets := map[string]struct{ boxes, perZone int }{
		"78 boxes, 40 keys":   {78, 6},
		"300 boxes, 388 keys": {300, 64},
	}
	regions := sixZones()
	for fleet, size := range fleets {
		boxes, keys := names("front-%d", size.boxes), keysOf(regions, size.perZone)
		zones := roundRobin(boxes, 6)
		for name, assign := range algorithms {
			before := assign(keys, boxes, zones, regions)
			otherZone, otherRegion, moved := 0.0, 0.0, 0.0
			for _, key := range keys {
				if key.Zone != "" && zones[before[key.Name]] != key.Zone {
					otherZone += 1 / float64(len(keys))
				}
				if regions.Region(zones[before[key.Name]]) != key.Region {
					otherRegion += 1 / float64(len(keys))
				}
			}
			const losses = 20
			for gone := range losses {
				after := assign(keys, slices.Delete(slices.Clone(boxes), gone, gone+1), zones, regions)
				for _, key := range keys {
					if before[key.Name] != boxes[gone] && before[key.Name] != after[key.Name] {
						moved += 1 / float64(len(keys)*losses)
					}
				}
			}
			load := busiest(before, len(boxes))
			t.Logf("%s, %s: %.2f in another zone, %.2f in another region, %.4f move needlessly, busiest box %.2f of the mean",
				fleet, name, otherZone, otherRegion, moved, load)
			if name != "zone, then region" {
				continue
			}
			if otherRegion > 0 || moved > 0.02 {
				t.Errorf("%s: %.2f of the keys in another region, %.4f move needlessly", fleet, otherRegion, moved)
			}
		}
	}
}
