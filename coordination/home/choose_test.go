// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package home

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/rank"
	"runridge.example/runridge/state/table"
)

// twoRegions are the groups of a service in two regions: one per zone in the first, and one
// for the whole region, which has as many zones, in the second.
var twoRegions = []group.Place{
	{Key: "s/a-1", Zone: "a-1", Region: "a"},
	{Key: "s/a-2", Zone: "a-2", Region: "a"},
	{Key: "s@b", Region: "b"},
}

func TestChooseGroup(t *testing.T) {
	atA1, atB1 := Origin{Zone: "a-1", Region: "a"}, Origin{Zone: "b-1", Region: "b"}
	cases := map[string]struct {
		places  []group.Place
		at      Origin
		attempt uint32
		without []string
		// want are the groups that may be chosen, over all turns.
		want []string
	}{
		"no groups":                              {at: atA1, want: []string{""}},
		"the own zone first":                     {places: twoRegions, at: atA1, want: []string{"s/a-1"}},
		"then the own region":                    {places: twoRegions, at: atA1, without: []string{"s/a-1"}, want: []string{"s/a-2"}},
		"another region last":                    {places: twoRegions, at: atA1, without: []string{"s/a-1", "s/a-2"}, want: []string{"s@b"}},
		"a whole region's group":                 {places: twoRegions, at: atB1, want: []string{"s@b"}},
		"a region that has none":                 {places: twoRegions, at: Origin{Zone: "c", Region: "c"}, want: []string{"s/a-1", "s/a-2", "s@b"}},
		"further attempts stay in the region":    {places: twoRegions, at: atA1, attempt: 1, want: []string{"s/a-1", "s/a-2"}},
		"all are left out":                       {places: twoRegions, at: atB1, without: []string{"s/a-1", "s/a-2", "s@b"}, want: []string{""}},
		"one region: any zone after the own one": {places: twoRegions[:2], at: Origin{Zone: "a-3", Region: "a"}, want: []string{"s/a-1", "s/a-2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			chosen := make(map[string]bool)
			for turn := range uint64(12) {
				chosen[ChooseGroup(c.places, c.at, turn, c.attempt, c.without)] = true
			}
			for _, key := range c.want {
				if !chosen[key] {
					t.Errorf("%q is never chosen", key)
				}
				delete(chosen, key)
			}
			if len(chosen) > 0 {
				t.Errorf("also chosen: %v", chosen)
			}
		})
	}
}

// TestHomesOfALostZone checks that, with several regions, one of the boxes to ask for a
// zone's group is in another zone of the region, so that the loss of a zone does not leave
// its group without a home to ask.
func TestHomesOfALostZone(t *testing.T) {
	regions := locality.New(map[string]string{"a-1": "a", "a-2": "a", "b-1": "b"})
	d := directory.Directory{}.WithList(time.Time{}, 1, endpointsIn("a-1", 20))
	layout := group.NewByRegion(table.Table{Services: []table.Service{{Name: "s", Kind: table.KindRouted}}}, d, regions).Layout()
	zones := make(map[string]string)
	var boxes []string
	for i := range 30 {
		boxes = append(boxes, fmt.Sprint("box-", i))
		zones[boxes[i]] = []string{"a-1", "a-2", "b-1"}[i%3]
	}
	r := NewRouter("box-0", nil)
	r.SetLayout(layout)
	r.SetLive(rank.Of(boxes).WithZones(zones, regions), rank.Of(boxes).WithZones(zones, regions))
	for _, key := range layout.Keys() {
		var in []string
		for _, box := range r.HomesOf(key) {
			in = append(in, zones[box])
		}
		if !slices.Equal(in, []string{"a-1", "a-1", "a-2"}) {
			t.Errorf("the boxes asked for %s are in %v", key, in)
		}
	}
}

// endpointsIn returns n endpoints of service s in a zone.
func endpointsIn(zone string, n int) []directory.Entry {
	var out []directory.Entry
	for i := range n {
		out = append(out, directory.Entry{ID: fmt.Sprint("e-", i), Service: "s", Zone: zone, Slots: 1})
	}
	return out
}
