// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/state/lifecycle"
)

// busyView returns a view with a prefill engine that is busy for a while and a decode engine
// with a batch that uses part of its memory.
func busyView(prefillBusy time.Duration, held, kvFree int) *View {
	return &View{
		Engines: []EngineView{
			{Prefill: true, FreeAt: int64(prefillBusy), PrefillNS: 50_000},
			{
				Decode: true, Held: held, MaxHeld: 40, KVFree: kvFree, KVTokens: 40_000,
				PrefillNS: 100_000, StepBaseNS: 5e6, StepPerNS: 30_000,
			},
		},
		Zones:               1,
		LinkFreeAt:          make([]int64, 1),
		LinkNS:              make([]float64, 1),
		ZoneNS:              make([]float64, 1),
		MaxPrefillBacklogNS: int64(12 * time.Millisecond),
		StepTargetNS:        33e6,
		Joint:               true,
		Recompute:           true,
	}
}

func TestPrefillOnDecodeEngine(t *testing.T) {
	cases := map[string]struct {
		busy         time.Duration
		held, kvFree int
		left         time.Duration
		mode         lifecycle.Mode
		found        bool
	}{
		"a free prefill engine is preferred over delaying a batch": {
			held: 10, kvFree: 10_000, left: 800 * time.Millisecond, mode: lifecycle.Move, found: true,
		},
		"a request waits for a prefill engine that is busy for a moment": {
			busy: 60 * time.Millisecond, held: 10, kvFree: 10_000, left: 800 * time.Millisecond,
		},
		"an idle decode engine prefills while the prefill engine is busy for long": {
			busy: 600 * time.Millisecond, kvFree: 40_000, left: 800 * time.Millisecond, mode: lifecycle.Recompute, found: true,
		},
		"a decode engine with a small batch prefills when waiting would miss the deadline": {
			busy: 700 * time.Millisecond, held: 3, kvFree: 30_000, left: 700 * time.Millisecond, mode: lifecycle.Recompute, found: true,
		},
		"the batch of a full engine is not delayed even when waiting would miss the deadline": {
			busy: 700 * time.Millisecond, held: 10, kvFree: 4000, left: 700 * time.Millisecond,
		},
	}
	convey.Convey("A prefill on a decode engine is weighed against the decode time that it takes", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				v := busyView(c.busy, c.held, c.kvFree)
				choice, found := Place(v, 0, Need{PromptTokens: 2000, KVTokens: 2500, RemainingNS: float64(c.left)})
				convey.So(found, convey.ShouldEqual, c.found)
				if found {
					convey.So(choice.Mode, convey.ShouldEqual, c.mode)
				}
			})
		}
	})
}
