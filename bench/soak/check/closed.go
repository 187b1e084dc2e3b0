// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package check

import (
	"time"

	"runridge.example/runridge/platform/standin"
)

// Bounds of the platform's specification on the requests that an endpoint gets from a box that
// it asked for a rest: how long the box has to react, and how many may still arrive after that.
const (
	restNoticeDelay = 500 * time.Millisecond
	maxRestArrivals = 2
)

// noticePair is an endpoint and a box that received its answer.
type noticePair struct{ endpoint, box string }

// checkClosed checks what endpoints get from boxes to which they announced in an answer that
// they leave, or that they want a rest.
func (v *verifier) checkClosed() {
	arrivals := make(map[noticePair][]standin.Arrival)
	for _, a := range v.Observed.Arrivals {
		if a.Fate != standin.Misdirected {
			key := noticePair{endpoint: a.Endpoint, box: boxOf(a.ID)}
			arrivals[key] = append(arrivals[key], a)
		}
	}
	for key, received := range arrivals {
		for i, a := range received {
			if a.Ended.IsZero() {
				continue
			}
			if a.Leaving {
				v.checkAfterLeaving(key, a, received[i+1:])
			}
			if a.Rest > 0 {
				v.checkDuringRest(key, a, received[i+1:])
			}
		}
	}
}

// checkAfterLeaving checks the arrivals after an answer that announced that the endpoint leaves.
func (v *verifier) checkAfterLeaving(key noticePair, answer standin.Arrival, later []standin.Arrival) {
	for _, a := range later {
		sent := a.At
		if request := v.answers[a.ID]; request != nil {
			sent = request.Begun
		}
		late := sent.Sub(answer.Ended) - v.bounds.Leaving
		if late <= 0 || v.faultOverlaps(key.box, "", answer.Ended, a.At) {
			continue
		}
		v.report.Count("said_it_leaves", false, "%s reached %s, sent %s after the bound of %s for its answer to %s",
			a.ID, key.endpoint, late, v.bounds.Leaving, answer.ID)
		return
	}
	v.report.Count("said_it_leaves", true, "")
}

// checkDuringRest checks the number of arrivals during a rest that an answer asked for.
func (v *verifier) checkDuringRest(key noticePair, answer standin.Arrival, later []standin.Arrival) {
	count := 0
	for _, a := range later {
		since := a.At.Sub(answer.Ended)
		if since >= restNoticeDelay && since < answer.Rest && !v.faultOverlaps(key.box, "", answer.Ended, a.At) {
			count++
		}
	}
	v.report.Count("rest", count <= maxRestArrivals, "%s got %d from %s in the rest of %s from %s on",
		key.endpoint, count, key.box, answer.Rest, answer.Ended.Format(TimeFormat))
}
