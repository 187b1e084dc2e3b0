// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/member"
	"runridge.example/runridge/state/rank"
)

// randomFleet is a fleet of boxes in the zones of some regions.
type randomFleet struct {
	boxes   []member.Box
	regions locality.Map
	fleets  map[string]Fleet
}

func drawFleet(t *rapid.T) randomFleet {
	count := rapid.IntRange(1, 3).Draw(t, "regions")
	named := make(map[string]string)
	for zone := range 2 * count {
		named[fmt.Sprintf("z%d", zone)] = fmt.Sprintf("r%d", zone%count)
	}
	d := randomFleet{regions: locality.New(named), fleets: make(map[string]Fleet)}
	wire := uint16(rapid.IntRange(ZonesSince-1, ZonesSince).Draw(t, "wire"))
	for i := range rapid.IntRange(1, 60).Draw(t, "boxes") {
		zone := rapid.IntRange(0, 2*count-1).Draw(t, "zone")
		d.boxes = append(d.boxes, member.Box{Name: fmt.Sprintf("b%d", i), Zone: fmt.Sprintf("z%d", zone), Wire: wire})
	}
	for _, b := range d.boxes {
		d.fleets[b.Name] = New(b, d.boxes, d.regions)
	}
	return d
}

func (d randomFleet) region(box string) string {
	for _, b := range d.boxes {
		if b.Name == box {
			return d.regions.Region(b.Zone)
		}
	}
	return ""
}

func TestUpdatesReachEachBoxOnceAndEachRegionOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawFleet(t)
		origin := rapid.SampledFrom(d.boxes).Draw(t, "origin").Name
		key := "endpoints@" + origin
		got := map[string]int{origin: 1}
		crossed := make(map[string]int)
		queue := []string{origin}
		send := func(from, to string) {
			if d.region(from) != d.region(to) {
				crossed[d.region(to)]++
			}
			got[to]++
			queue = append(queue, to)
		}
		for _, head := range d.fleets[origin].RegionEntries(key) {
			send(origin, head)
		}
		for len(queue) > 0 {
			box := queue[0]
			queue = queue[1:]
			children := Children(d.fleets[box].Tree(key, origin), box)
			if len(children) > Fanout {
				t.Fatalf("%s forwards to %d boxes, want at most %d", box, len(children), Fanout)
			}
			for _, child := range children {
				send(box, child)
			}
		}
		for _, b := range d.boxes {
			if got[b.Name] != 1 {
				t.Fatalf("%s got the update %d times", b.Name, got[b.Name])
			}
		}
		for region, times := range crossed {
			if times != 1 {
				t.Fatalf("the update crossed into %s %d times", region, times)
			}
		}
	})
}

func TestAboveListsAncestors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawFleet(t)
		for name, f := range d.fleets {
			order := f.Near("list")
			child := name
			for _, parent := range Ancestors(order, name) {
				if !slices.Contains(Children(order, parent), child) || d.region(parent) != d.region(name) {
					t.Fatalf("%s is no child of %s in its region", child, parent)
				}
				child = parent
			}
			if child != order[0] {
				t.Fatalf("the ancestors of %s end at %s, not at the root", name, child)
			}
		}
	})
}

func TestOneRegionRanksAllBoxes(t *testing.T) {
	boxes := []member.Box{{Name: "a", Zone: "1"}, {Name: "b", Zone: "2"}, {Name: "c", Zone: "1"}}
	want := rank.Of([]string{"a", "b", "c"}).Order("k")
	for name, regions := range map[string]locality.Map{
		"none named":      {},
		"one named":       locality.New(map[string]string{"1": "r", "2": "r"}),
		"a zone left out": locality.New(map[string]string{"1": "r"}),
	} {
		f := New(boxes[0], boxes, regions)
		if got := f.Near("k"); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: order %v, want that of all boxes %v", name, got, want)
		}
		if heads := f.RegionEntries("k"); len(heads) > 0 {
			t.Errorf("%s: other regions' boxes %v", name, heads)
		}
	}
}

func TestNextBoxReplacesHead(t *testing.T) {
	regions := locality.New(map[string]string{"1": "r", "2": "s"})
	boxes := []member.Box{{Name: "a", Zone: "1"}, {Name: "b", Zone: "2"}, {Name: "c", Zone: "2"}, {Name: "d", Zone: "2"}}
	before := New(boxes[0], boxes, regions).RegionEntries("k")
	if len(before) != 1 {
		t.Fatalf("heads %v, want one", before)
	}
	var remaining []member.Box
	for _, b := range boxes {
		if b.Name != before[0] {
			remaining = append(remaining, b)
		}
	}
	after := New(boxes[0], remaining, regions).RegionEntries("k")
	if len(after) != 1 || after[0] == before[0] {
		t.Errorf("heads %v after %v has left", after, before)
	}
}

// TestTreeByZone checks that an update crosses into a zone only a few times, however many boxes
// are in it, and that a single box of an older build makes all boxes use the tree by rank that
// it knows.
func TestTreeByZone(t *testing.T) {
	const zones = 5
	for _, n := range []int{30, 300, 986, 2000} {
		var boxes []member.Box
		for i := range n {
			boxes = append(boxes, member.Box{Name: fmt.Sprintf("b%04d", i), Zone: fmt.Sprintf("z%d", i%zones), Wire: ZonesSince})
		}
		crossings := func(boxes []member.Box) int {
			f := New(boxes[0], boxes, locality.Map{})
			zone := make(map[string]string)
			for _, b := range boxes {
				zone[b.Name] = b.Zone
			}
			count := 0
			for _, origin := range []string{boxes[0].Name, boxes[7].Name} {
				order := f.Tree("endpoints", origin)
				if order[0] != origin || len(order) != n {
					t.Fatalf("%d boxes: the tree of %d has the root %s, not %s", n, len(order), order[0], origin)
				}
				for _, box := range order {
					for _, child := range Children(order, box) {
						if zone[box] != zone[child] {
							count++
						}
					}
				}
			}
			return count / 2
		}
		levels := 0
		for size := 1; size < n; size *= Fanout {
			levels++
		}
		byZone := crossings(boxes)
		boxes[3].Wire = ZonesSince - 1
		byRank := crossings(boxes)
		t.Logf("%d boxes: %d of %d edges cross zones, %d in a tree by rank", n, byZone, n-1, byRank)
		if byZone > zones*levels*Fanout/2 {
			t.Errorf("%d boxes: %d edges cross zones", n, byZone)
		}
		if byRank < n/2 {
			t.Errorf("%d boxes: with one of an older build %d edges cross zones", n, byRank)
		}
	}
}
