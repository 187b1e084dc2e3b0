// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package timeline

import (
	"cmp"
	"slices"
	"strconv"

	"runridge.example/runridge/modules/log"
)

// Outcome counts the requests of one service that ended alike.
type Outcome struct {
	Service string
	// Cause is what kept the requests from being in time: one of the Cause
	// constants, or the outcome and its reason.
	Cause string
	Count int
}

// Causes of answers; the others are named by outcome and reason.
const (
	CauseInTime    = "in_time"
	CauseLateFirst = "first_event_late"
	CauseLateGap   = "gap_late"
	CauseFailed    = "endpoint_failed"
)

const (
	endEvent    = "request_ended"
	answered    = "answered"
	fieldEvent  = "msg"
	leastFailed = 500
)

// Outcomes counts how the requests in the lines ended, by service, the most
// frequent cause first.
func Outcomes(lines []Line) []Outcome {
	type key struct{ service, cause string }
	counts := make(map[key]int)
	for _, l := range lines {
		if l.Field(fieldEvent) == endEvent {
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

// causeOf names what kept a request from being in time.
func causeOf(l Line) string {
	if l.Field("outcome") != answered {
		return l.Field("outcome") + ":" + l.Field(log.FieldReason)
	}
	switch {
	case number(l, log.FieldReason) >= leastFailed:
		return CauseFailed
	case over(l, "first_ms", "target_ms"):
		return CauseLateFirst
	case over(l, "gap_ms", "gap_target_ms"):
		return CauseLateGap
	default:
		return CauseInTime
	}
}

// over says whether a time is over its target; a target of 0 is none.
func over(l Line, field, target string) bool {
	bound := number(l, target)
	return bound > 0 && number(l, field) > bound
}

// number reads a field; what is none counts as 0.
func number(l Line, field string) int {
	n, _ := strconv.Atoi(l.Field(field))
	return n
}
