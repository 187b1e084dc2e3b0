// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lifecycle

import (
	"fmt"
	"os"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"runridge.example/runridge/tests/seed"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Run(m, 5000))
}

// simulation acts as the driver, the home and the engines of one machine, and
// records what the oracle compares.
type simulation struct {
	m Machine
	// answers counts final answers; delivered is the tokens in order.
	answers   int
	delivered []int
	// ran is, for each attempt whose order was sent, whether an engine worked on
	// it. It is drawn when the order is sent and hidden from the machine.
	ran map[uint32]bool
	rt  *rapid.T
	// held lists what engines may hold, and released what they were asked to free.
	held, released map[Hold]bool
	order          Effect
	granted        map[uint32]bool
	asking         bool
}

func newSimulation(t *rapid.T, once bool, attempts uint32) *simulation {
	w := &simulation{
		rt:   t,
		ran:  make(map[uint32]bool),
		held: make(map[Hold]bool), released: make(map[Hold]bool),
		granted: make(map[uint32]bool),
	}
	m, effects := New(once, attempts)
	w.m = m
	w.perform(effects)
	return w
}

func (w *simulation) step(e Event) {
	m, effects := w.m.Step(e)
	w.m = m
	w.perform(effects)
}

func (w *simulation) perform(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case AskHome:
			w.asking = true
		case Withdraw:
			w.asking = false
		case StartPrefill:
			w.start(e, Hold{Engine: e.Engine, Attempt: e.Attempt})
		case StartMove:
			w.start(e, Hold{Engine: e.To, Attempt: e.Attempt})
		case StartDecode:
			w.start(e, Hold{Engine: e.Engine, Attempt: e.Attempt})
		case Deliver:
			w.delivered = append(w.delivered, e.Token.Index)
			if e.Token.Attempt != w.m.Attempt {
				w.rt.Fatalf("delivered a token of attempt %d in attempt %d", e.Token.Attempt, w.m.Attempt)
			}
		case Release:
			w.released[e.Hold] = true
		case ReturnGrant:
			delete(w.granted, e.Attempt)
		case Answer:
			w.answers++
		}
	}
}

// start sends an order. From then on the engine may hold memory.
func (w *simulation) start(order Effect, h Hold) {
	w.order = order
	w.held[h] = true
	w.ran[h.Attempt] = w.ran[h.Attempt] || rapid.Bool().Draw(w.rt, "really ran")
	w.step(Started{Attempt: h.Attempt})
}

// randomEvent draws an event that may be late, out of order or unexpected in
// the machine's phase.
func (w *simulation) randomEvent(t *rapid.T) Event {
	attempt := w.m.Attempt
	if rapid.IntRange(0, 4).Draw(t, "crossed") == 0 {
		attempt = rapid.Uint32Range(0, w.m.Attempt+1).Draw(t, "attempt")
	}
	engine := rapid.SampledFrom([]string{"p1", "p2", "d1", "d2"}).Draw(t, "engine")
	index := rapid.IntRange(0, len(w.delivered)+1).Draw(t, "index")
	lowest := NotRun
	if w.ran[attempt] {
		lowest = MayHaveRun
	}
	// Events that end a request are rare, so that a run has many steps.
	kind := rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 2, 3, 4, 4, 5, 5, 5, 6, 6, 7, 7, 7, 8, 9}).Draw(t, "event")
	if answered := kind == 2 || kind == 4 || kind == 5 || kind == 6; answered && !w.ran[attempt] {
		// An engine that did not run the order does not answer it.
		kind = 7
	}
	switch kind {
	case 0:
		plan := Plan{Mode: Move, Prefill: "p1", Decode: rapid.SampledFrom([]string{"", "d1", "p1"}).Draw(t, "decode")}
		if w.m.Kept.Engine != "" && rapid.Bool().Draw(t, "reuse") {
			plan = Plan{Mode: Move, Prefill: w.m.Kept.Engine, Decode: "d2", Reuse: true}
		} else if rapid.Bool().Draw(t, "recompute") {
			plan = Plan{Mode: Recompute, Decode: engine}
		}
		w.granted[w.m.Attempt+1] = true
		return Granted{Plan: plan}
	case 1:
		return Refused{Reason: ReasonOverloaded}
	case 2:
		return PrefillDone{Attempt: attempt}
	case 3:
		return SlotReady{Attempt: attempt, Decode: engine}
	case 4:
		return MoveDone{Attempt: attempt}
	case 5, 6:
		return Token{Attempt: attempt, Index: index, Last: rapid.IntRange(0, 5).Draw(t, "last") == 0}
	case 7:
		ran := Ran(rapid.IntRange(int(lowest), int(DidRun)).Draw(t, "ran"))
		return StepFailed{Attempt: attempt, Ran: ran, Engine: engine, Reason: ReasonEngine, Retry: rapid.Bool().Draw(t, "retry")}
	case 8:
		return CallerDisconnected{}
	default:
		return Stop{Reason: ReasonDeadline}
	}
}

func TestMachineAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		once := rapid.Bool().Draw(t, "once")
		w := newSimulation(t, once, rapid.Uint32Range(1, 4).Draw(t, "attempts"))
		retriedAfterRun := false
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for range steps {
			e := w.randomEvent(t)
			before := w.m
			w.step(e)
			if once && w.m.Attempt > before.Attempt && w.ran[before.Attempt] {
				retriedAfterRun = true
			}
			w.check(t)
		}
		w.step(Stop{Reason: ReasonStopping})
		w.check(t)
		if w.answers != 1 {
			t.Fatalf("%d final answers, phase %v", w.answers, w.m.Phase)
		}
		if retriedAfterRun {
			t.Fatal("a request that must not be repeated was retried after it may have run")
		}
		w.checkEnd(t)
	})
}

// check fails the test if an invariant does not hold after an event.
func (w *simulation) check(t *rapid.T) {
	if w.answers > 1 {
		t.Fatal("the caller was answered twice")
	}
	for i, index := range w.delivered {
		if i != index {
			t.Fatalf("tokens delivered as %v", w.delivered)
		}
	}
	for attempt, ran := range w.ran {
		if ran && w.m.Phase == RefusedNotRun {
			t.Fatalf("refused as not run, but attempt %d ran", attempt)
		}
	}
}

// checkEnd fails the test if a hold or a grant is left after the request has ended.
func (w *simulation) checkEnd(t *rapid.T) {
	for h := range w.held {
		finished := w.m.Phase == Finished && h.Engine == w.m.Plan.Decode && h.Attempt == w.m.Attempt
		if !w.released[h] && !finished {
			t.Fatalf("hold %+v was never released, phase %v", h, w.m.Phase)
		}
	}
	for a := range w.granted {
		if a == w.m.Attempt {
			t.Fatalf("grant of attempt %d was never returned", a)
		}
	}
}

func TestAttemptIDText(t *testing.T) {
	cases := map[string]struct {
		text string
		good bool
	}{
		"good":               {text: "box-1~a~f~3", good: true},
		"too few parts":      {text: "box-1~a~f"},
		"no box":             {text: "~a~f~3"},
		"number not decimal": {text: "box-1~a~f~x"},
		"bad incarnation":    {text: "box-1~!~f~3"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("reading "+c.text, t, func() {
				id, err := ParseAttemptID(c.text)
				convey.So(err == nil, convey.ShouldEqual, c.good)
				if c.good {
					convey.So(id.String(), convey.ShouldEqual, c.text)
				}
			})
		})
	}
}

func ExampleMachine_Step() {
	m, effects := New(false, 3)
	fmt.Printf("%v %T\n", m.Phase, effects[0])
	m, effects = m.Step(Granted{Plan: Plan{Mode: Move, Prefill: "p1", Decode: "d1"}})
	fmt.Printf("%v %T\n", m.Phase, effects[0])
	m, _ = m.Step(Started{Attempt: 1})
	m, effects = m.Step(PrefillDone{Attempt: 1})
	fmt.Printf("%v %T\n", m.Phase, effects[1])
	m, _ = m.Step(MoveDone{Attempt: 1})
	m, _ = m.Step(Token{Attempt: 1, Index: 0, Text: "yes", Last: true})
	fmt.Println(m.Phase)
	// Output:
	// received lifecycle.AskHome
	// admitted lifecycle.StartPrefill
	// moving lifecycle.StartMove
	// finished
}
