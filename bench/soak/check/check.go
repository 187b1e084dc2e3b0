// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package check

import (
	"slices"
	"time"

	"runridge.example/runridge/platform/standin"
)

// Answer is what one caller saw of one request.
type Answer struct {
	ID, Box, Route, Key string
	// MaxRuns is how often its route lets it run.
	MaxRuns int
	Status  int
	// Whole says that the answer came to the end that its framing asks for, and
	// Wrong what is wrong with it; empty is nothing.
	Whole bool
	Wrong string
	// Timeout is how long its route lets it take.
	Timeout      time.Duration
	Begun, Ended time.Time
	// Left says that the caller gave up at Ended.
	Left bool
	// Poison names the poison request that this is one try of; empty is none.
	Poison string
	// TakenForPoison says that its box refused it as a poison request.
	TakenForPoison bool
}

// Fault is one fault as it was brought about.
type Fault struct {
	Kind  string
	Boxes []string
	Place string
	Store bool
	// Machine says that the machine itself stood still, and with it every process.
	Machine  bool
	From, To time.Time
}

// Change is an act of the operator that has to be in force within a bound.
type Change struct {
	// What is the key, zone or endpoint that gets nothing more.
	What string
	At   time.Time
	// Undone is when it was taken back; zero is never.
	Undone time.Time
}

// Quota is what an account may use from a time on.
type Quota struct {
	Account     string
	Rate, Burst float64
	From        time.Time
}

// Bounds are those of the platform's pages.
type Bounds struct {
	Gone, Leaving, KeyWithdrawn, KeyGiven, ZoneDrained, Answered time.Duration
	QuotaWindow                                                  time.Duration
	QuotaOverage, QuotaSlack                                     float64
	RetryWindow                                                  time.Duration
	RetryRatio, RetrySlack                                       float64
	Lease                                                        time.Duration
	// Contact is within what time boxes know of each other what they have to know.
	Contact                          time.Duration
	ColdPace, ColdOverage, ColdSlack float64
}

// Record is what there is to judge of a run.
type Record struct {
	Answers []Answer
	Sight   standin.Sight
	Faults  []Fault
	// Keys, Leaving and Drained are what was withdrawn, left and drained, and Given
	// the keys that were given out while callers came.
	Keys, Leaving, Drained, Given []Change
	Quotas                        []Quota
	// Allowed are the zones that may serve a route or an account; those that are not
	// named may be served anywhere.
	Allowed map[string][]string
	Ended   time.Time
}

// judge is one judgement under way.
type judge struct {
	Record
	bounds  Bounds
	report  *Report
	byID    map[string][]int
	answers map[string]*Answer
}

// Judge compares what callers saw with what endpoints saw.
func Judge(r Record, b Bounds, report *Report) {
	j := &judge{Record: r, bounds: b, report: report, byID: make(map[string][]int), answers: make(map[string]*Answer)}
	slices.SortStableFunc(j.Sight.Arrivals, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	for i, a := range j.Sight.Arrivals {
		j.byID[a.ID] = append(j.byID[a.ID], i)
	}
	for i := range j.Answers {
		j.answers[j.Answers[i].ID] = &j.Answers[i]
		j.answer(&j.Answers[i])
	}
	j.handles()
	j.orders()
	j.quotas()
	j.retries()
	j.poison()
	j.changes()
	j.regions()
	j.cold()
	j.limits()
	j.closed()
}

// PlaceOf is the place of an endpoint: its id without the number of its start.
func PlaceOf(endpoint string) string {
	for i := len(endpoint) - 1; i > 0; i-- {
		if endpoint[i] == '-' {
			return endpoint[:i]
		}
	}
	return endpoint
}

// Aftermath is how long after a fault its effects are still put down to it: beliefs
// and connections of the time before are given up within it.
const Aftermath = 2 * time.Second

// struck says whether a fault touched a box or a place in a span of time.
func (j *judge) struck(box, place string, from, to time.Time) bool {
	return slices.ContainsFunc(j.Faults, func(f Fault) bool {
		touches := f.Machine || slices.Contains(f.Boxes, box) || (place != "" && f.Place == place)
		return touches && f.From.Before(to) && f.To.Add(Aftermath).After(from)
	})
}

// Stalled says whether the machine stood still at some moment of a span.
func (r *Record) Stalled(from, to time.Time) bool {
	return slices.ContainsFunc(r.Faults, func(f Fault) bool { return f.Machine && f.From.Before(to) && f.To.After(from) })
}

// HeardSince is from when on a box could have known of what was accepted at a time:
// the end of the faults that kept it, and the store, from others. It reports false
// if one lasts at the time of asking.
func (r *Record) HeardSince(box string, accepted, asked time.Time) (time.Time, bool) {
	for again := true; again; {
		again = false
		for _, f := range r.Faults {
			keeps := f.Store || f.Machine || slices.Contains(f.Boxes, box)
			if !keeps || f.From.After(asked) || !f.To.After(accepted) {
				continue
			}
			if f.To.After(asked) {
				return accepted, false
			}
			accepted, again = f.To, true
		}
	}
	return accepted, true
}
