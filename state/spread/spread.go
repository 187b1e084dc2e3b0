// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package spread says along which ways updates reach all boxes: within a region along
// a tree of its boxes, and from one region to another through one box of it. A link
// between regions so carries each update once, and not once for every second box. In the
// tree the boxes of a zone hang under each other, so that an update crosses into each zone
// some times and not once for each box.
// Boxes that know the same others agree on all ways, and where none or one region is
// named there is one tree of all boxes. The package is pure; a Fleet is an immutable value.
package spread

import (
	"slices"

	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/member"
	"runridge.example/runridge/state/rank"
)

// Fleet is the boxes with duties by region, as one box sees them.
type Fleet struct {
	// near are the boxes of the own region, this one included, and far those of
	// each other region.
	near rank.Boxes
	far  map[string]rank.Boxes
	// zones are those of the near boxes; nil is that trees are drawn without them, as by
	// builds that know no zones there.
	zones map[string]string
	// orders are the orders of near that were worked out.
	orders *rank.Orders
}

// New sorts the boxes by their distance from this one.
func New(self member.Box, boxes []member.Box, regions locality.Map) Fleet {
	names := make(map[string][]string)
	zones := make(map[string]string)
	own := regions.Of(self.Zone)
	for _, b := range boxes {
		region := regions.Of(b.Zone)
		names[region] = append(names[region], b.Name)
		if region == own {
			zones[b.Name] = b.Zone
		}
	}
	f := Fleet{near: rank.Of(names[own]), far: make(map[string]rank.Boxes), orders: &rank.Orders{}}
	if !slices.ContainsFunc(boxes, func(b member.Box) bool { return b.Wire < ZonesSince }) {
		f.zones = zones
	}
	delete(names, own)
	for region, list := range names {
		f.far[region] = rank.Of(list)
	}
	return f
}

// Len is the number of boxes.
func (f Fleet) Len() int {
	n := len(f.near.Names())
	for _, boxes := range f.far {
		n += len(boxes.Names())
	}
	return n
}

// Near lists the boxes of the own region in their order for a key.
func (f Fleet) Near(key string) []string {
	return f.orders.Of(key, func() []string { return f.near.Order(key) })
}

// Heads names the first box of each other region in the order for a key: the one
// that takes updates in for its region.
func (f Fleet) Heads(key string) []string {
	out := make([]string, 0, len(f.far))
	for _, boxes := range f.far {
		out = append(out, boxes.First(key, 1)...)
	}
	slices.Sort(out)
	return out
}

// Tree orders the boxes of the own region for the tree in which an update passes: each box has
// Fanout children in it. The root is the origin of the update if it is of this region, else
// the first box in the order for the key, to which the origin sends.
func (f Fleet) Tree(key, origin string) []string {
	return f.orders.Of(key+" from "+origin, func() []string {
		order := Rooted(f.Near(key), origin)
		if f.zones == nil {
			return order
		}
		return byZone(order, f.zones)
	})
}

// Draw orders boxes for a tree as tree does, or by rank alone where that is nil.
func Draw(tree func(key, origin string) []string, ranked func(key string) []string, key, origin string) []string {
	if tree == nil {
		return Rooted(ranked(key), origin)
	}
	return tree(key, origin)
}

// Rooted is an order with a box put first, if it has that box.
func Rooted(order []string, root string) []string {
	if !slices.Contains(order, root) {
		return order
	}
	rest := slices.DeleteFunc(slices.Clone(order), func(box string) bool { return box == root })
	return append([]string{root}, rest...)
}

// byZone orders boxes so that those of a zone stand one after the other in the tree, from the
// root down and branch by branch. Zones come in the order of their first boxes.
func byZone(order []string, zones map[string]string) []string {
	first := make(map[string]int)
	for i, box := range order {
		if _, seen := first[zones[box]]; !seen {
			first[zones[box]] = i
		}
	}
	sorted := slices.Clone(order)
	slices.SortStableFunc(sorted, func(a, b string) int { return first[zones[a]] - first[zones[b]] })
	out := make([]string, len(order))
	next := 0
	var fill func(at int)
	fill = func(at int) {
		if at >= len(out) {
			return
		}
		out[at] = sorted[next]
		next++
		for child := range Fanout {
			fill(at*Fanout + 1 + child)
		}
	}
	fill(0)
	return out
}

const (
	// Fanout is how many boxes one passes an update on to.
	Fanout = 8
	// ZonesSince is the version of messages from which on boxes draw trees by zone. All
	// have to draw the same.
	ZonesSince = 1
)

// Below lists the children of a box in the tree that an order of boxes makes.
func Below(order []string, box string) []string {
	at := slices.Index(order, box)
	if at < 0 {
		return nil
	}
	first := min(at*Fanout+1, len(order))
	return order[first:min(first+Fanout, len(order))]
}

// Above lists the boxes above one in that tree, the nearest first; none at the root.
func Above(order []string, box string) []string {
	var out []string
	for at := slices.Index(order, box); at > 0; {
		at = (at - 1) / Fanout
		out = append(out, order[at])
	}
	return out
}
