// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package home

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/coordination/notice"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/example"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/state/rank"
	"runridge.example/runridge/state/schedule"
)

func askOf(n uint64) schedule.Ask {
	id := lifecycle.AttemptID{Request: lifecycle.RequestID{Box: "b", Incarnation: 7, Sequence: n}, Number: 1}
	return schedule.Ask{ID: id, Box: "b", PromptTokens: 100, OutputTokens: 10}
}

// TestOpenGrantsAreLookedAt has decode engines that may be granted nothing for a while when a
// prefill is done. Nobody asks after that, and its slot has to come all the same.
func TestOpenGrantsAreLookedAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sample, _ := example.Table(example.Bogota)
		for i := range sample.Endpoints {
			// Slots are scarce, so that they come with the end of the prefill.
			sample.Endpoints[i].Slots = 1
		}
		var said []schedule.Decision
		h := New(Config{Self: "self", Answers: decided{all: &said}, Policy: schedule.Policy{NoRecompute: true}, Log: log.Discard()})
		h.configure(group.New(sample.WithGeneration(1), directory.Directory{}))
		g := sample.Groups()[0]
		var limits []schedule.EngineLimit
		n := uint64(0)
		for _, m := range g.Members {
			if m.Decode && !m.Prefill {
				limits = append(limits, schedule.EngineLimit{Engine: m.Endpoint.Name, Limit: pace.LimitOf(1)})
				n++
			}
		}
		for i := range n {
			h.handle(Command{From: "b", Group: g.Key, Body: askOf(i)})
		}
		open, found := openGrant(said)
		if !found {
			t.Fatalf("no grant without a decode engine among %+v", said)
		}
		h.handle(Command{From: "b", Group: g.Key, Body: Limits{Of: limits}})
		h.handle(Command{From: "b", Group: g.Key, Body: Prefilled{ID: open}})
		said = nil
		if h.tickIn() != tickEvery {
			t.Errorf("the next look is after %v", h.tickIn())
		}
		for range 400 {
			time.Sleep(tickEvery)
			h.tick()
		}
		for _, d := range said {
			if slot, ok := d.(schedule.Slot); ok && slot.Ask.ID == open && slot.Paced {
				return
			}
		}
		t.Errorf("decided %+v, want a slot that was counted", said)
	})
}

// openGrant finds a grant that left its decode engine open.
func openGrant(said []schedule.Decision) (lifecycle.AttemptID, bool) {
	for _, d := range said {
		if gr, ok := d.(schedule.Grant); ok && gr.Plan.Decode == "" {
			return gr.Ask.ID, true
		}
	}
	return lifecycle.AttemptID{}, false
}

// sentBodies keeps what is sent to other boxes.
type sentBodies struct {
	Peers
	bodies map[string][]Body
}

func (s *sentBodies) SendCommand(box string, c Command) ring.Outcome {
	s.bodies[box] = append(s.bodies[box], c.Body)
	return ring.Accepted
}

// TestQuestionsTellLimits holds that a home hears of a limit from the first answer that names
// it, and that what asks any box for a plan tells what is known.
func TestQuestionsTellLimits(t *testing.T) {
	sent := &sentBodies{bodies: make(map[string][]Body)}
	r := NewRouter("self", sent)
	keeper := notice.New(notice.Config{Log: log.Discard(), OnLimit: r.TellLimit})
	r.Connect(nil, nil, keeper)
	boxes := rank.Of([]string{"other"})
	r.SetLive(boxes, boxes)
	sample, _ := example.Table(example.Bogota)
	r.SetGroups(group.New(sample.WithGeneration(1), directory.Directory{}))
	g := sample.Groups()[0]
	engine := g.Members[0].Endpoint.Name
	keeper.Answered(notice.Answered{Endpoint: engine, Notice: pace.Notice{Limit: pace.LimitOf(2)}})
	r.Tell("stand-in", g.Key, askOf(1))
	r.Tell("next", g.Key, schedule.Adopted{Ask: askOf(2)})
	r.Tell("other", sample.Groups()[1].Key, askOf(3))
	told := map[string]string{}
	for box, bodies := range sent.bodies {
		for _, b := range bodies {
			switch b := b.(type) {
			case Limits:
				told[box+" hears"] = fmt.Sprint(len(b.Of), b.Of[0].Engine == engine)
			case schedule.Ask:
				told[box+" is asked"] = fmt.Sprint(len(b.Limits))
			case schedule.Adopted:
				told[box+" adopts"] = fmt.Sprint(len(b.Ask.Limits))
			}
		}
	}
	for what, want := range map[string]string{"other hears": "1 true", "stand-in is asked": "1", "next adopts": "1", "other is asked": "0"} {
		if told[what] != want {
			t.Errorf("%s %q, want %q (all: %v)", what, told[what], want, told)
		}
	}
}

func TestLimitedEndpointsOfAHome(t *testing.T) {
	cases := map[string]struct {
		standing pace.Standing
		still    time.Duration
		want     float64
	}{
		"a home":                 {standing: pace.Standing{Home: true, For: time.Hour, Seen: 8, All: 8}, want: 4},
		"one that stood still":   {standing: pace.Standing{Home: true, For: time.Hour, Seen: 8, All: 8}, still: time.Second, want: 1},
		"one that sees half":     {standing: pace.Standing{Home: true, For: time.Hour, Seen: 4, All: 8}, want: 2},
		"a box that stands in":   {standing: pace.Standing{For: time.Hour, Seen: 8, All: 8}, want: 1},
		"one that knows nothing": {standing: pace.Standing{Home: true, For: time.Hour}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := coldHomes(c.standing)
				h.tick()
				time.Sleep(c.still)
				ask := askOf(1)
				ask.Limits = []schedule.EngineLimit{{Engine: "e", Limit: pace.LimitOf(4)}}
				h.handle(Command{From: "b", Group: "s", Body: ask})
				h.reportLimits(time.Now())
				shown := h.LimitedEndpoints()
				if len(shown) != 1 || shown[0].Endpoint != "e" || shown[0].PerSecond != 4 || shown[0].Rate != c.want {
					t.Errorf("operators are shown %+v, want a rate of %v", shown, c.want)
				}
			})
		})
	}
}
