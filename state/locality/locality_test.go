// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package locality_test

import (
	"fmt"
	"slices"
	"testing"

	"runridge.example/runridge/state/locality"
)

func ExampleMap_Distance() {
	m := locality.New(map[string]string{"a-1": "a", "a-2": "a", "b-1": "b"})
	fmt.Println(m.Distance("a-1", "a-1"), m.Distance("a-1", "a-2"), m.Distance("a-1", "b-1"))
	// Output: same_zone same_region other_region
}

func TestDistanceWithoutRegions(t *testing.T) {
	var none locality.Map
	if d := none.Distance("a", "b"); d != locality.SameRegion {
		t.Errorf("two zones of no known region are at distance %s", d)
	}
}

func TestDistanceInOneRegion(t *testing.T) {
	one := locality.New(map[string]string{"x": "a"})
	if d := one.Distance("x", "other"); d != locality.SameRegion {
		t.Errorf("an unnamed zone is at distance %s with one region", d)
	}
	two := locality.New(map[string]string{"x": "a", "y": "b"})
	if d := two.Distance("x", "other"); d != locality.OtherRegion {
		t.Errorf("an unnamed zone is at distance %s with two regions", d)
	}
}

func TestAllowed(t *testing.T) {
	cases := map[string]struct {
		lists  [][]string
		region string
		want   bool
	}{
		"no restriction":           {region: "a", want: true},
		"empty lists":              {lists: [][]string{{}, nil}, region: "a", want: true},
		"the route's region":       {lists: [][]string{{"a"}, nil}, region: "a", want: true},
		"not the route's region":   {lists: [][]string{{"a"}, nil}, region: "b"},
		"not the account's region": {lists: [][]string{nil, {"a"}}, region: "b"},
		"both allow it":            {lists: [][]string{{"a", "b"}, {"b"}}, region: "b", want: true},
		"one of two does not":      {lists: [][]string{{"a", "b"}, {"b"}}, region: "a"},
		"none in common":           {lists: [][]string{{"a"}, {"b"}}, region: "a"},
		"a region that is unknown": {lists: [][]string{{"a"}}, region: ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := locality.AllowedBy(c.lists...).Permits(c.region); got != c.want {
				t.Errorf("permitted: %v, want %v", got, c.want)
			}
		})
	}
}

func TestRegions(t *testing.T) {
	cases := map[string]struct {
		regions map[string]string
		several bool
		only    string
		of      []string
	}{
		"none":    {of: []string{""}},
		"one":     {regions: map[string]string{"x": "a", "y": "a"}, only: "a", of: []string{"", "a"}},
		"several": {regions: map[string]string{"x": "a", "y": "b"}, several: true, of: []string{"", "a", "b"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := locality.New(c.regions)
			if m.Several() != c.several || m.Only() != c.only {
				t.Errorf("several: %v, only region: %q", m.Several(), m.Only())
			}
			if got := m.RegionsOf([]string{"y", "x", "other", "x"}); !slices.Equal(got, c.of) {
				t.Errorf("regions of zones are %q, want %q", got, c.of)
			}
		})
	}
}
