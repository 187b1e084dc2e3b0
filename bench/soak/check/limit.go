// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package check

import (
	"slices"
	"time"

	"runridge.example/runridge/platform/standin"
)

// Bounds of the platform's pages on what an endpoint gets that names a limit.
const (
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	// limitTold is after how long a box that was told a limit is held to it.
	limitTold = 500 * time.Millisecond
)

// limits judges what endpoints that name a limit get from the boxes that they have told.
func (j *judge) limits() {
	named := make(map[string][]standin.Arrival)
	end := func(endpoint string) {
		j.limit(endpoint, named[endpoint])
		delete(named, endpoint)
	}
	for _, a := range j.Sight.Arrivals {
		switch {
		case a.Fate == standin.Misdirected:
		case a.Limit > 0:
			named[a.Endpoint] = append(named[a.Endpoint], a)
		default:
			end(a.Endpoint)
		}
	}
	for endpoint := range named {
		end(endpoint)
	}
}

// limit judges the arrivals at one endpoint while it named limits, in their order.
func (j *judge) limit(endpoint string, arrivals []standin.Arrival) {
	answered := slices.DeleteFunc(slices.Clone(arrivals), func(a standin.Arrival) bool { return a.Ended.IsZero() })
	slices.SortFunc(answered, func(a, b standin.Arrival) int { return a.Ended.Compare(b.Ended) })
	told := make(map[string]time.Time)
	var counted []time.Time
	for _, a := range arrivals {
		for len(answered) > 0 && !answered[0].Ended.After(a.At) {
			// A box that was struck has to be told again.
			box, at := boxOf(answered[0].ID), answered[0].Ended
			if since, known := told[box]; !known || j.struck(box, "", since, at) {
				told[box] = at
			}
			answered = answered[1:]
		}
		since, known := told[boxOf(a.ID)]
		if known && a.At.Sub(since) >= limitTold && a.At.Sub(arrivals[0].At) >= j.bounds.Contact && !j.struck(boxOf(a.ID), "", since, a.At) {
			counted = append(counted, a.At)
		}
	}
	sliding(counted, limitWindow, func(at time.Time, count int) {
		most := limitOverage*j.highestNamed(arrivals, at)*limitWindow.Seconds() + limitSlack
		j.report.Note("named_limit", float64(count) <= most, "%s got %d of %.1f in the window up to %s", endpoint, count, most, at.Format(clock))
	})
}

// highestNamed is the highest limit named in the window that ends at a time; one that was
// lowered binds once boxes have to know it.
func (j *judge) highestNamed(arrivals []standin.Arrival, at time.Time) float64 {
	highest := 0.0
	for _, a := range arrivals {
		if !a.At.After(at) && at.Sub(a.At) < limitWindow+j.bounds.Contact {
			highest = max(highest, a.Limit)
		}
	}
	return highest
}
