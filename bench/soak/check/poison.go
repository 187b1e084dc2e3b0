// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package check

import (
	"slices"
	"time"

	"runridge.example/runridge/platform/standin"
)

const (
	// By the platform's specification, boxes must know a poison request once it has ended
	// poisonThreshold endpoints; after that it may arrive maxKnownArrivals times.
	poisonThreshold  = 3
	maxKnownArrivals = 3
)

// checkPoison checks that boxes that must know a poison request keep it from the endpoints, and
// that they refuse no other request as poison.
func (v *verifier) checkPoison() {
	arrivalsOf := make(map[string][]standin.Arrival)
	for _, a := range v.Answers {
		if a.Poison == "" {
			v.report.Count("poison_spares_others", !a.RefusedAsPoison, "%s at %s on %s was refused as a poison request", a.ID, a.Box, a.Route)
			continue
		}
		for _, i := range v.byID[a.ID] {
			arrivalsOf[a.Poison] = append(arrivalsOf[a.Poison], v.Observed.Arrivals[i])
		}
	}
	for name, arrivals := range arrivalsOf {
		slices.SortFunc(arrivals, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
		known, ends := v.poisonKnownFrom(arrivals)
		late := 0
		for _, a := range arrivals {
			if a.At.After(known) && a.Fate != standin.Misdirected && !v.faultOverlaps(boxOf(a.ID), "", a.At.Add(-v.bounds.Contact), a.At) {
				late++
			}
		}
		v.report.Count("poison_contained", late <= maxKnownArrivals, "%s ended %d endpoints, and arrived %d times after %s, when all had to know it",
			name, ends, late, known.Format(TimeFormat))
	}
}

// poisonKnownFrom returns the time from which on boxes must know a poison request, given its
// sorted arrivals, and how many endpoints it ended in all.
func (v *verifier) poisonKnownFrom(arrivals []standin.Arrival) (known time.Time, ends int) {
	known = v.Ended
	for _, a := range arrivals {
		if a.Fate != standin.Ran || a.Step != standin.StepRun {
			continue
		}
		ends++
		if ends == poisonThreshold {
			known = a.Ended.Add(v.bounds.Contact)
		}
	}
	return known, ends
}
