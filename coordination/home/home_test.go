// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package home

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/example"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// discardAnswers discards decisions and checks; this box is home of every group.
type discardAnswers struct{}

func (discardAnswers) Answer(string, string, schedule.Decision)                    {}
func (discardAnswers) CheckAttempts(string, string, string, []lifecycle.AttemptID) {}
func (discardAnswers) HomeOf(string) string                                        { return "self" }

func TestLostProcesses(t *testing.T) {
	cases := map[string]struct {
		lost LostProcesses
		want int
	}{
		"the box is dead":             {lost: LostProcesses{Dead: []string{"b"}}, want: 0},
		"it restarted":                {lost: LostProcesses{Starts: map[string]uint64{"b": 8}}, want: 0},
		"the same process still runs": {lost: LostProcesses{Starts: map[string]uint64{"b": 7}}, want: 1},
		"its start is not known yet":  {lost: LostProcesses{Starts: map[string]uint64{"b": 0}}, want: 1},
		"another box restarted":       {lost: LostProcesses{Starts: map[string]uint64{"c": 8}}, want: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				table, _ := example.Table(example.Bogota)
				h := New(Config{Self: "self", Answers: discardAnswers{}, Log: log.Discard()})
				h.configure(group.New(table.WithGeneration(1), directory.Directory{}))
				group := table.Groups()[0].Key
				id := lifecycle.AttemptID{Request: lifecycle.RequestID{Box: "b", Incarnation: 7, Sequence: 1}, Number: 1}
				h.handle(Command{From: "b", Group: group, Body: schedule.Ask{ID: id, Box: "b", PromptTokens: 100, OutputTokens: 10}})
				convey.So(h.groups[group].Granted(), convey.ShouldEqual, 1)
				h.LiveChanged(c.lost)
				h.releaseLost()
				convey.So(h.groups[group].Granted(), convey.ShouldEqual, c.want)
			})
		})
	}
}

// TestGroupsBeforeQuestions checks that groups which were set before a question arrived are
// in force when it is answered. The run loop's select picks at random and could otherwise
// handle the question first.
func TestGroupsBeforeQuestions(t *testing.T) {
	routed := table.Table{Generation: 1, Services: []table.Service{{Name: "s", Kind: table.KindRouted}}}
	none := directory.Directory{}.WithList(time.Now(), 5, nil)
	for range 40 {
		synctest.Test(t, func(t *testing.T) {
			var decisions []schedule.Decision
			h := New(Config{Self: "self", Answers: recordingAnswers{decisions: &decisions}, Log: log.Discard()})
			h.configure(group.New(routed, none))
			h.SetGroups(group.New(routed, none.WithChanges(time.Now(), 6, []directory.Change{{Entry: directory.Entry{ID: "e", Service: "s", Slots: 4}}})))
			id := lifecycle.AttemptID{Request: lifecycle.RequestID{Box: "b", Incarnation: 7, Sequence: 1}, Number: 1}
			h.Offer(Command{From: "b", Group: "s", Body: schedule.Ask{ID: id, Box: "b"}})
			ctx, end := context.WithCancel(t.Context())
			go func() { _ = h.Run(ctx) }()
			synctest.Wait()
			end()
			synctest.Wait()
			if _, granted := decisions[0].(schedule.Grant); !granted {
				t.Errorf("the first decision is %+v", decisions[0])
			}
		})
	}
}

// foreignHome names another box as the home of every group.
type foreignHome struct{ discardAnswers }

func (foreignHome) HomeOf(string) string { return "other" }

// TestGroupsInUseAreKept checks that a box which is no longer home of a group by its
// own view keeps the group's grants while other boxes still ask here.
func TestGroupsInUseAreKept(t *testing.T) {
	convey.Convey("A group that moved away is kept until nothing is granted or waits", t, func() {
		sample, _ := example.Table(example.Bogota)
		h := New(Config{Self: "self", Answers: foreignHome{}, Log: log.Discard()})
		h.configure(group.New(sample.WithGeneration(1), directory.Directory{}))
		key := sample.Groups()[0].Key
		id := lifecycle.AttemptID{Request: lifecycle.RequestID{Box: "b", Incarnation: 7, Sequence: 1}, Number: 1}
		h.handle(Command{From: "b", Group: key, Body: schedule.Ask{ID: id, Box: "b", PromptTokens: 100, OutputTokens: 10}})
		h.LiveChanged(LostProcesses{})
		h.releaseLost()
		now := time.Now()
		h.retire(now.Add(time.Hour))
		convey.So(h.groups, convey.ShouldContainKey, key)
		convey.So(h.groups[key].Granted(), convey.ShouldEqual, 1)

		h.handle(Command{From: "b", Group: key, Body: Withdrawn{ID: id}})
		h.retire(now.Add(time.Hour + retireAfter - time.Millisecond))
		convey.So(h.groups, convey.ShouldContainKey, key)
		h.retire(now.Add(time.Hour + retireAfter))
		convey.So(h.groups, convey.ShouldNotContainKey, key)
	})
}

// planningStages enables the planning of stages and discards the changes.
type planningStages struct{}

func (planningStages) Part() (float64, bool)           { return 0.5, true }
func (planningStages) Offer(StageChanges) ring.Outcome { return ring.Accepted }

func TestOnlyTheHomePlansStages(t *testing.T) {
	cases := map[string]struct {
		answers Answerer
		plans   int
	}{
		"the group's home":   {answers: discardAnswers{}, plans: 1},
		"no longer its home": {answers: foreignHome{}, plans: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sample, _ := example.Table(example.Bogota)
			for i := range sample.Services {
				sample.Services[i].Engine = &table.EngineLimits{SwitchMS: 1000}
			}
			h := New(Config{Self: "self", Answers: c.answers, Stages: planningStages{}, Log: log.Discard()})
			h.configure(group.New(sample.WithGeneration(1), directory.Directory{}))
			id := lifecycle.AttemptID{Request: lifecycle.RequestID{Box: "b", Incarnation: 7, Sequence: 1}, Number: 1}
			h.handle(Command{From: "b", Group: sample.Groups()[0].Key, Body: schedule.Ask{ID: id, Box: "b", PromptTokens: 100, OutputTokens: 10}})
			h.planStages(time.Now())
			if n := len(h.Plans()); n != c.plans {
				t.Errorf("%d groups are planned, want %d", n, c.plans)
			}
		})
	}
}

// recordingAnswers records the decisions of a home.
type recordingAnswers struct {
	discardAnswers
	decisions *[]schedule.Decision
}

func (d recordingAnswers) Answer(_, _ string, said schedule.Decision) {
	*d.decisions = append(*d.decisions, said)
}

func TestAsksBeforeTheEndpointsAreKnown(t *testing.T) {
	routed := table.Table{Generation: 1, Services: []table.Service{{Name: "s", Kind: table.KindRouted}, {Name: "o", Kind: table.KindRouted}}}
	listed := func(service string) directory.Directory {
		return directory.Directory{}.WithList(time.Now(), 5, []directory.Entry{{ID: "e", Service: service, Slots: 4}})
	}
	cases := map[string]struct {
		known directory.Directory
		// want is the reason of the refusal; empty means a grant.
		want lifecycle.Reason
	}{
		"no endpoint has ever been known": {want: lifecycle.ReasonHomeMoved},
		"the service has none":            {known: listed("o"), want: lifecycle.ReasonNoEngine},
		"the service has one":             {known: listed("s")},
		"its zone is drained":             {known: listed("s").WithDrained(time.Now(), map[string]bool{"": true}), want: lifecycle.ReasonNoEngine},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				var decisions []schedule.Decision
				h := New(Config{Self: "self", Answers: recordingAnswers{decisions: &decisions}, Log: log.Discard()})
				h.configure(group.New(routed, c.known))
				id := lifecycle.AttemptID{Request: lifecycle.RequestID{Box: "b", Incarnation: 7, Sequence: 1}, Number: 1}
				h.handle(Command{From: "b", Group: "s", Body: schedule.Ask{ID: id, Box: "b"}})
				convey.So(decisions, convey.ShouldHaveLength, 1)
				refusal, _ := decisions[0].(schedule.Refusal)
				convey.So(refusal.Reason, convey.ShouldEqual, c.want)
			})
		})
	}
}

// countingAnswers counts the attempts that boxes are asked about, by group.
type countingAnswers struct {
	discardAnswers
	asked map[string]int
}

func (c countingAnswers) CheckAttempts(_, group, _ string, ids []lifecycle.AttemptID) {
	c.asked[group] += len(ids)
}

func TestOldGrantsAreChecked(t *testing.T) {
	cases := map[string]struct {
		plain bool
		after time.Duration
		want  int
	}{
		"a recent plain request":          {plain: true, after: oldPlain / 2},
		"a plain request of a second ago": {plain: true, after: oldPlain, want: 1},
		"a model request of a second ago": {after: oldPlain},
		"an old model request":            {after: oldGrant, want: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sample, _ := example.Table(example.Bogota)
				asked := make(map[string]int)
				h := New(Config{Self: "self", Answers: countingAnswers{asked: asked}, Log: log.Discard()})
				h.configure(group.New(sample.WithGeneration(1), directory.Directory{}))
				for _, group := range sample.Groups() {
					key := group.Key
					if s, _ := sample.Service(group.Service); (s.Kind == table.KindPlain) != c.plain {
						continue
					}
					id := lifecycle.AttemptID{Request: lifecycle.RequestID{Box: "b", Incarnation: 7, Sequence: 1}, Number: 1}
					h.handle(Command{From: "b", Group: key, Body: schedule.Ask{ID: id, Box: "b"}})
					time.Sleep(c.after)
					h.check(oldGrant, oldPlain)
					if asked[key] != c.want {
						t.Errorf("asked about %d attempts, want %d", asked[key], c.want)
					}
					return
				}
				t.Fatal("the example has no such group")
			})
		})
	}
}

// TestIdleHome checks that a home without pending requests wakes rarely, and one with a
// pending request often.
func TestIdleHome(t *testing.T) {
	routed := table.Table{Generation: 1, Services: []table.Service{{Name: "s", Kind: table.KindRouted}}}
	one := directory.Directory{}.WithList(time.Now(), 5, []directory.Entry{{ID: "e", Service: "s", Slots: 1}})
	// The first ask gets the endpoint; the second one resumes at an endpoint and waits.
	ask := func(sequence uint64) Command {
		id := lifecycle.AttemptID{Request: lifecycle.RequestID{Box: "b", Incarnation: 7, Sequence: sequence}, Number: 1}
		return Command{From: "b", Group: "s", Body: schedule.Ask{ID: id, Box: "b", Deadline: time.Second, Resume: sequence > 1}}
	}
	h := New(Config{Self: "self", Answers: discardAnswers{}, Log: log.Discard()})
	steps := []struct {
		name string
		do   func()
		want time.Duration
	}{
		{"no request has come", func() { h.configure(group.New(routed, one)) }, idleEvery},
		{"a request runs", func() { h.handle(ask(1)) }, idleEvery},
		{"a request waits", func() { h.handle(ask(2)) }, tickEvery},
		{"it is withdrawn", func() { h.handle(Command{From: "b", Group: "s", Body: Withdrawn{ID: ask(2).Body.(schedule.Ask).ID}}) }, idleEvery},
	}
	for _, s := range steps {
		s.do()
		if got := h.tickInterval(); got != s.want {
			t.Errorf("%s: wakes after %s, want %s", s.name, got, s.want)
		}
	}
}
