// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package check

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform/standin"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// bounds returns bounds like those of the platform's specification.
func bounds() Bounds {
	return Bounds{
		Gone: 500 * time.Millisecond, Leaving: 3 * time.Second, Stable: 3 * time.Second, KeyWithdrawn: 5 * time.Second, KeyGiven: 3 * time.Second, ZoneDrained: 5 * time.Second,
		Answered: 500 * time.Millisecond, QuotaWindow: 8 * time.Second, QuotaOverage: 0.1, QuotaSlack: 20,
		RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 2, Lease: 3 * time.Second,
		ColdPace: 10, ColdOverage: 1.5, ColdSlack: 5,
		Contact: 3 * time.Second,
	}
}

// runArrival returns a run of a request that starts at a time in ms and takes 50 ms.
func runArrival(id string, from int) standin.Arrival {
	return standin.Arrival{
		ID: id, Endpoint: "plain1-1", Service: "plain", Zone: "zone-a", Step: standin.StepRun, Fate: standin.Ran,
		At: at(from), Ended: at(from + 50),
	}
}

// goodAnswer returns an answer, at 70 ms, to a request sent at 0 ms that breaks no promise.
func goodAnswer() Answer {
	return Answer{
		ID: id, Box: "box-1", Route: "unsafe", Key: "key", MaxRuns: 1, Status: http.StatusOK, Complete: true,
		Timeout: time.Second, Begun: at(0), Ended: at(70),
	}
}

// arrivals returns runs of count requests, 10 ms apart, each modified by change.
func arrivals(count int, change func(*standin.Arrival)) []standin.Arrival {
	var out []standin.Arrival
	for i := range count {
		a := runArrival(fmt.Sprintf("box-1.%d", i), i*10)
		change(&a)
		out = append(out, a)
	}
	return out
}

// poisonRecord returns a record of attempts of a poison request at times in ms, which all ran
// and got no answer.
func poisonRecord(times ...int) Record {
	var out Record
	for i, from := range times {
		a := runArrival(fmt.Sprintf("box-1.poison-%d", i), from)
		out.Observed.Arrivals = append(out.Observed.Arrivals, a)
		out.Answers = append(out.Answers, Answer{
			ID: a.ID, Box: "box-1", Route: "safe", Poison: "poison", MaxRuns: 2, Timeout: time.Second, Begun: a.At, Ended: a.Ended,
		})
	}
	return out
}

// withFault returns a record with a fault added.
func withFault(r Record, f Fault) Record {
	r.Faults = append(r.Faults, f)
	return r
}

const id = "box-1.1"

func TestJudge(t *testing.T) {
	with := func(change func(*Answer)) []Answer {
		a := goodAnswer()
		change(&a)
		return []Answer{a}
	}
	leftAt := func(ms int) []Answer {
		return with(func(a *Answer) { a.CallerLeft, a.Complete, a.Status, a.Ended = true, false, 0, at(ms) })
	}
	long := runArrival(id, 10)
	long.Ended = at(900)
	prefill := standin.Arrival{ID: id, Endpoint: "model1-1", Step: standin.StepPrefill, Fate: standin.Ran, At: at(1), Ended: at(9)}
	handle := standin.Handle{Name: "h", Endpoint: "model1-1", ID: id, Made: at(9), Ended: at(5009), End: standin.Expired}
	limited := func(a *standin.Arrival) { a.Account = "limited" }
	quota := []Quota{{Account: "limited", Rate: 10, Burst: 10, From: at(-1000)}}
	cold := func(a *standin.Arrival) { a.Cold = time.Second }
	order := func(holder string, fence uint64, ms int) standin.TakenOrder {
		return standin.TakenOrder{Endpoint: "model1-1", Holder: holder, Fence: fence, At: at(ms)}
	}
	cases := map[string]struct {
		record Record
		broken string
	}{
		"no violation":                        {Record{Answers: []Answer{goodAnswer()}, Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{prefill, runArrival(id, 10)}}}, ""},
		"a malformed head":                    {Record{Answers: with(func(a *Answer) { a.Malformed = "x" }), Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 10)}}}, "sound_head"},
		"another's answer":                    {Record{Answers: with(func(a *Answer) { a.Mismatch = "x" }), Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 10)}}}, "whole_own_answer"},
		"answered without a run":              {Record{Answers: []Answer{goodAnswer()}}, "answered_by_a_run"},
		"refused and ran":                     {Record{Answers: with(func(a *Answer) { a.Status = 503 }), Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 10)}}}, "not_run_is_true"},
		"refused by the endpoint that ran it": {Record{Answers: with(func(a *Answer) { a.Status, a.Signed = 503, true }), Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 10)}}}, "not_run_is_true"},
		"refused by the endpoint that ran it, may run twice": {Record{Answers: with(func(a *Answer) { a.Status, a.Signed, a.MaxRuns = 503, true, 2 }), Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 10)}}}, ""},
		"refused by the box and ran, may run twice":          {Record{Answers: with(func(a *Answer) { a.Status, a.MaxRuns = 503, 2 }), Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 10)}}}, "not_run_is_true"},
		"refused with a prompt read":                         {Record{Answers: with(func(a *Answer) { a.Status = 503 }), Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{prefill}}}, ""},
		"ran twice":                                          {Record{Answers: []Answer{goodAnswer()}, Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 10), runArrival(id, 20)}}}, "once_runs_once"},
		"ran three times":                                    {Record{Answers: with(func(a *Answer) { a.MaxRuns = 2 }), Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 10), runArrival(id, 20), runArrival(id, 30)}}}, "runs_bounded"},
		"late":                                               {Record{Answers: with(func(a *Answer) { a.Ended = at(1600) }), Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 10)}}}, "answered_in_time"},
		"work continues after caller":                        {Record{Answers: leftAt(300), Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{long}}}, "nothing_after_caller_left"},
		"ends soon after caller":                             {Record{Answers: leftAt(500), Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{long}}}, ""},
		"work continues during fault": {Record{
			Answers: leftAt(300), Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{long}},
			Faults: []Fault{{Boxes: []string{"box-1"}, From: at(0), To: at(400)}},
		}, ""},
		"handle left":              {Record{Answers: []Answer{goodAnswer()}, Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 10)}, Handles: []standin.Handle{handle}}}, "no_handle_left"},
		"handle answer in transit": {Record{Answers: leftAt(5), Observed: standin.LedgerSnapshot{Handles: []standin.Handle{handle}}}, ""},
		"two boxes, one fence":     {Record{Observed: standin.LedgerSnapshot{Orders: []standin.TakenOrder{order("a", 1, 0), order("b", 1, 9000)}}}, "one_orderer"},
		"boxes alternate":          {Record{Observed: standin.LedgerSnapshot{Orders: []standin.TakenOrder{order("a", 1, 0), order("b", 2, 100), order("a", 3, 2000)}}}, "one_orderer"},
		"boxes alternate slowly":   {Record{Observed: standin.LedgerSnapshot{Orders: []standin.TakenOrder{order("a", 1, 0), order("b", 2, 100), order("a", 3, 4000)}}}, ""},
		"quota kept":               {Record{Quotas: quota, Observed: standin.LedgerSnapshot{Arrivals: arrivals(119, limited)}}, ""},
		"quota granted twice":      {Record{Quotas: quota, Observed: standin.LedgerSnapshot{Arrivals: arrivals(120, limited)}}, "quota"},
		"cold pace kept":           {Record{Observed: standin.LedgerSnapshot{Arrivals: arrivals(20, cold)}}, ""},
		"cold pace exceeded":       {Record{Observed: standin.LedgerSnapshot{Arrivals: arrivals(21, cold)}}, "cold_pace"},
		"retries":                  {Record{Observed: standin.LedgerSnapshot{Arrivals: arrivals(4, func(a *standin.Arrival) { a.ID = id; a.Fate = standin.TurnedAway })}}, "retry_budget"},
		"leaving endpoint": {Record{
			Leaving: []Change{{Target: "plain1-1", At: at(0)}}, Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 3100)}},
		}, "leaving_gets_no_work"},
		"endpoint without entry": {Record{
			Leaving: []Change{{Target: "plain1-1", At: at(0), Removed: true}}, Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 3100)}},
			Faults: []Fault{{Store: true, From: at(-4000), To: at(-3100)}},
		}, "leaving_gets_no_work"},
		"endpoint without entry, which may have expired": {Record{
			Leaving: []Change{{Target: "plain1-1", At: at(0), Removed: true}}, Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 3100)}},
			Faults: []Fault{{Store: true, From: at(-3000), To: at(-1000)}},
		}, ""},
		"leaving endpoint, store unavailable": {Record{
			Leaving: []Change{{Target: "plain1-1", At: at(0)}}, Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 3100)}},
			Faults: []Fault{{Store: true, From: at(-100), To: at(300)}},
		}, ""},
		"leaving endpoint, store turns the box away": {Record{
			Leaving: []Change{{Target: "plain1-1", At: at(0)}}, Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 3100)}},
			Faults: []Fault{{TurnedAway: []string{"box-1"}, From: at(-100), To: at(300)}},
		}, ""},
		"leaving endpoint, store turns other boxes away": {Record{
			Leaving: []Change{{Target: "plain1-1", At: at(0)}}, Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 3100)}},
			Faults: []Fault{{TurnedAway: []string{"box-2"}, From: at(-100), To: at(300)}},
		}, "leaving_gets_no_work"},
		"zone drained late": {Record{
			Drained: []Change{{Target: "zone-a", At: at(0), RevertedAt: at(9000)}}, Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 5100)}},
		}, "drained_zone_gets_no_work"},
		"zone drain ended": {Record{
			Drained: []Change{{Target: "zone-a", At: at(0), RevertedAt: at(9000)}}, Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 9000)}},
		}, ""},
		"withdrawn key": {Record{
			Answers: []Answer{goodAnswer()}, WithdrawnKeys: []Change{{Target: "key", At: at(-5000)}}, Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 10)}},
		}, "withdrawn_key_gets_nothing"},
		"valid key refused": {Record{
			Answers: with(func(a *Answer) { a.Status = 401 }), IssuedKeys: []Change{{Target: "key", At: at(-9000)}},
		}, "valid_key_is_taken"},
		"new key refused": {Record{
			Answers: with(func(a *Answer) { a.Status = 401 }), IssuedKeys: []Change{{Target: "key", At: at(-1000)}},
		}, ""},
		"fixed key refused": {Record{Answers: with(func(a *Answer) { a.Status = 401 })}, "valid_key_is_taken"},
		"withdrawn key refused": {Record{
			Answers: with(func(a *Answer) { a.Status = 401 }), WithdrawnKeys: []Change{{Target: "key", At: at(-1000)}},
		}, ""},
		"poison rejected in time":          {poisonRecord(0, 100, 200, 300, 1000, 2000, 3200), ""},
		"poison arrives three times":       {poisonRecord(0, 100, 200, 3300, 4000, 5000), ""},
		"poison arrives four times":        {poisonRecord(0, 100, 200, 3300, 4000, 5000, 6000), "poison_contained"},
		"poison at a box that was cut off": {withFault(poisonRecord(0, 100, 200, 3300, 4000, 5000, 6000), Fault{Boxes: []string{"box-1"}, From: at(3000), To: at(4000)}), ""},
		"other request refused as poison":  {Record{Answers: with(func(a *Answer) { a.Status, a.RefusedAsPoison = 503, true })}, "poison_spares_others"},
		"poison refused as poison":         {Record{Answers: with(func(a *Answer) { a.Status, a.RefusedAsPoison, a.Poison = 503, true, "poison" })}, ""},
		"another region": {Record{
			Answers: []Answer{goodAnswer()}, Allowed: map[string][]string{"unsafe": {"zone-b"}}, Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{runArrival(id, 10)}},
		}, "allowed_regions"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				var report Report
				c.record.Ended = at(10_000)
				Verify(c.record, bounds(), &report)
				convey.So(report.Violations(), convey.ShouldEqual, report.Broken(c.broken))
				if c.broken != "" {
					convey.So(report.Broken(c.broken), convey.ShouldBeGreaterThan, 0)
				}
			})
		})
	}
}

// closedRecord returns an answer of an endpoint that ends at 50 ms, modified by change, and later
// requests of the same box to that endpoint, at times in ms.
func closedRecord(change func(a *standin.Arrival), later ...int) Record {
	first := runArrival("box-1.0", 0)
	change(&first)
	out := Record{Observed: standin.LedgerSnapshot{Arrivals: []standin.Arrival{first}}}
	for i, ms := range later {
		out.Observed.Arrivals = append(out.Observed.Arrivals, runArrival(fmt.Sprintf("box-1.%d", i+1), ms))
	}
	return out
}

func TestClosedEndpoints(t *testing.T) {
	leaves := func(a *standin.Arrival) { a.Leaving = true }
	rests := func(a *standin.Arrival) { a.Fate, a.Rest = standin.TurnedAway, 2*time.Second }
	cases := map[string]struct {
		record Record
		broken string
	}{
		"leaves, requests within bound": {record: closedRecord(leaves, 100, 3000)},
		"leaves, request after bound":   {record: closedRecord(leaves, 100, 3100), broken: "said_it_leaves"},
		"leaves, fault at the box":      {record: withFault(closedRecord(leaves, 3100), Fault{Boxes: []string{"box-1"}, From: at(1000), To: at(1500)})},
		"leaves, sent in time": {record: func() Record {
			r := closedRecord(leaves, 3100)
			r.Answers = []Answer{{ID: "box-1.1", Box: "box-1", Begun: at(3000), Ended: at(3200), Status: 200, Complete: true, MaxRuns: 1, Timeout: 5 * time.Second}}
			return r
		}()},
		"leaves, another box sends": {record: func() Record { r := closedRecord(leaves, 3100); r.Observed.Arrivals[1].ID = "box-2.1"; return r }()},
		"rests, requests in flight": {record: closedRecord(rests, 60, 100, 300, 540)},
		"rests, two requests":       {record: closedRecord(rests, 600, 700)},
		"rests, three requests":     {record: closedRecord(rests, 600, 700, 2000), broken: "rest"},
		"rest has ended":            {record: closedRecord(rests, 600, 700, 2060)},
		"rests, fault at the box":   {record: withFault(closedRecord(rests, 600, 700, 2000), Fault{Boxes: []string{"box-1"}, From: at(500), To: at(550)})},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var report Report
			c.record.Ended = at(60_000)
			Verify(c.record, bounds(), &report)
			for _, check := range []string{"said_it_leaves", "rest"} {
				if broken := report.Broken(check) > 0; broken != (check == c.broken) {
					t.Errorf("%s broken: %v, want %q alone", check, broken, c.broken)
				}
			}
		})
	}
}

// limitRecord returns runs of count requests of a box, 40 ms apart, at an endpoint that names a limit.
func limitRecord(count int, limit float64) Record {
	return Record{Ended: at(60_000), Observed: standin.LedgerSnapshot{Arrivals: arrivals(count, func(a *standin.Arrival) {
		a.At = start.Add(4 * a.At.Sub(start))
		a.Ended, a.Limit = a.At.Add(5*time.Millisecond), limit
	})}}
}

func TestNamedLimits(t *testing.T) {
	cases := map[string]struct {
		record Record
		broken bool
	}{
		"far more than the limit":   {record: limitRecord(250, 2), broken: true},
		"as many as it allows":      {record: limitRecord(250, 16)},
		"before boxes have to know": {record: limitRecord(75, 2)},
		"no limit":                  {record: limitRecord(250, 0)},
		"fault at the box": {record: func() Record {
			r := limitRecord(250, 2)
			r.Faults = []Fault{{Boxes: []string{"box-1"}, From: at(0), To: at(9000)}}
			return r
		}()},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var report Report
			Verify(c.record, bounds(), &report)
			if broken := report.Broken("named_limit") > 0; broken != c.broken {
				t.Errorf("broken: %v, want %v", broken, c.broken)
			}
		})
	}
}
