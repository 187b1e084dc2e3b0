// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package timeline

import (
	"slices"
	"strings"
	"time"

	"runridge.example/runridge/modules/log"
)

// CallerSummary summarizes what the callers of one service experienced, with times counted from
// their first try.
type CallerSummary struct {
	Service string
	// Target is the time within which an answer, or its first event, is in time.
	Target time.Duration
	// Asked counts all requests that ended, including repeated ones.
	Asked int
	// InTime and Late count the served requests; LateBy is the median time over the target.
	InTime, Late int
	LateBy       time.Duration
	// RefusedAtOnce counts refusals within immediateLimit, and RefusedWaiting those after a
	// longer wait. WaitedInVain is the sum of these longer waits, and WaitedP99 their 99th
	// percentile.
	RefusedAtOnce, RefusedWaiting int
	WaitedInVain, WaitedP99       time.Duration
	// ReturnedServed and ReturnedRefused count the served and refused requests that were
	// repeats of earlier ones.
	ReturnedServed, ReturnedRefused int
	// Gone counts callers that disconnected, and GoneRunning those for which an endpoint
	// had already started.
	Gone, GoneRunning int
	// Failed counts all other requests.
	Failed int
	// Worth is the mean value of the outcomes, 1 for each answer in time. Waiting for a
	// request that is refused in the end costs in proportion to the wait, up to one whole
	// answer for a wait of one target or more.
	Worth float64
}

const (
	// immediateLimit is the maximum duration of a refusal that was not queued: three round
	// trips to homes in other zones, with a margin.
	immediateLimit = 50 * time.Millisecond
	// lateValue is the value of a late answer relative to one in time: 7.5 of 37, the
	// users' figures for language models.
	lateValue = 0.2
	// repeatRefusalCost is the cost of a repeated request that is refused again, also by
	// the users' figures.
	repeatRefusalCost = 0.3
)

// SummarizeCallers summarizes what the callers of each service experienced, sorted by service
// name. Requests that reached no service are left out.
func SummarizeCallers(lines []Line) []CallerSummary {
	sums := make(map[string]*callerTotals)
	for _, l := range lines {
		service := l.Field("service")
		if l.Field(fieldEvent) != requestEndedEvent || service == "" {
			continue
		}
		if sums[service] == nil {
			sums[service] = &callerTotals{CallerSummary: CallerSummary{Service: service}}
		}
		sums[service].add(l)
	}
	out := make([]CallerSummary, 0, len(sums))
	for _, s := range sums {
		out = append(out, s.result())
	}
	slices.SortFunc(out, func(a, b CallerSummary) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// callerTotals accumulates the figures of one service.
type callerTotals struct {
	CallerSummary
	lateBy, waited []time.Duration
}

func (s *callerTotals) add(l Line) {
	s.Asked++
	returned := intField(l, "age_ms") > 0
	switch l.Field("outcome") {
	case outcomeAnswered:
		s.answered(l, returned)
	case "refused":
		s.refused(durationField(l, "ms"), returned)
	case "caller_gone":
		s.Gone++
		if intField(l, "runs") > 0 {
			s.GoneRunning++
		}
	default:
		s.Failed++
	}
}

func (s *callerTotals) answered(l Line, returned bool) {
	if intField(l, log.FieldReason) >= minServerError {
		s.Failed++
		return
	}
	if returned {
		s.ReturnedServed++
	}
	target := durationField(l, "target_ms")
	s.Target = max(s.Target, target)
	first := durationField(l, "age_ms") + durationField(l, "first_ms")
	if target > 0 && first > target || exceeds(l, "gap_ms", "gap_target_ms") {
		s.Late++
		s.lateBy = append(s.lateBy, max(first-target, 0))
		return
	}
	s.InTime++
}

func (s *callerTotals) refused(after time.Duration, returned bool) {
	if returned {
		s.ReturnedRefused++
	}
	if after <= immediateLimit {
		s.RefusedAtOnce++
		return
	}
	s.RefusedWaiting++
	s.WaitedInVain += after
	s.waited = append(s.waited, after)
}

func (s *callerTotals) result() CallerSummary {
	const half, most = 0.5, 0.99
	s.LateBy = quantile(s.lateBy, half)
	s.WaitedP99 = quantile(s.waited, most)
	s.Worth = s.worth()
	return s.CallerSummary
}

func (s *callerTotals) worth() float64 {
	sum := float64(s.InTime) + lateValue*float64(s.Late) - repeatRefusalCost*float64(s.ReturnedRefused)
	for _, waited := range s.waited {
		sum -= min(float64(waited)/float64(max(s.Target, 1)), 1)
	}
	return sum / float64(s.Asked)
}

// quantile returns the value at a fraction of the sorted durations, or 0 if there are none.
// It sorts the slice in place.
func quantile(durations []time.Duration, part float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[min(int(part*float64(len(durations))), len(durations)-1)]
}

// durationField reads a field in milliseconds; a missing or malformed one counts as 0.
func durationField(l Line, field string) time.Duration {
	return time.Duration(intField(l, field)) * time.Millisecond
}
