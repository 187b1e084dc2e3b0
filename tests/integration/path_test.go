// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package integration tests boxes, engines and the platform together, over
// real sockets on loopback.
package integration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/bench"
	"runridge.example/runridge/fakes/fleet"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/example"
)

// startFleet starts the Bogotá example with the given number of boxes.
func startFleet(t *testing.T, boxes int) *fleet.Fleet {
	t.Helper()
	table, _ := example.Table(example.Bogota)
	f, err := fleet.Start(t.Context(), fleet.Config{Table: table, Boxes: boxes, Log: log.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return f
}

// awaitNoHolds waits until no engine has a hold or the context ends, and returns the number of
// holds left.
func awaitNoHolds(ctx context.Context, f *fleet.Fleet) int {
	for f.Held() > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return f.Held()
}

func request(n int) bench.Arrival {
	return bench.Arrival{
		Prompt:       fmt.Sprintf("request %d: may subscriber %d keep the number?", n, n),
		OutputTokens: 16,
		Account:      "mesa-norte",
	}
}

func TestWholePathThroughTwoBoxes(t *testing.T) {
	convey.Convey("Two boxes share nine engines", t, func() {
		f := startFleet(t, 2)
		caller := bench.NewCaller()
		defer caller.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()

		convey.Convey("a request to either box receives its own complete answer", func() {
			for i, m := range f.Boxes {
				seen := caller.Do(ctx, m.Box.CallerAddr(), "lm-porta", request(i))
				convey.So(seen.Reason, convey.ShouldEqual, "")
				convey.So(seen.Outcome, convey.ShouldEqual, bench.OutcomeFinished)
			}
			convey.So(awaitNoHolds(ctx, f), convey.ShouldEqual, 0)
		})
	})
}
