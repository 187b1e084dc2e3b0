// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/bench"
	"runridge.example/runridge/fakes/fleet"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/example"
)

const (
	// poisonText in a prompt crashes each engine that prefills it.
	poisonText = "too much for an engine"
	// poisonTries is how many prompts that crash engines are sent, and maxPoisonCrashes how many engines they may
	// crash.
	poisonTries      = 9
	maxPoisonCrashes = 6
)

// countCrashes starts engines that have crashed again, and returns how often engines did so far.
func countCrashes(f *fleet.Fleet, crashed map[string]int) int {
	n := 0
	for name, e := range f.Engines {
		if e.Crashes() > crashed[name] {
			crashed[name] = e.Crashes()
			convey.So(f.RestartEngine(name), convey.ShouldBeNil)
		}
		n += e.Crashes()
	}
	return n
}

// TestPoisonPrompt is TestPoisonRequest of tests/routed on the product's own interface: a prompt
// crashes each engine that prefills it and is sent again under a new id at any box. Boxes dropped
// what they learned of a request when it ended, so each of nine tries crashed three engines: as
// many as a request may have attempts.
func TestPoisonPrompt(t *testing.T) {
	convey.Convey("A prompt that crashes every engine that prefills it, and is sent again, soon reaches none", t, func() {
		table, _ := example.Table(example.Bogota)
		f, err := fleet.Start(t.Context(), fleet.Config{Table: table, Boxes: 3, Log: log.Discard(), EndsAt: poisonText})
		convey.So(err, convey.ShouldBeNil)
		defer f.Stop()
		caller := bench.NewCaller()
		defer caller.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		crashed := make(map[string]int)
		ended := func() int { return countCrashes(f, crashed) }
		for i := range poisonTries {
			bad := request(0)
			bad.Prompt = poisonText
			caller.Do(ctx, f.Boxes[i%len(f.Boxes)].Box.CallerAddr(), "lm-porta", bad)
			t.Logf("try %d: %d crashes", i+1, ended())
		}
		convey.So(ended(), convey.ShouldBeLessThanOrEqualTo, maxPoisonCrashes)
		for i, m := range f.Boxes {
			bad := request(0)
			bad.Prompt = poisonText
			before := ended()
			seen := caller.Do(ctx, m.Box.CallerAddr(), "lm-porta", bad)
			convey.So(seen.Reason, convey.ShouldEqual, "poison_request")
			convey.So(seen.Outcome, convey.ShouldEqual, bench.OutcomeNotRun)
			convey.So(ended(), convey.ShouldEqual, before)
			convey.So(caller.Do(ctx, m.Box.CallerAddr(), "lm-porta", request(i)).Outcome, convey.ShouldEqual, bench.OutcomeFinished)
		}
	})
}

func TestPartOfPromptsCrashesEngineAfterEngineOnOwnInterface(t *testing.T) {
	// The first 1 KiB of all prompts are the same, and the first 2 KiB of those that crash engines.
	shared := strings.Repeat("the price list, ", 64)
	deadly := shared + strings.Repeat(poisonText+". ", 64)
	convey.Convey("Prompts that have only a crashing prefix in common soon reach no engine, and others that begin alike do", t, func() {
		table, _ := example.Table(example.Bogota)
		f, err := fleet.Start(t.Context(), fleet.Config{Table: table, Boxes: 3, Log: log.Discard(), EndsAt: poisonText})
		convey.So(err, convey.ShouldBeNil)
		defer f.Stop()
		caller := bench.NewCaller()
		defer caller.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		ended, served := 0, 0
		crashed := make(map[string]int)
		for i := range poisonTries {
			bad, good := request(2*i), request(2*i+1)
			bad.Prompt, good.Prompt = deadly+bad.Prompt, shared+good.Prompt
			caller.Do(ctx, f.Boxes[i%3].Box.CallerAddr(), "lm-porta", bad)
			ended = countCrashes(f, crashed)
			if caller.Do(ctx, f.Boxes[(i+1)%3].Box.CallerAddr(), "lm-porta", good).Outcome == bench.OutcomeFinished {
				served++
			}
		}
		t.Logf("%d tries crashed %d engines, %d others served", poisonTries, ended, served)
		convey.So(ended, convey.ShouldBeLessThanOrEqualTo, maxPoisonCrashes)
		convey.So(served, convey.ShouldEqual, poisonTries)
	})
}
