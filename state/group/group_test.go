// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package group_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/table"
	"runridge.example/runridge/tests/seed"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Run(m, 200))
}

// routedTable has a model service, a plain one, and one with its endpoints in the
// table.
func routedTable() table.Table {
	return table.Table{
		Generation: 1,
		Services: []table.Service{
			{Name: "lm", Kind: table.KindRouted, Engine: &table.EngineLimits{Slots: 16, KVTokens: 43654}},
			{Name: "a", Kind: table.KindRouted},
			{Name: "a/b", Kind: table.KindRouted},
			{Name: "own", Kind: table.KindPlain, Route: "/own"},
		},
		Zones:     []table.Zone{{Name: "z"}},
		Pools:     []table.Pool{{Name: "own", Role: table.RolePlain}},
		Endpoints: []table.Endpoint{{Name: "own-1", Pool: "own", Zone: "z", Slots: 2}},
		Rows:      []table.Row{{Service: "own", Pool: "own", Weights: map[string]int{"z": 1}}},
	}
}

// same compares groups with what is worked out from nothing, by both ways.
func same(t *rapid.T, got group.Groups, in table.Table, d directory.Directory, regions locality.Map) {
	rebuilt, merged := group.NewByRegion(in, d, regions), directory.Merge(in, d)
	if !slices.Equal(got.Layout().Keys(), rebuilt.Layout().Keys()) {
		t.Fatalf("groups %v, from nothing %v", got.Layout().Keys(), rebuilt.Layout().Keys())
	}
	all := merged.GroupsByRegion(regions)
	if len(all) != len(got.Layout().Keys()) {
		t.Fatalf("%d groups, by the table %d", len(got.Layout().Keys()), len(all))
	}
	for _, want := range all {
		found, ok := got.Get(want.Key)
		if !ok || found.Service != want.Service || !slices.Equal(found.Members, want.Members) {
			t.Fatalf("group %s is %+v, by the table %+v", want.Key, found, want)
		}
	}
}

// TestOracleGroups holds groups that follow drawn changes to those worked out from
// nothing.
func TestOracleGroups(t *testing.T) {
	regions := map[string]locality.Map{
		"no regions":  {},
		"one region":  locality.New(map[string]string{"zone-0": "a", "zone-1": "a", "zone-2": "a", "z": "a"}),
		"two regions": locality.New(map[string]string{"zone-0": "a", "zone-1": "b", "zone-2": "a", "z": "b"}),
		// zone-2 is in none of those that are named.
		"three regions": locality.New(map[string]string{"zone-0": "zone-0", "zone-1": "b"}),
	}
	for name, in := range regions {
		t.Run(name, func(t *testing.T) { oracleGroups(t, in) })
	}
}

func oracleGroups(t *testing.T, regions locality.Map) {
	rapid.Check(t, func(t *rapid.T) {
		in := routedTable()
		d := directory.Directory{}
		g := group.NewByRegion(in, d, regions)
		// A group of more than 64 in a zone is cut in two, one of up to 16 is whole.
		size := rapid.SampledFrom([]int{4, 18, 150, 600}).Draw(t, "size")
		at := uint64(0)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			at++
			if rapid.IntRange(0, 9).Draw(t, "left") == 0 {
				d = d.WithLeft(fmt.Sprint("i-", rapid.IntRange(0, size).Draw(t, "id")))
			}
			d = d.WithChanges(time.Time{}, at, drawChanges(t, size))
			if rapid.IntRange(0, 4).Draw(t, "drains") == 0 {
				zone := fmt.Sprint("zone-", rapid.IntRange(0, 3).Draw(t, "zone"))
				d = d.WithDrained(time.Time{}, map[string]bool{zone: true})
			}
			if rapid.Bool().Draw(t, "forgets") {
				d = d.Without(time.Time{}.Add(time.Hour), time.Minute)
			}
			if rapid.IntRange(0, 3).Draw(t, "looks") > 0 {
				g = g.With(d)
				same(t, g, in, d, regions)
			}
		}
		same(t, g.With(d), in, d, regions)
	})
}

func drawChanges(t *rapid.T, size int) []directory.Change {
	var out []directory.Change
	n := rapid.SampledFrom([]int{1, 1, 2, 8, size}).Draw(t, "changes")
	for range n {
		id := rapid.IntRange(0, size).Draw(t, "id")
		e := directory.Entry{ID: fmt.Sprint("i-", id), Service: "lm", Zone: fmt.Sprint("zone-", id%3), Slots: rapid.IntRange(1, 3).Draw(t, "slots")}
		switch id % 5 {
		case 0:
			e.Service = "a/b"
		case 1:
			e.Stage = directory.StagePrefill
		default:
			e.Stage = rapid.SampledFrom([]string{directory.StagePrefill, directory.StageDecode}).Draw(t, "stage")
		}
		out = append(out, directory.Change{Entry: e, Gone: rapid.IntRange(0, 3).Draw(t, "gone") == 0})
	}
	return out
}

// TestUntouchedGroupsStay holds that a change leaves the other groups and the layout
// as the very same values: homes and routers tell by that what they need not do.
func TestUntouchedGroupsStay(t *testing.T) {
	d := directory.Directory{}.WithList(time.Time{}, 1, entries(300))
	before := group.New(routedTable(), d)
	e := entry(7)
	e.Draining = true
	after := before.With(d.WithChanges(time.Time{}, 2, []directory.Change{{Entry: e}}))
	if after.Layout() != before.Layout() {
		t.Error("the layout is another value")
	}
	changed := 0
	for _, key := range before.Layout().Keys() {
		was, _ := before.Get(key)
		now, _ := after.Get(key)
		if was != now {
			changed++
		}
	}
	if changed != 1 {
		t.Errorf("%d groups are other values, want 1", changed)
	}
}

func entry(i int) directory.Entry {
	e := directory.Entry{ID: fmt.Sprintf("i-%010x", i*7919), Service: "lm", Address: "10.128.0.9:8080", Zone: fmt.Sprint("zone-", i%3), Slots: 16, Stage: directory.StageDecode}
	if i%8 == 0 {
		e.Service, e.Stage = "a/b", ""
	}
	return e
}

func entries(n int) []directory.Entry {
	out := make([]directory.Entry, 0, n)
	for i := range n {
		out = append(out, entry(i))
	}
	return out
}

// TestOneRegion holds that a fleet in one region has the groups that it has without
// regions named, at the same places.
func TestOneRegion(t *testing.T) {
	one := locality.New(map[string]string{"zone-0": "a", "zone-1": "a", "zone-2": "a", "z": "a"})
	for _, size := range []int{0, 4, 18, 300, 700} {
		d := directory.Directory{}.WithList(time.Time{}, 1, entries(size))
		without, with := group.New(routedTable(), d), group.NewByRegion(routedTable(), d, one)
		if !slices.Equal(without.Layout().Keys(), with.Layout().Keys()) {
			t.Errorf("%d endpoints: groups %v, without regions %v", size, with.Layout().Keys(), without.Layout().Keys())
		}
		for _, key := range without.Layout().Keys() {
			before, _ := without.Get(key)
			after, _ := with.Get(key)
			if !slices.Equal(before.Members, after.Members) {
				t.Errorf("%d endpoints: group %s has other members", size, key)
			}
			if place := with.Layout().Place(key); place.Zone != without.Layout().Place(key).Zone || place.Region != "a" {
				t.Errorf("%d endpoints: group %s is at %+v", size, key, place)
			}
		}
	}
}

// TestCutByRegion holds that the few endpoints of a service in a region are one
// group, that many are cut by zone, and that a region that loses all its endpoints
// leaves the groups of the others as they are.
func TestCutByRegion(t *testing.T) {
	regions := locality.New(map[string]string{"zone-0": "a", "zone-1": "b", "zone-2": "b"})
	d := directory.Directory{}.WithList(time.Time{}, 1, entries(60))
	before := group.NewByRegion(routedTable(), d, regions)
	want := []group.Place{
		{Key: "lm/zone-0", Zone: "zone-0", Region: "a"},
		{Key: "lm/zone-1", Zone: "zone-1", Region: "b"},
		{Key: "lm/zone-2", Zone: "zone-2", Region: "b"},
	}
	if got := before.Layout().Places("lm"); !slices.Equal(got, want) {
		t.Errorf("many endpoints are at %+v", got)
	}
	want = []group.Place{{Key: "a/b@a", Region: "a"}, {Key: "a/b@b", Region: "b"}}
	if got := before.Layout().Places("a/b"); !slices.Equal(got, want) {
		t.Errorf("few endpoints are at %+v", got)
	}
	var gone []directory.Change
	for _, e := range entries(60) {
		if e.Zone == "zone-0" {
			gone = append(gone, directory.Change{Entry: e, Gone: true})
		}
	}
	after := before.With(d.WithChanges(time.Time{}, 2, gone).Without(time.Time{}.Add(time.Hour), time.Minute))
	for _, key := range after.Layout().Keys() {
		was, known := before.Get(key)
		if now, _ := after.Get(key); !known || !slices.Equal(was.Members, now.Members) {
			t.Errorf("group %s has other members after another region was lost", key)
		}
	}
	if got := after.Layout().Places("a/b"); !slices.Equal(got, want[1:]) {
		t.Errorf("after a region is lost endpoints are at %+v", got)
	}
}

// atOnce are the groups of a table before and after so many endpoints came in one change.
func atOnce(count int) (before group.Groups, after directory.Directory) {
	d := directory.Directory{}.WithList(time.Time{}, 1, nil)
	return group.New(routedTable(), d), d.WithList(time.Time{}, 2, entries(count))
}

// TestManyEndpointsAtOnce holds that a list of many endpoints that come at once costs hardly more
// than working out all groups from nothing: they are worked out once, not once for each.
func TestManyEndpointsAtOnce(t *testing.T) {
	for _, count := range []int{500, 8000} {
		before, after := atOnce(count)
		changed := testing.AllocsPerRun(2, func() { before.With(after) })
		anew := testing.AllocsPerRun(2, func() { group.New(routedTable(), after) })
		t.Logf("%d endpoints: %.0f allocations, %.0f from nothing", count, changed, anew)
		if changed > 2*anew {
			t.Errorf("%d endpoints cost %.0f allocations, %.0f from nothing", count, changed, anew)
		}
	}
	before, after := atOnce(8000)
	got, want := before.With(after), group.New(routedTable(), after)
	for _, key := range want.Layout().Keys() {
		a, _ := got.Get(key)
		b, _ := want.Get(key)
		if a == nil || !slices.Equal(a.Members, b.Members) {
			t.Errorf("group %s has other members than by the table", key)
		}
	}
}

// BenchmarkManyEndpoints is the list of 10,000 endpoints that a box takes in at its start.
func BenchmarkManyEndpoints(b *testing.B) {
	before, after := atOnce(10_000)
	b.ReportAllocs()
	for b.Loop() {
		before.With(after)
	}
}
