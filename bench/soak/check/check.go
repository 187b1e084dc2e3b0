// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package check

import (
	"net/http"
	"slices"
	"time"

	"runridge.example/runridge/platform/standin"
)

// Answer records the outcome of one request as its caller saw it.
type Answer struct {
	ID, Box, Route, Key string
	// MaxRuns is how many times its route allows the request to run.
	MaxRuns int
	Status  int
	// Complete is true if the answer was complete according to its framing. Mismatch
	// describes what is wrong with its content, or is empty.
	Complete bool
	Mismatch string
	// Malformed describes what is malformed in its head, or in the chunks of its body, or is empty.
	Malformed string
	// Signed is true if the answer has an endpoint's signature.
	Signed bool
	// Timeout is the time limit that its route sets for the request.
	Timeout      time.Duration
	Begun, Ended time.Time
	// CallerLeft is true if the caller gave up, at Ended.
	CallerLeft bool
	// Poison names the poison request that this is one attempt of, or is empty.
	Poison string
	// RefusedAsPoison is true if the box refused it as a poison request.
	RefusedAsPoison bool
}

// Answered reports whether the caller got a complete answer of an endpoint.
func (a Answer) Answered() bool { return a.Status == http.StatusOK && a.Complete }

// Fault is one fault as it was injected.
type Fault struct {
	Kind  string
	Boxes []string
	Place string
	Store bool
	// TurnedAway holds the boxes that the store turns away while it serves others.
	TurnedAway []string
	// Unlinked holds the boxes that lose their links to all endpoints.
	Unlinked []string
	// Machine is true if the whole machine stalled, and with it every process.
	Machine  bool
	From, To time.Time
}

// Overlaps reports whether the fault, or its aftermath, lasted at some moment between two times.
func (f Fault) Overlaps(from, to time.Time) bool {
	return f.From.Before(to) && f.To.Add(EffectTime).After(from)
}

// Change is an operator action that must take effect within a bound.
type Change struct {
	// Target is the key, zone or endpoint that must receive no more requests.
	Target string
	At     time.Time
	// RevertedAt is when the action was reverted; zero if it never was.
	RevertedAt time.Time
	// Removed is set for an endpoint that left without a word: its entry was removed.
	Removed bool
}

// Quota is the quota of an account from a time on.
type Quota struct {
	Account     string
	Rate, Burst float64
	From        time.Time
}

// Bounds holds the limits and deadlines that the platform's specification sets.
type Bounds struct {
	Gone, Leaving, KeyWithdrawn, KeyGiven, ZoneDrained, Answered time.Duration
	QuotaWindow                                                  time.Duration
	QuotaOverage, QuotaSlack                                     float64
	RetryWindow                                                  time.Duration
	RetryRatio, RetrySlack                                       float64
	Lease                                                        time.Duration
	// Contact is the time within which boxes must learn from each other what they need.
	Contact time.Duration
	// Stable is how long the store has to be without fault to count as stable.
	Stable                           time.Duration
	ColdPace, ColdOverage, ColdSlack float64
}

// Record holds everything observed during a run.
type Record struct {
	Answers  []Answer
	Observed standin.LedgerSnapshot
	Faults   []Fault
	// WithdrawnKeys are the withdrawn keys, Leaving the endpoints that left, Drained the drained
	// zones, and IssuedKeys the keys that were issued while callers were sending.
	WithdrawnKeys, Leaving, Drained, IssuedKeys []Change
	Quotas                                      []Quota
	// Allowed lists the zones that may serve a route or an account, by its name. A route
	// or account without an entry may be served in any zone.
	Allowed map[string][]string
	// Streams are those that callers take up, and Serving the times in which engines of a software
	// version served.
	Streams []Stream
	Serving []Serving
	Crowds  []Crowd
	// Overloads are the times in which boxes limited their requests.
	Overloads []Overload
	Ended     time.Time
}

// verifier checks one record.
type verifier struct {
	Record
	bounds  Bounds
	report  *Report
	byID    map[string][]int
	answers map[string]*Answer
}

// Verify checks a record against every promise, by comparing what callers saw with what
// endpoints saw, and counts the trials and violations in the report.
func Verify(r Record, b Bounds, report *Report) {
	v := &verifier{Record: r, bounds: b, report: report, byID: make(map[string][]int), answers: make(map[string]*Answer)}
	slices.SortStableFunc(v.Observed.Arrivals, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	for i, a := range v.Observed.Arrivals {
		v.byID[a.ID] = append(v.byID[a.ID], i)
	}
	for i := range v.Answers {
		v.answers[v.Answers[i].ID] = &v.Answers[i]
		v.checkAnswer(&v.Answers[i])
	}
	v.checkPrefillResults()
	v.checkOrders()
	v.checkQuotas()
	v.checkRetries()
	v.checkPoison()
	v.checkChanges()
	v.checkRegions()
	v.checkColdPace()
	v.checkLimits()
	v.checkClosed()
	v.checkStreams()
	v.checkCrowds()
}

// EndpointPlace returns the place of an endpoint: its id without the trailing start number.
func EndpointPlace(endpoint string) string {
	for i := len(endpoint) - 1; i > 0; i-- {
		if endpoint[i] == '-' {
			return endpoint[:i]
		}
	}
	return endpoint
}

// EffectTime is how long after the end of a fault its effects are still attributed to it.
// Within this time boxes discard state and connections from before the end.
const EffectTime = 2 * time.Second

// faultOverlaps reports whether a fault, or its aftermath, affected a box or a place
// between two times. Boxes that lost their links to endpoints count if a place is given.
func (v *verifier) faultOverlaps(box, place string, from, to time.Time) bool {
	return slices.ContainsFunc(v.Faults, func(f Fault) bool {
		affects := f.Machine || slices.Contains(f.Boxes, box) || (place != "" && (f.Place == place || slices.Contains(f.Unlinked, box)))
		return affects && f.Overlaps(from, to)
	})
}

// Stalled reports whether the machine stalled at some moment between two times.
func (r *Record) Stalled(from, to time.Time) bool {
	return slices.ContainsFunc(r.Faults, func(f Fault) bool { return f.Machine && f.From.Before(to) && f.To.After(from) })
}

// ReachableSince returns the time from which on a box could have known of a change that was
// accepted at a given time: the end of the last fault that affected the box, the store or the
// whole machine. It returns false if such a fault still lasts at the time asked.
func (r *Record) ReachableSince(box string, accepted, asked time.Time) (time.Time, bool) {
	for extended := true; extended; {
		extended = false
		for _, f := range r.Faults {
			blocks := f.Store || f.Machine || slices.Contains(f.Boxes, box) || slices.Contains(f.TurnedAway, box)
			if !blocks || f.From.After(asked) || !f.To.After(accepted) {
				continue
			}
			if f.To.After(asked) {
				return accepted, false
			}
			accepted, extended = f.To, true
		}
	}
	return accepted, true
}
