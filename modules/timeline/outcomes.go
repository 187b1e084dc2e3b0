// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package timeline

import (
	"cmp"
	"slices"
	"strconv"

	"runridge.example/runridge/modules/log"
)

// Outcome counts the requests of one service that ended in the same way.
type Outcome struct {
	Service string
	// Cause is why the requests were not in time: one of the Cause constants, or the
	// outcome and its reason.
	Cause string
	Count int
}

// Causes of answered requests; other requests have their outcome and reason as cause.
const (
	CauseInTime    = "in_time"
	CauseLateFirst = "first_event_late"
	CauseLateGap   = "gap_late"
	CauseFailed    = "endpoint_failed"
)

const (
	requestEndedEvent = "request_ended"
	outcomeAnswered   = "answered"
	fieldEvent        = "msg"
	minServerError    = 500
)

// Outcomes counts how the requests in the lines ended. It sorts by service and then by
// count, the most frequent cause first.
func Outcomes(lines []Line) []Outcome {
	type key struct{ service, cause string }
	counts := make(map[key]int)
	for _, l := range lines {
		if l.Field(fieldEvent) == requestEndedEvent {
			counts[key{service: l.Field("service"), cause: causeOf(l)}]++
		}
	}
	out := make([]Outcome, 0, len(counts))
	for k, n := range counts {
		out = append(out, Outcome{Service: k.service, Cause: k.cause, Count: n})
	}
	slices.SortFunc(out, func(a, b Outcome) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// causeOf returns why a request was not in time, or CauseInTime.
func causeOf(l Line) string {
	if l.Field("outcome") != outcomeAnswered {
		return l.Field("outcome") + ":" + l.Field(log.FieldReason)
	}
	switch {
	case intField(l, log.FieldReason) >= minServerError:
		return CauseFailed
	case exceeds(l, "first_ms", "target_ms"):
		return CauseLateFirst
	case exceeds(l, "gap_ms", "gap_target_ms"):
		return CauseLateGap
	default:
		return CauseInTime
	}
}

// exceeds reports whether a time exceeds its target; a target of 0 means that there is
// none.
func exceeds(l Line, field, target string) bool {
	bound := intField(l, target)
	return bound > 0 && intField(l, field) > bound
}

// intField reads an integer field; a missing or malformed one counts as 0.
func intField(l Line, field string) int {
	n, _ := strconv.Atoi(l.Field(field))
	return n
}
