// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package check

import (
	"slices"
	"time"

	"runridge.example/runridge/platform/standin"
)

// Bounds of the platform's specification on the requests that reach an endpoint that names a limit.
const (
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	// limitNoticeDelay is how long after an answer with a limit the box must observe it.
	limitNoticeDelay = 500 * time.Millisecond
)

// checkLimits checks what endpoints that name a limit get from boxes that have received it.
func (v *verifier) checkLimits() {
	named := make(map[string][]standin.Arrival)
	end := func(endpoint string) {
		v.checkLimit(endpoint, named[endpoint])
		delete(named, endpoint)
	}
	for _, a := range v.Observed.Arrivals {
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

// checkLimit checks the arrivals at one endpoint while it named limits; they are in order of time.
func (v *verifier) checkLimit(endpoint string, arrivals []standin.Arrival) {
	answered := slices.DeleteFunc(slices.Clone(arrivals), func(a standin.Arrival) bool { return a.Ended.IsZero() })
	slices.SortFunc(answered, func(a, b standin.Arrival) int { return a.Ended.Compare(b.Ended) })
	informed := make(map[string]time.Time)
	var enforced []time.Time
	for _, a := range arrivals {
		for len(answered) > 0 && !answered[0].Ended.After(a.At) {
			// A box that a fault affected has to receive the limit again.
			box, at := boxOf(answered[0].ID), answered[0].Ended
			if since, known := informed[box]; !known || v.faultOverlaps(box, "", since, at) {
				informed[box] = at
			}
			answered = answered[1:]
		}
		since, known := informed[boxOf(a.ID)]
		if known && a.At.Sub(since) >= limitNoticeDelay && a.At.Sub(arrivals[0].At) >= v.bounds.Contact && !v.faultOverlaps(boxOf(a.ID), "", since, a.At) {
			enforced = append(enforced, a.At)
		}
	}
	forEachWindow(enforced, limitWindow, func(at time.Time, count int) {
		allowed := limitOverage*v.highestLimit(arrivals, at)*limitWindow.Seconds() + limitSlack
		v.report.Count("named_limit", float64(count) <= allowed, "%s got %d of %.1f in the window up to %s", endpoint, count, allowed, at.Format(TimeFormat))
	})
}

// highestLimit returns the highest limit named in the window that ends at a time. A lowered
// limit is enforced only once boxes must know it.
func (v *verifier) highestLimit(arrivals []standin.Arrival, at time.Time) float64 {
	highest := 0.0
	for _, a := range arrivals {
		if !a.At.After(at) && at.Sub(a.At) < limitWindow+v.bounds.Contact {
			highest = max(highest, a.Limit)
		}
	}
	return highest
}
