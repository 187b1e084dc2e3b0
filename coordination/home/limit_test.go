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

// TestOpenGrantsAreLookedAt limits the decode engines so that none of them may be granted
// for a while after a prefill is done. No further ask arrives in that time, and the attempt
// must get its decode slot all the same.
func TestOpenGrantsAreLookedAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sample, _ := example.Table(example.Bogota)
		for i := range sample.Endpoints {
			// With few slots, the decode engine is chosen only at the end of the prefill.
			sample.Endpoints[i].Slots = 1
		}
		var decisions []schedule.Decision
		h := New(Config{Self: "self", Answers: recordingAnswers{decisions: &decisions}, Policy: schedule.Policy{NoRecompute: true}, Log: log.Discard()})
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
		open, found := openGrant(decisions)
		if !found {
			t.Fatalf("no grant without a decode engine among %+v", decisions)
		}
		h.handle(Command{From: "b", Group: g.Key, Body: Limits{Of: limits}})
		h.handle(Command{From: "b", Group: g.Key, Body: Prefilled{ID: open}})
		decisions = nil
		if h.tickInterval() != tickEvery {
			t.Errorf("the next wake-up is after %v", h.tickInterval())
		}
		for range 400 {
			time.Sleep(tickEvery)
			h.tick()
		}
		for _, d := range decisions {
			if slot, ok := d.(schedule.DecodeAssignment); ok && slot.Ask.ID == open && slot.Paced {
				return
			}
		}
		t.Errorf("decided %+v, want a slot that was counted against the limit", decisions)
	})
}

// openGrant returns the first attempt that was granted without a decode engine.
func openGrant(decisions []schedule.Decision) (lifecycle.AttemptID, bool) {
	for _, d := range decisions {
		if gr, ok := d.(schedule.Grant); ok && gr.Plan.Decode == "" {
			return gr.Ask.ID, true
		}
	}
	return lifecycle.AttemptID{}, false
}

// sentBodies records the bodies that are sent to other boxes.
type sentBodies struct {
	Peers
	bodies map[string][]Body
}

func (s *sentBodies) SendCommand(box string, c Command) ring.Outcome {
	s.bodies[box] = append(s.bodies[box], c.Body)
	return ring.Accepted
}

// TestQuestionsCarryLimits checks that a home receives a limit after the first answer that
// names it, and that asks and adopted plans carry the known limits to any box.
func TestQuestionsCarryLimits(t *testing.T) {
	sent := &sentBodies{bodies: make(map[string][]Body)}
	r := NewRouter("self", sent)
	keeper := notice.New(notice.Config{Log: log.Discard(), OnLimit: r.SendLimit})
	r.Connect(nil, nil, keeper)
	boxes := rank.Of([]string{"other"})
	r.SetLive(boxes, boxes)
	sample, _ := example.Table(example.Bogota)
	r.SetGroups(group.New(sample.WithGeneration(1), directory.Directory{}))
	g := sample.Groups()[0]
	engine := g.Members[0].Endpoint.Name
	keeper.Answered(notice.Answer{Endpoint: engine, Notice: pace.Notice{Limit: pace.LimitOf(2)}})
	r.Send("stand-in", g.Key, askOf(1))
	r.Send("next", g.Key, schedule.Adopted{Ask: askOf(2)})
	r.Send("other", sample.Groups()[1].Key, askOf(3))
	received := map[string]string{}
	for box, bodies := range sent.bodies {
		for _, b := range bodies {
			switch b := b.(type) {
			case Limits:
				received[box+" receives"] = fmt.Sprint(len(b.Of), b.Of[0].Engine == engine)
			case schedule.Ask:
				received[box+" is asked"] = fmt.Sprint(len(b.Limits))
			case schedule.Adopted:
				received[box+" adopts"] = fmt.Sprint(len(b.Ask.Limits))
			}
		}
	}
	for what, want := range map[string]string{"other receives": "1 true", "stand-in is asked": "1", "next adopts": "1", "other is asked": "0"} {
		if received[what] != want {
			t.Errorf("%s %q, want %q (all: %v)", what, received[what], want, received)
		}
	}
}

func TestLimitedEndpointsOfAHome(t *testing.T) {
	cases := map[string]struct {
		standing pace.Standing
		pause    time.Duration
		want     float64
	}{
		"a home":                 {standing: pace.Standing{Home: true, For: time.Hour, Seen: 8, All: 8}, want: 4},
		"one that was paused":    {standing: pace.Standing{Home: true, For: time.Hour, Seen: 8, All: 8}, pause: time.Second, want: 1},
		"one that sees half":     {standing: pace.Standing{Home: true, For: time.Hour, Seen: 4, All: 8}, want: 2},
		"a stand-in":             {standing: pace.Standing{For: time.Hour, Seen: 8, All: 8}, want: 1},
		"one that knows nothing": {standing: pace.Standing{Home: true, For: time.Hour}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := coldHomes(c.standing)
				h.tick()
				time.Sleep(c.pause)
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
