// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package spread computes the paths by which updates reach all boxes: along a tree of boxes
// within a region, and through one box of each other region. A link between regions thus
// carries each update once, instead of once for every second box. In the tree, the boxes of a
// zone are grouped under each other, so an update crosses into each zone a few times instead of
// once per box.
//
// Boxes that know the same set of boxes agree on all paths. If no region or only one is named,
// there is one tree of all boxes. The package does no I/O; a Fleet is an immutable value.
package spread

import (
	"slices"

	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/member"
	"runridge.example/runridge/state/rank"
)

// Fleet holds the boxes with duties by region, as one box sees them.
type Fleet struct {
	// near holds the boxes of the box's own region, including itself, and far those of each
	// other region.
	near rank.Boxes
	far  map[string]rank.Boxes
	// zones holds the zones of the near boxes. nil means that trees are built without zones,
	// because some boxes run builds that don't support them.
	zones map[string]string
	// orders caches the computed orders of near.
	orders *rank.Orders
}

// New returns the fleet as self sees it, split into its own region and the others.
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

// Len returns the number of boxes.
func (f Fleet) Len() int {
	n := len(f.near.Names())
	for _, boxes := range f.far {
		n += len(boxes.Names())
	}
	return n
}

// Near lists the boxes of the own region in rank order for a key.
func (f Fleet) Near(key string) []string {
	return f.orders.Of(key, func() []string { return f.near.Order(key) })
}

// First lists the highest ranked boxes of the own region for a key, at most limit of them. Unlike the
// order that Near returns it is not cached, for keys that are used once.
func (f Fleet) First(key string, limit int) []string { return f.near.First(key, limit) }

// RegionEntries returns the first box of each other region in rank order for a key, which receives
// updates for its region.
func (f Fleet) RegionEntries(key string) []string {
	out := make([]string, 0, len(f.far))
	for _, boxes := range f.far {
		out = append(out, boxes.First(key, 1)...)
	}
	slices.Sort(out)
	return out
}

// Tree orders the boxes of the own region as the tree along which an update spreads: each box
// has Fanout children. The root is the origin of the update if it is in this region, else the
// first box in rank order for the key, to which the origin sends.
func (f Fleet) Tree(key, origin string) []string {
	return f.orders.Of(key+" from "+origin, func() []string {
		order := Rooted(f.Near(key), origin)
		if f.zones == nil {
			return order
		}
		return byZone(order, f.zones)
	})
}

// TreeOrder orders boxes for a tree with the tree function, or by rank alone if that is nil.
func TreeOrder(tree func(key, origin string) []string, ranked func(key string) []string, key, origin string) []string {
	if tree == nil {
		return Rooted(ranked(key), origin)
	}
	return tree(key, origin)
}

// Rooted returns an order with root moved to the front, or unchanged if it doesn't contain
// root.
func Rooted(order []string, root string) []string {
	if !slices.Contains(order, root) {
		return order
	}
	rest := slices.DeleteFunc(slices.Clone(order), func(box string) bool { return box == root })
	return append([]string{root}, rest...)
}

// byZone orders boxes so that those of a zone are adjacent in the tree, filling it from the
// root depth first. Zones come in the order of their first boxes.
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
	// Fanout is the number of boxes to which each box forwards an update.
	Fanout = 8
	// ZonesSince is the message version from which boxes build trees by zone. All boxes have to
	// build the same tree.
	ZonesSince = 1
)

// Children lists the children of a box in the tree that an order describes.
func Children(order []string, box string) []string {
	at := slices.Index(order, box)
	if at < 0 {
		return nil
	}
	first := min(at*Fanout+1, len(order))
	return order[first:min(first+Fanout, len(order))]
}

// Ancestors lists the ancestors of a box in that tree, the nearest first; none for the root.
func Ancestors(order []string, box string) []string {
	var out []string
	for at := slices.Index(order, box); at > 0; {
		at = (at - 1) / Fanout
		out = append(out, order[at])
	}
	return out
}
