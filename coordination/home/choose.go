// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package home

import (
	"slices"

	"runridge.example/runridge/state/group"
)

// Origin is the place where a request arrived.
type Origin struct {
	Zone, Region string
}

// ChooseGroup returns the key of the group of a service to ask for a request, or "" if
// there is none. The first attempt goes to a group in the box's zone, if there is one;
// later attempts go to any group of the region. Groups of the box's region are preferred
// over all others: a round trip to another region takes some tens of milliseconds, longer
// than many requests. Turn spreads requests over several candidates, and groups in excluded
// are skipped.
func ChooseGroup(places []group.Place, at Origin, turn uint64, attempt uint32, excluded []string) string {
	fits := func(p group.Place) bool { return !slices.Contains(excluded, p.Key) }
	near := func(p group.Place) bool { return p.Zone == at.Zone && fits(p) }
	home := func(p group.Place) bool { return p.Region == at.Region && fits(p) }
	if n := countPlaces(places, near); n > 0 && attempt == 0 {
		return nthPlace(places, near, turn%n)
	}
	for _, set := range []func(group.Place) bool{home, fits} {
		if n := countPlaces(places, set); n > 0 {
			return nthPlace(places, set, (turn+uint64(attempt))%n)
		}
	}
	return ""
}

// countPlaces returns the number of groups that match.
func countPlaces(places []group.Place, fits func(group.Place) bool) uint64 {
	n := uint64(0)
	for _, p := range places {
		if fits(p) {
			n++
		}
	}
	return n
}

// nthPlace returns the key of the candidate that comes after n others, or "".
func nthPlace(places []group.Place, fits func(group.Place) bool, n uint64) string {
	for _, p := range places {
		if !fits(p) {
			continue
		}
		if n == 0 {
			return p.Key
		}
		n--
	}
	return ""
}
