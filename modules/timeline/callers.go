// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package timeline

import (
	"slices"
	"strings"
	"time"

	"runridge.example/runridge/modules/log"
)

// Callers is what the callers of one service got, counted from their first try.
type Callers struct {
	Service string
	// Target is the time in which an answer, or its first event, is in time.
	Target time.Duration
	// Asked are all requests that ended, returns included.
	Asked int
	// InTime and Late were served; LateBy is the median time over the target.
	InTime, Late int
	LateBy       time.Duration
	// RefusedAtOnce were refused within atOnce, RefusedWaiting after a wait, all
	// together WaitedInVain and the longest hundredth at least WaitedP99.
	RefusedAtOnce, RefusedWaiting int
	WaitedInVain, WaitedP99       time.Duration
	// ReturnedServed and ReturnedRefused are those among them that came back.
	ReturnedServed, ReturnedRefused int
	// Gone are callers who left, GoneRunning those for whom an endpoint had begun.
	Gone, GoneRunning int
	// Failed are all others.
	Failed int
	// Worth is the mean of what the callers got, 1 for each answer in time. Time
	// that was waited in vain costs as it goes on, up to a whole answer for each
	// target waited.
	Worth float64
}

const (
	// atOnce is how long a refusal may take that is not held: three questions to
	// homes in other zones, with some room.
	atOnce = 50 * time.Millisecond
	// lateValue is what a late answer is worth against one in time: 7.5 of 37,
	// the users' figures for language models.
	lateValue = 0.2
	// againCost is what a return costs that is refused again, by their figures.
	againCost = 0.3
)

// AccountOf sums up what the callers of each service got, in the order of the
// services' names. Requests that reached no service are left out.
func AccountOf(lines []Line) []Callers {
	sums := make(map[string]*callersSum)
	for _, l := range lines {
		service := l.Field("service")
		if l.Field(fieldEvent) != endEvent || service == "" {
			continue
		}
		if sums[service] == nil {
			sums[service] = &callersSum{Callers: Callers{Service: service}}
		}
		sums[service].add(l)
	}
	out := make([]Callers, 0, len(sums))
	for _, s := range sums {
		out = append(out, s.result())
	}
	slices.SortFunc(out, func(a, b Callers) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// callersSum is an account that is not complete yet.
type callersSum struct {
	Callers
	lateBy, waited []time.Duration
}

func (s *callersSum) add(l Line) {
	s.Asked++
	returned := number(l, "age_ms") > 0
	switch l.Field("outcome") {
	case answered:
		s.answered(l, returned)
	case "refused":
		s.refused(milliseconds(l, "ms"), returned)
	case "caller_gone":
		s.Gone++
		if number(l, "runs") > 0 {
			s.GoneRunning++
		}
	default:
		s.Failed++
	}
}

func (s *callersSum) answered(l Line, returned bool) {
	if number(l, log.FieldReason) >= leastFailed {
		s.Failed++
		return
	}
	if returned {
		s.ReturnedServed++
	}
	target := milliseconds(l, "target_ms")
	s.Target = max(s.Target, target)
	first := milliseconds(l, "age_ms") + milliseconds(l, "first_ms")
	if target > 0 && first > target || over(l, "gap_ms", "gap_target_ms") {
		s.Late++
		s.lateBy = append(s.lateBy, max(first-target, 0))
		return
	}
	s.InTime++
}

func (s *callersSum) refused(after time.Duration, returned bool) {
	if returned {
		s.ReturnedRefused++
	}
	if after <= atOnce {
		s.RefusedAtOnce++
		return
	}
	s.RefusedWaiting++
	s.WaitedInVain += after
	s.waited = append(s.waited, after)
}

func (s *callersSum) result() Callers {
	const half, most = 0.5, 0.99
	s.LateBy = quantile(s.lateBy, half)
	s.WaitedP99 = quantile(s.waited, most)
	s.Worth = s.worth()
	return s.Callers
}

func (s *callersSum) worth() float64 {
	sum := float64(s.InTime) + lateValue*float64(s.Late) - againCost*float64(s.ReturnedRefused)
	for _, waited := range s.waited {
		sum -= min(float64(waited)/float64(max(s.Target, 1)), 1)
	}
	return sum / float64(s.Asked)
}

// quantile is the smallest duration that so large a part of them does not
// exceed; 0 of none.
func quantile(durations []time.Duration, part float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[min(int(part*float64(len(durations))), len(durations)-1)]
}

// milliseconds reads a field that is a time in milliseconds.
func milliseconds(l Line, field string) time.Duration {
	return time.Duration(number(l, field)) * time.Millisecond
}
