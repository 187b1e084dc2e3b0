// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package home

import (
	"slices"

	"runridge.example/runridge/state/group"
)

// ChooseGroup picks the group of a service that is asked for a request: at the
// first attempt one in the box's zone, if there is any, later another part.
// Turn shares requests out where there are several, and those in without are
// left out; no groups give "".
func ChooseGroup(places []group.Place, zone string, turn uint64, attempt uint32, without []string) string {
	fits := func(p group.Place) bool { return !slices.Contains(without, p.Key) }
	near := func(p group.Place) bool { return p.Zone == zone && fits(p) }
	if n := count(places, near); n > 0 && attempt == 0 {
		return nth(places, near, turn%n)
	}
	if n := count(places, fits); n > 0 {
		return nth(places, fits, (turn+uint64(attempt))%n)
	}
	return ""
}

func count(places []group.Place, fits func(group.Place) bool) uint64 {
	n := uint64(0)
	for _, p := range places {
		if fits(p) {
			n++
		}
	}
	return n
}

// nth is the key of the group that comes after n others that fit.
func nth(places []group.Place, fits func(group.Place) bool, n uint64) string {
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
