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

// routedTable returns a table with a model service, two plain routed services, and one whose
// endpoints are listed in the table.
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

// assertSameGroups compares groups with those rebuilt from scratch, and with those that the
// merged table computes.
func assertSameGroups(t *rapid.T, got group.Groups, in table.Table, d directory.Directory, regions locality.Map) {
	rebuilt, merged := group.NewByRegion(in, d, regions), directory.Merge(in, d)
	if !slices.Equal(got.Layout().Keys(), rebuilt.Layout().Keys()) {
		t.Fatalf("groups %v, rebuilt %v", got.Layout().Keys(), rebuilt.Layout().Keys())
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

// TestOracleGroups compares groups that are updated with random changes to groups built from
// scratch.
func TestOracleGroups(t *testing.T) {
	regions := map[string]locality.Map{
		"no regions":  {},
		"one region":  locality.New(map[string]string{"zone-0": "a", "zone-1": "a", "zone-2": "a", "z": "a"}),
		"two regions": locality.New(map[string]string{"zone-0": "a", "zone-1": "b", "zone-2": "a", "z": "b"}),
		// zone-2 is in none of the named regions.
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
		// More than 64 endpoints in a zone are split into two groups; up to 16 form one group.
		size := rapid.SampledFrom([]int{4, 18, 150, 600}).Draw(t, "size")
		revision := uint64(0)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			revision++
			if rapid.IntRange(0, 9).Draw(t, "left") == 0 {
				w, _ := d.Status(fmt.Sprint("i-", rapid.IntRange(0, size).Draw(t, "id")))
				d = d.WithReplaced(w.ID, w.Address)
			}
			d = d.WithChanges(time.Time{}, revision, drawChanges(t, size))
			if rapid.IntRange(0, 4).Draw(t, "drains") == 0 {
				zone := fmt.Sprint("zone-", rapid.IntRange(0, 3).Draw(t, "zone"))
				d = d.WithDrained(time.Time{}, map[string]bool{zone: true})
			}
			if rapid.Bool().Draw(t, "forgets") {
				d = d.WithoutGone(time.Time{}.Add(time.Hour), time.Minute)
			}
			if rapid.IntRange(0, 3).Draw(t, "looks") > 0 {
				g = g.With(d)
				assertSameGroups(t, g, in, d, regions)
			}
		}
		assertSameGroups(t, g.With(d), in, d, regions)
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

// TestUntouchedGroupsStay checks that a change keeps the pointers of all other groups and of
// the layout. Homes and routers compare these pointers to skip groups that have not changed.
func TestUntouchedGroupsStay(t *testing.T) {
	d := directory.Directory{}.WithList(time.Time{}, 1, entries(300))
	before := group.New(routedTable(), d)
	e := entry(7)
	e.Draining = true
	after := before.With(d.WithChanges(time.Time{}, 2, []directory.Change{{Entry: e}}))
	if after.Layout() != before.Layout() {
		t.Error("the layout pointer changed, want the same one")
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
		t.Errorf("%d group pointers changed, want 1", changed)
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

// TestOneRegion checks that naming the only region of a fleet changes neither its groups nor
// their zones.
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
				t.Errorf("%d endpoints: group %s has different members", size, key)
			}
			if place := with.Layout().Place(key); place.Zone != without.Layout().Place(key).Zone || place.Region != "a" {
				t.Errorf("%d endpoints: group %s is at %+v", size, key, place)
			}
		}
	}
}

// TestCutByRegion checks that a service's endpoints in a region form one group if they are few
// and are split by zone if they are many, and that a region that loses all its endpoints does
// not change the groups of other regions.
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
	after := before.With(d.WithChanges(time.Time{}, 2, gone).WithoutGone(time.Time{}.Add(time.Hour), time.Minute))
	for _, key := range after.Layout().Keys() {
		was, known := before.Get(key)
		if now, _ := after.Get(key); !known || !slices.Equal(was.Members, now.Members) {
			t.Errorf("group %s has different members after another region was lost", key)
		}
	}
	if got := after.Layout().Places("a/b"); !slices.Equal(got, want[1:]) {
		t.Errorf("after a region is lost endpoints are at %+v", got)
	}
}

// manyAdded returns the groups of an empty directory, and the directory after count endpoints
// were added in one change.
func manyAdded(count int) (before group.Groups, after directory.Directory) {
	d := directory.Directory{}.WithList(time.Time{}, 1, nil)
	return group.New(routedTable(), d), d.WithList(time.Time{}, 2, entries(count))
}

// TestManyEndpointsAtOnce checks that adding many endpoints in one change allocates at most
// twice as much as building all groups from scratch: the groups must be computed once per
// change, not once per endpoint.
func TestManyEndpointsAtOnce(t *testing.T) {
	for _, count := range []int{500, 8000} {
		before, after := manyAdded(count)
		changed := testing.AllocsPerRun(2, func() { before.With(after) })
		rebuilt := testing.AllocsPerRun(2, func() { group.New(routedTable(), after) })
		t.Logf("%d endpoints: %.0f allocations, %.0f when rebuilt", count, changed, rebuilt)
		if changed > 2*rebuilt {
			t.Errorf("%d endpoints cost %.0f allocations, %.0f when rebuilt", count, changed, rebuilt)
		}
	}
	before, after := manyAdded(8000)
	got, want := before.With(after), group.New(routedTable(), after)
	for _, key := range want.Layout().Keys() {
		a, _ := got.Get(key)
		b, _ := want.Get(key)
		if a == nil || !slices.Equal(a.Members, b.Members) {
			t.Errorf("group %s has different members than when rebuilt", key)
		}
	}
}

// BenchmarkManyEndpoints adds the list of 10,000 endpoints that a box receives at its start.
func BenchmarkManyEndpoints(b *testing.B) {
	before, after := manyAdded(10_000)
	b.ReportAllocs()
	for b.Loop() {
		before.With(after)
	}
}
