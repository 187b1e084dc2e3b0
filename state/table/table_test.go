// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package table_test

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"runridge.example/runridge/state/example"
	"runridge.example/runridge/state/table"
	"runridge.example/runridge/tests/seed"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Run(m, 500))
}

// bogota returns the Bogota example table after an optional change.
func bogota(change func(*table.Table)) table.Table {
	t, _ := example.Table(example.Bogota)
	if change != nil {
		change(&t)
	}
	return t
}

func TestCheck(t *testing.T) {
	cases := map[string]struct {
		change func(*table.Table)
		// want is part of the expected problem; empty expects no problem.
		want string
	}{
		"example is good":         {},
		"address not an IP":       {func(t *table.Table) { t.Endpoints[0].Address = "engine-1:80" }, `address is "engine-1:80", allowed: an IP number and port`},
		"unknown zone, near one":  {func(t *table.Table) { t.Endpoints[0].Zone = "bog-aa" }, "nearest: bog-a"},
		"pool not defined":        {func(t *table.Table) { t.Endpoints[0].Pool = "lm-porta-prefil" }, "nearest: lm-porta-prefill"},
		"weights add up to 0":     {func(t *table.Table) { t.Rows[0].Weights = map[string]int{"bog-a": 0} }, "add up to more than 0"},
		"no decode pool":          {func(t *table.Table) { t.Rows = slices.Delete(t.Rows, 1, 2) }, "at least one row with a decode pool"},
		"more holds than slots":   {func(t *table.Table) { t.Rows[0].HoldsPerEngine = 1000 }, "at most 40, the slots of endpoint"},
		"waste weight too large":  {func(t *table.Table) { t.Services[0].WasteWeight = 1.5 }, "0 to 1"},
		"same endpoint twice":     {func(t *table.Table) { t.Endpoints[1].Name = t.Endpoints[0].Name }, "stands once"},
		"route under the api":     {func(t *table.Table) { t.Services[1].Route = "/v1/x" }, "not under /v1"},
		"account without a share": {func(t *table.Table) { t.Accounts[0].Weight = 0 }, "above 0"},
		"link without a rate":     {func(t *table.Table) { t.Links[0].BytesPerSecond = 0 }, "above 0"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				problems := bogota(c.change).Check()
				if c.want == "" {
					convey.So(problems, convey.ShouldBeEmpty)
					return
				}
				convey.So(problems.Error(), convey.ShouldContainSubstring, c.want)
			})
		})
	}
}

// drawTable draws a small table with few names, so that two tables often share items.
func drawTable(t *rapid.T, label string, generation uint64) table.Table {
	out := table.Table{Generation: generation}
	for _, n := range []string{"a", "b", "c", "d"} {
		if rapid.Bool().Draw(t, label+n) {
			slots := rapid.IntRange(1, 3).Draw(t, label+"slots")
			out.Endpoints = append(out.Endpoints, table.Endpoint{Name: n, Slots: slots})
			out.Rows = append(out.Rows, table.Row{Service: n, Pool: "p", Weights: map[string]int{"z": slots}})
		}
	}
	return out
}

func TestDeltaLeadsFromOneTableToTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawTable(t, "from", 3), drawTable(t, "to", 7)
		got, ok := from.WithDelta(table.Diff(from, to))
		if !ok || !reflect.DeepEqual(sorted(got), sorted(to)) {
			t.Fatalf("%+v with the change to %+v became %+v", from, to, got)
		}
		other := from.WithGeneration(4)
		if _, ok := other.WithDelta(table.Diff(from, to)); ok {
			t.Fatal("a change was applied to a table that it is not based on")
		}
	})
}

// sorted returns the table with its lists sorted by key, since a change may reorder them.
func sorted(t table.Table) table.Table {
	t.Endpoints = slices.Clone(t.Endpoints)
	slices.SortFunc(t.Endpoints, func(a, b table.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	t.Rows = slices.Clone(t.Rows)
	slices.SortFunc(t.Rows, func(a, b table.Row) int { return strings.Compare(a.Service, b.Service) })
	if len(t.Endpoints) == 0 {
		t.Endpoints, t.Rows = nil, nil
	}
	return t
}

func TestGroups(t *testing.T) {
	convey.Convey("Groups hold every endpoint of a service once", t, func() {
		small := bogota(nil)
		convey.So(small.GroupsOf("lm-porta"), convey.ShouldHaveLength, 1)
		large := withMore(60, -1)
		seen := make(map[string]bool)
		for _, g := range large.GroupsOf("lm-porta") {
			convey.So(len(g.Members), convey.ShouldBeLessThanOrEqualTo, table.MaxZoneGroup)
			prefill := 0
			for _, m := range g.Members {
				convey.So(seen[m.Endpoint.Name], convey.ShouldBeFalse)
				seen[m.Endpoint.Name] = true
				if m.Prefill {
					prefill++
				}
			}
			convey.So(prefill, convey.ShouldBeBetween, 0, len(g.Members))
		}
		convey.So(seen, convey.ShouldHaveLength, 69)
	})
}

// withMore returns the example table with more endpoints, one of them left out.
func withMore(count, without int) table.Table {
	return bogota(func(t *table.Table) {
		for i := range count {
			e := t.Endpoints[i%9]
			e.Name = fmt.Sprintf("more-%d", i)
			if i != without {
				t.Endpoints = append(t.Endpoints, e)
			}
		}
	})
}

// groupOfEach maps each endpoint of the model service to its group.
func groupOfEach(t table.Table) map[string]string {
	out := make(map[string]string)
	for _, g := range t.GroupsOf("lm-porta") {
		for _, m := range g.Members {
			out[m.Endpoint.Name] = g.Key
		}
	}
	return out
}

func TestGroupsStayAsTheyAre(t *testing.T) {
	cases := map[string]int{"a group for each zone": 90, "several groups in a zone": 400}
	for name, count := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A removed endpoint moves no other to another group", t, func() {
				before := groupOfEach(withMore(count, -1))
				for without := range 20 {
					after := groupOfEach(withMore(count, without))
					convey.So(after, convey.ShouldHaveLength, len(before)-1)
					for endpoint, group := range after {
						convey.So(group, convey.ShouldEqual, before[endpoint])
					}
				}
			})
		})
	}
}

func TestGroupsOfALargeService(t *testing.T) {
	convey.Convey("At 700 endpoints a group is a small part of its zone", t, func() {
		groups := withMore(691, -1).GroupsOf("lm-porta")
		convey.So(len(groups), convey.ShouldBeGreaterThan, 60)
		for _, g := range groups {
			convey.So(len(g.Members), convey.ShouldBeLessThanOrEqualTo, 20)
		}
	})
}

func ExampleTable_Check() {
	t, _ := example.Table(example.Kolkata)
	t.Endpoints[2].Zone = "barasat-hal"
	fmt.Println(t.Check())
	// Output: endpoint order-reader-prefill-3: zone is "barasat-hal", allowed: howrah-hall, saltlake-hall, barasat-hall (nearest: barasat-hall)
}
