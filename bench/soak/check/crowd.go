// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package check

import (
	"net/http"
	"slices"
	"time"
)

// FaultCrowd is the kind of the fault that a crowd is recorded as.
const FaultCrowd = "callers_crowd_box"

// Crowd is a time in which nearly all callers opened new connections to one box.
type Crowd struct {
	Box      string
	From, To time.Time
}

const (
	// minCrowdServed is the least ratio of the share of requests that a crowded box serves to that of
	// all boxes before, by the platform's specification.
	minCrowdServed = 0.75
	// crowdBefore is how long before the crowd the share is taken, and minCrowdRequests how many
	// requests there have to be in each of the two times.
	crowdBefore      = 5 * time.Second
	minCrowdRequests = 30
)

// checkCrowds checks that a box to which most callers open new connections serves those that it has
// read about as often as boxes did before.
func (v *verifier) checkCrowds() {
	for _, c := range v.Crowds {
		begin := c.From.Add(v.bounds.Contact)
		if v.anyFault(c.From.Add(-crowdBefore), c.To) {
			continue
		}
		before, during := v.servedShare("", c.From.Add(-crowdBefore), c.From), v.servedShare(c.Box, begin, c.To)
		if min(before.Asked, during.Asked) < minCrowdRequests {
			continue
		}
		v.report.Count("served_at_crowded_box", during.Ratio() >= minCrowdServed*before.Ratio(), "%s: %.2f of %d, %.2f of %d before",
			c.Box, during.Ratio(), during.Asked, before.Ratio(), before.Asked)
	}
}

// anyFault reports whether any fault but a crowd overlapped a time.
func (v *verifier) anyFault(from, to time.Time) bool {
	return slices.ContainsFunc(v.Faults, func(f Fault) bool { return f.Kind != FaultCrowd && f.Overlaps(from, to) })
}

// servedShare counts the requests that a box, or any if it is empty, read in a time. Requests refused
// for their key or quota don't count.
func (v *verifier) servedShare(box string, from, to time.Time) Share {
	var out Share
	for _, a := range v.Answers {
		counts := a.Status != 0 && a.Status != http.StatusTooManyRequests && a.Status != http.StatusUnauthorized
		if !counts || a.CallerLeft || a.Poison != "" || box != "" && a.Box != box || a.Begun.Before(from) || a.Begun.After(to) {
			continue
		}
		out.Add(a.Answered())
	}
	return out
}
