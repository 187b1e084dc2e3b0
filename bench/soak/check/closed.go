// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package check

import (
	"time"

	"runridge.example/runridge/platform/standin"
)

// Bounds of the platform's pages on what an endpoint gets from a box that it asked for a rest.
const (
	restHeard = 500 * time.Millisecond
	restMost  = 2
)

// told is an endpoint and the box that it answered.
type told struct{ endpoint, box string }

// closed judges what endpoints get from boxes that they told that they leave, or asked for a
// rest.
func (j *judge) closed() {
	arrivals := make(map[told][]standin.Arrival)
	for _, a := range j.Sight.Arrivals {
		if a.Fate != standin.Misdirected {
			key := told{endpoint: a.Endpoint, box: boxOf(a.ID)}
			arrivals[key] = append(arrivals[key], a)
		}
	}
	for key, of := range arrivals {
		for i, a := range of {
			if a.Ended.IsZero() {
				continue
			}
			if a.Leaving {
				j.afterLeaving(key, a, of[i+1:])
			}
			if a.Rest > 0 {
				j.duringRest(key, a, of[i+1:])
			}
		}
	}
}

// afterLeaving judges the arrivals after an answer that told that the endpoint leaves.
func (j *judge) afterLeaving(key told, answer standin.Arrival, later []standin.Arrival) {
	for _, a := range later {
		sent := a.At
		if asked := j.answers[a.ID]; asked != nil {
			sent = asked.Begun
		}
		late := sent.Sub(answer.Ended) - j.bounds.Leaving
		if late <= 0 || j.struck(key.box, "", answer.Ended, a.At) {
			continue
		}
		j.report.Note("said_it_leaves", false, "%s reached %s, sent %s after the bound of %s for its answer to %s",
			a.ID, key.endpoint, late, j.bounds.Leaving, answer.ID)
		return
	}
	j.report.Note("said_it_leaves", true, "")
}

// duringRest judges the arrivals in a rest that was asked for.
func (j *judge) duringRest(key told, answer standin.Arrival, later []standin.Arrival) {
	count := 0
	for _, a := range later {
		since := a.At.Sub(answer.Ended)
		if since >= restHeard && since < answer.Rest && !j.struck(key.box, "", answer.Ended, a.At) {
			count++
		}
	}
	j.report.Note("rest", count <= restMost, "%s got %d from %s in the rest of %s from %s on",
		key.endpoint, count, key.box, answer.Rest, answer.Ended.Format(clock))
}
