// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package notice

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

var three = pace.LimitOf(3)

// newKeeper returns a Keeper whose clock the test sets, and the changes of limits that it
// reports.
func newKeeper(now *time.Time) (k *Keeper, changes *[]schedule.EngineLimit) {
	changes = new([]schedule.EngineLimit)
	return New(Config{
		Log: log.Discard(), Now: func() time.Time { return *now },
		OnLimit: func(l schedule.EngineLimit) { *changes = append(*changes, l) },
	}), changes
}

func members(endpoints ...string) []table.Member {
	var out []table.Member
	for _, e := range endpoints {
		out = append(out, table.Member{Endpoint: table.Endpoint{Name: e}})
	}
	return out
}

func TestAnswers(t *testing.T) {
	cases := map[string]struct {
		answers []Answer
		names   bool
		changes int
	}{
		"one that names a limit":           {answers: []Answer{{Notice: pace.Notice{Limit: three}, Served: true}}, names: true, changes: 1},
		"another one":                      {answers: []Answer{{Notice: pace.Notice{Limit: three}, Served: true}, {Notice: pace.Notice{Limit: three}, Served: true}}, names: true, changes: 1},
		"another limit":                    {answers: []Answer{{Notice: pace.Notice{Limit: three}, Served: true}, {Notice: pace.Notice{Limit: pace.LimitOf(2)}}}, names: true, changes: 2},
		"one that rejects the request":     {answers: []Answer{{Notice: pace.Notice{Limit: three}}}, names: true, changes: 1},
		"one that names none":              {answers: []Answer{{Notice: pace.Notice{Limit: three}}, {Served: true}}, changes: 2},
		"none named, rejected":             {answers: []Answer{{Notice: pace.Notice{Limit: three}}, {}}, names: true, changes: 1},
		"none named where none was before": {answers: []Answer{{Served: true}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			k, changes := newKeeper(&now)
			for _, a := range c.answers {
				a.Endpoint = "e"
				k.Answered(a)
			}
			if k.Limited("e") != c.names || len(*changes) != c.changes {
				t.Errorf("names a limit: %v with %d changes, want %v with %d", k.Limited("e"), len(*changes), c.names, c.changes)
			}
		})
	}
}

func TestLaterReportCounts(t *testing.T) {
	now := time.Unix(10, 0)
	k, changes := newKeeper(&now)
	k.Answered(Answer{Endpoint: "e", Notice: pace.Notice{Limit: three}})
	now = now.Add(time.Second)
	k.Heard([]schedule.EngineLimit{{Engine: "e", Age: 2 * time.Second}})
	if !k.Limited("e") {
		t.Error("an older report ends a limit")
	}
	k.Heard([]schedule.EngineLimit{{Engine: "e", Age: 500 * time.Millisecond}, {Engine: "f", Limit: three, Age: time.Second}})
	if k.Limited("e") || !k.Limited("f") {
		t.Error("a newer report of a home is ignored")
	}
	if len(*changes) != 1 {
		t.Errorf("%d changes are reported, want that of the answer alone", len(*changes))
	}
}

// TestEachChangeOfALimitIsLogged lets a box learn a limit from a home and from an
// endpoint's answer, in either order.
func TestEachChangeOfALimitIsLogged(t *testing.T) {
	answered := func(k *Keeper, l pace.Limit) {
		k.Answered(Answer{Endpoint: "e", Notice: pace.Notice{Limit: l}, Served: true})
	}
	reported := func(k *Keeper, l pace.Limit) { k.Heard([]schedule.EngineLimit{{Engine: "e", Limit: l}}) }
	cases := map[string]struct {
		events []func(k *Keeper, l pace.Limit)
		want   []string
	}{
		"answered, then reported": {events: []func(*Keeper, pace.Limit){answered, reported}, want: []string{"endpoint_limit_told"}},
		"reported, then answered": {events: []func(*Keeper, pace.Limit){reported, answered}, want: []string{"endpoint_limit_heard"}},
		"reported twice":          {events: []func(*Keeper, pace.Limit){reported, reported}, want: []string{"endpoint_limit_heard"}},
		"answered twice":          {events: []func(*Keeper, pace.Limit){answered, answered}, want: []string{"endpoint_limit_told"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			logger, err := log.New(log.Config{Level: "info", Output: &out})
			if err != nil {
				t.Fatal(err)
			}
			now := time.Unix(1000, 0)
			k := New(Config{Log: logger, Now: func() time.Time { now = now.Add(time.Second); return now }})
			for _, event := range c.events {
				event(k, three)
			}
			if got := messages(out.String()); !slices.Equal(got, c.want) {
				t.Errorf("logged %v, want %v", got, c.want)
			}
		})
	}
}

// messages returns the event names in a log.
func messages(text string) []string {
	var out []string
	for line := range strings.Lines(text) {
		if _, rest, found := strings.Cut(line, "msg="); found {
			name, _, _ := strings.Cut(rest, " ")
			out = append(out, name)
		}
	}
	return out
}

// step is an answer, after some time has passed.
type step struct {
	notice pace.Notice
	born   int64
	// restarts is set if the endpoint's name doesn't distinguish its starts.
	restarts bool
	// after is the time that passes before the answer.
	after time.Duration
}

func TestEndpointsAreClosed(t *testing.T) {
	leaving, resting := pace.Notice{Leaving: true}, pace.Notice{Rest: 3 * time.Second}
	cases := map[string]struct {
		steps []step
		// after is the time since the last step, and born the start known by then.
		after time.Duration
		born  int64
		want  Availability
	}{
		"nothing said":                   {steps: []step{{}}},
		"leaves":                         {steps: []step{{notice: leaving}}, want: Availability{Leaving: true}},
		"leaves, a later answer is bare": {steps: []step{{notice: leaving}, {}}, after: time.Hour, want: Availability{Leaving: true}},
		"left, and started again":        {steps: []step{{notice: leaving, born: 1}}, born: 2},
		"may have started again":         {steps: []step{{notice: leaving, restarts: true}}, after: leavingTimeout},
		"has hardly started again":       {steps: []step{{notice: leaving, restarts: true}}, after: leavingTimeout - 1, want: Availability{Leaving: true}},
		"rests":                          {steps: []step{{notice: resting}}, after: time.Second, want: Availability{Rest: 2 * time.Second}},
		"has rested":                     {steps: []step{{notice: resting}}, after: 3 * time.Second},
		"rests, a later answer is bare":  {steps: []step{{notice: resting}, {after: time.Second}}, want: Availability{Rest: 2 * time.Second}},
		"asks for less while it rests":   {steps: []step{{notice: resting}, {notice: pace.Notice{Rest: time.Second}}}, want: Availability{Rest: 3 * time.Second}},
		"rests, and started again":       {steps: []step{{notice: resting, born: 1}}, born: 2},
		"rests, then leaves":             {steps: []step{{notice: resting}, {notice: leaving}}, want: Availability{Leaving: true, Rest: 3 * time.Second}},
		"wants more than can be stored":  {steps: []step{{notice: pace.Notice{Rest: 1 << 62}}}, want: Availability{Rest: maxRest}},
		"a limit beside":                 {steps: []step{{notice: pace.Notice{Leaving: true, Limit: three}}}, want: Availability{Leaving: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			k := New(Config{Log: log.Discard(), Now: func() time.Time { return now }, Born: func(string) int64 { return c.born }})
			for _, s := range c.steps {
				now = now.Add(s.after)
				k.Answered(Answer{Endpoint: "e", Born: s.born, Restarts: s.restarts, Notice: s.notice, Served: true})
			}
			now = now.Add(c.after)
			if got := k.Availability("e"); got != c.want {
				t.Errorf("stands at %+v, want %+v", got, c.want)
			}
			closed := k.Closed()
			if c.want.Open() != (len(closed) == 0) || len(closed) > 0 && closed[0] != (Closed{Endpoint: "e", Availability: c.want}) {
				t.Errorf("closed are %+v, want %+v", closed, c.want)
			}
			if k.Availability("other") != (Availability{}) {
				t.Error("another endpoint is closed")
			}
		})
	}
}

// TestClosedEndpointsAreKept lets more endpoints name limits than entries are kept.
func TestClosedEndpointsAreKept(t *testing.T) {
	now := time.Unix(0, 0)
	k, _ := newKeeper(&now)
	k.Answered(Answer{Endpoint: "leaves", Notice: pace.Notice{Leaving: true}})
	for i := range 2 * maxEntries {
		now = now.Add(time.Second)
		k.Answered(Answer{Endpoint: fmt.Sprintf("e%d", i), Notice: pace.Notice{Limit: three}})
	}
	if len(k.entries) != maxEntries || k.Availability("leaves").Open() {
		t.Errorf("%d are kept, the endpoint that leaves is open: %v", len(k.entries), k.Availability("leaves").Open())
	}
}

func TestEntriesAreBounded(t *testing.T) {
	now := time.Unix(0, 0)
	k, _ := newKeeper(&now)
	var all []string
	for i := range maxEntries + 1 {
		now = now.Add(time.Second)
		all = append(all, fmt.Sprintf("e%d", i))
		k.Answered(Answer{Endpoint: all[i], Notice: pace.Notice{Limit: three}})
	}
	if len(k.entries) != maxEntries || k.Limited(all[0]) || !k.Limited(all[1]) {
		t.Errorf("%d are kept, the oldest among them: %v", len(k.entries), k.Limited(all[0]))
	}
	group, sent := members(all[1:2*maxSentLimits+1]...), make(map[string]bool)
	for turn := range uint64(3 * maxSentLimits) {
		some := k.Limits(group, turn)
		if len(some) != maxSentLimits {
			t.Fatalf("%d go with a question, want %d", len(some), maxSentLimits)
		}
		for _, l := range some {
			sent[l.Engine] = true
		}
	}
	if len(sent) != len(group) {
		t.Errorf("%d of %d are sent over the turns", len(sent), len(group))
	}
	if got := k.Limits(members("e2", "other"), 0); len(got) != 1 || got[0].Age != now.Sub(time.Unix(3, 0)) {
		t.Errorf("limits sent for another group: %+v", got)
	}
}

func TestNoKeeper(t *testing.T) {
	var k *Keeper
	k.Answered(Answer{Endpoint: "e", Notice: pace.Notice{Limit: three}})
	k.Heard([]schedule.EngineLimit{{Engine: "e", Limit: three}})
	if k.Limited("e") || k.Limits(members("e"), 0) != nil || !k.Availability("e").Open() || k.Closed() != nil {
		t.Error("without a keeper a limit is kept")
	}
}
