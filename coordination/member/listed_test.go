// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"maps"
	"slices"
	"testing"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/state/position"
)

// entries returns a list of boxes with positions of an era.
func entries(era uint64, names ...string) []adapter.Box {
	var out []adapter.Box
	for i, name := range names {
		out = append(out, adapter.Box{Name: name, Version: position.Of(era, uint64(i+1))})
	}
	return out
}

// TestBoxesThatAnOlderListLacks lets box a read lists, the last of which may lack boxes. A
// box that is not listed counts as ended, so entries lost when the store is restored from
// an older copy must be kept for a while.
func TestBoxesThatAnOlderListLacks(t *testing.T) {
	cases := map[string]struct {
		lists [][]adapter.Box
		// after is the time before the last list.
		after time.Duration
		want  []string
	}{
		"removed by another box":        {lists: [][]adapter.Box{entries(0, "a", "b", "c"), entries(0, "a", "b")}, want: []string{"a", "b"}},
		"lost with the store's writes":  {lists: [][]adapter.Box{entries(0, "a", "b", "c"), entries(1, "a", "b")}, want: []string{"a", "b", "c"}},
		"missing for long":              {lists: [][]adapter.Box{entries(0, "a", "b", "c"), entries(1, "a", "b"), entries(1, "a", "b")}, after: missingGracePeriod, want: []string{"a", "b"}},
		"missing for a while":           {lists: [][]adapter.Box{entries(0, "a", "b", "c"), entries(1, "a"), entries(1, "a", "b")}, after: missingGracePeriod - 1, want: []string{"a", "b", "c"}},
		"the own entry":                 {lists: [][]adapter.Box{entries(0, "a", "b"), entries(1, "b")}, want: []string{"b"}},
		"the first list, of a late era": {lists: [][]adapter.Box{entries(3, "a", "b")}, want: []string{"a", "b"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now, l := time.Unix(1000, 0), listed{}
			for i, list := range c.lists {
				if i == len(c.lists)-1 {
					now = now.Add(c.after)
				}
				l = l.withRead(now, "a", list)
			}
			if got := slices.Sorted(maps.Keys(l.boxes)); !slices.Equal(got, c.want) {
				t.Errorf("listed are %v, want %v", got, c.want)
			}
		})
	}
}
