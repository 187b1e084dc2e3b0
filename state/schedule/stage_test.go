// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/stages"
)

// stageConfig returns a configuration in which the first engines prefill and the others decode.
func stageConfig(prefills, engines int) Config {
	cfg := Config{Targets: Targets{FirstToken: time.Second, PerToken: 50 * time.Millisecond}, GrowingMemory: true}
	for i := range engines {
		cfg.Engines = append(cfg.Engines, EngineSpec{
			Name: fmt.Sprint("e", i), Zone: "z", Prefill: i < prefills, Decode: i >= prefills, Slots: 16, KVTokens: 40_000,
			PrefillRate: 30_000, StepBase: 10 * time.Millisecond, StepPerRequest: 20 * time.Microsecond,
		})
	}
	return cfg
}

// offerPromptWork sends prompts that keep 1.2 engines busy, for some seconds. Their answers
// take the other engines as long as the prompts take three of the group's 13 engines.
func offerPromptWork(g *Group, at time.Time, seconds int) time.Time {
	const prompt, each = 3000, 12
	for i := range seconds * each {
		at = at.Add(time.Second / each)
		id := lifecycle.AttemptID{Request: lifecycle.RequestID{Box: "b", Sequence: uint64(i)}, Number: 1}
		for _, d := range g.Ask(at, Ask{ID: id, Box: "b", PromptTokens: prompt, OutputTokens: 480}) {
			if grant, ok := d.(Grant); ok {
				g.Prefilled(at, grant.Ask.ID, prompt, 0)
				g.Done(at, Report{ID: grant.Ask.ID, Finished: true, Steps: 480, StepTime: 480 * 10200 * time.Microsecond})
			}
		}
	}
	return at
}

func TestStagesOfAGroup(t *testing.T) {
	convey.Convey("A group reports its prompt work, and counts an engine for the stage that it changes to", t, func() {
		start := time.Unix(0, 0)
		g := New(stageConfig(5, 13), start)
		now := offerPromptWork(g, start, 10)
		engines, load := g.Stages(now)
		convey.So(load.Mean, convey.ShouldAlmostEqual, 1.2, 0.2)
		p := stages.Make(engines, load, stages.Config{})
		convey.So(p.ToDecode, convey.ShouldHaveLength, 2)
		for _, name := range p.ToDecode {
			g.BeginStageChange(now, name, time.Minute)
		}
		engines, load = g.Stages(now)
		convey.So(stages.Make(engines, load, stages.Config{}).None(), convey.ShouldBeTrue)
		convey.Convey("It gets no requests while it changes", func() {
			for i := range 30 {
				id := lifecycle.AttemptID{Request: lifecycle.RequestID{Box: "c", Sequence: uint64(i)}, Number: 1}
				for _, d := range g.Ask(now, Ask{ID: id, Box: "c", PromptTokens: 3000, OutputTokens: 40}) {
					if grant, ok := d.(Grant); ok {
						convey.So(p.ToDecode, convey.ShouldNotContain, grant.Plan.Prefill)
						convey.So(p.ToDecode, convey.ShouldNotContain, grant.Plan.Decode)
					}
				}
			}
		})
		convey.Convey("It is ready once it has its new stage", func() {
			cfg := stageConfig(5, 13)
			for i := range cfg.Engines {
				e := &cfg.Engines[i]
				if e.Name == p.ToDecode[0] {
					e.Prefill, e.Decode = false, true
				}
			}
			g.Configure(now, cfg)
			engines, _ := g.Stages(now)
			for _, e := range engines {
				if e.Name == p.ToDecode[0] {
					convey.So(e.Ready && !e.Prefill && !e.Changing, convey.ShouldBeTrue)
				}
			}
		})
		convey.Convey("Leaving engines do not count, and another one replaces the last prefill engine", func() {
			cfg := stageConfig(3, 13)
			leave(&cfg, "e0", "e1", "e2")
			g := New(cfg, start)
			now := offerPromptWork(g, start, 10)
			engines, load := g.Stages(now)
			convey.So(engines, convey.ShouldHaveLength, 10)
			convey.So(stages.Make(engines, load, stages.Config{}).ToPrefill, convey.ShouldHaveLength, 1)
		})
		convey.Convey("An engine whose change is cancelled is ready again", func() {
			g.CancelStageChange(p.ToDecode[1])
			engines, _ := g.Stages(now)
			for _, e := range engines {
				if e.Name == p.ToDecode[1] {
					convey.So(e.Ready && e.Prefill, convey.ShouldBeTrue)
				}
			}
		})
	})
}
