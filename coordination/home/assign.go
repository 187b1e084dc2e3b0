// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package home

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"runridge.example/runridge/state/table"
)

// Rank orders the live boxes by their hash with a key (rendezvous hashing),
// and returns up to limit of them. A box that comes or goes moves only what it
// ranked first for, and the second in rank is the one that follows it.
func Rank(key string, live []string, limit int) []string {
	type weighed struct {
		box   string
		score uint64
	}
	all := make([]weighed, 0, len(live))
	for _, b := range live {
		all = append(all, weighed{box: b, score: weigh(key, b)})
	}
	slices.SortFunc(all, func(a, b weighed) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.box, b.box))
	})
	out := make([]string, 0, limit)
	for _, w := range all[:min(limit, len(all))] {
		out = append(out, w.box)
	}
	return out
}

func weigh(key, box string) uint64 {
	d := xxhash.New()
	// The digest's WriteString never fails.
	_, _ = d.WriteString(box)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// ChooseGroup picks the group of a service that is asked for a request: at the
// first attempt one in the box's zone, if there is any, later another part.
// Turn shares requests out where there are several, and those in without are
// left out; no groups give "".
func ChooseGroup(groups []table.Group, zone string, turn uint64, attempt uint32, without []string) string {
	groups = slices.DeleteFunc(slices.Clone(groups), func(g table.Group) bool { return slices.Contains(without, g.Key) })
	if len(groups) == 0 {
		return ""
	}
	near := slices.DeleteFunc(slices.Clone(groups), func(g table.Group) bool {
		return len(g.Members) == 0 || g.Members[0].Endpoint.Zone != zone
	})
	if len(near) > 0 && attempt == 0 {
		groups = near
	}
	return groups[(turn+uint64(attempt))%uint64(len(groups))].Key
}

// Assign gives each group a home: the first box in its rank that has fewer
// than its even share of groups (rendezvous hashing with bounded loads). With
// hashing alone the busiest of 400 boxes would have four groups where the
// others have none or one. The result depends on the arguments alone, so boxes
// that know the same groups and boxes agree.
func Assign(groups, live []string) map[string]string {
	out := make(map[string]string, len(groups))
	if len(live) == 0 {
		return out
	}
	share := (len(groups) + len(live) - 1) / len(live)
	loads := make(map[string]int, len(live))
	ordered := slices.Sorted(slices.Values(groups))
	for _, g := range ordered {
		for _, b := range Rank(g, live, len(live)) {
			if loads[b] < share {
				loads[b]++
				out[g] = b
				break
			}
		}
	}
	return out
}
