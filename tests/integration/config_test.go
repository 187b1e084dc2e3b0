// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/coordination/follow"
	"runridge.example/runridge/fakes/fleet"
)

// awaitGeneration waits until each box has a generation of the table, or a newer one, in force.
func awaitGeneration(ctx context.Context, t *testing.T, f *fleet.Fleet, generation uint64) {
	t.Helper()
	for _, m := range f.Boxes {
		for m.Box.Table().Generation < generation {
			if ctx.Err() != nil {
				t.Fatalf("%s has generation %d, wanted %d", m.Name, m.Box.Table().Generation, generation)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// changeSlots changes one cell of the table and returns the new generation.
func changeSlots(t *testing.T, f *fleet.Fleet, slots int) uint64 {
	t.Helper()
	e, _ := f.Table().Endpoint("lm-porta-decode-1")
	e.Slots = slots
	if err := f.SetTable(f.Table().WithEndpoint(e)); err != nil {
		t.Fatal(err)
	}
	return f.Platform.Version(follow.ObjectName)
}

func TestConfiguration(t *testing.T) {
	convey.Convey("Eight boxes, of which three watch the platform", t, func() {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f := startFleet(t, 8)

		convey.Convey("all put a change into force, with the same content", func() {
			generation := changeSlots(t, f, 33)
			awaitGeneration(ctx, t, f, generation)
			for _, m := range f.Boxes {
				e, _ := m.Box.Table().Endpoint("lm-porta-decode-1")
				convey.So(e.Slots, convey.ShouldEqual, 33)
			}
		})
		convey.Convey("a change that one box has read spreads during an outage of the platform", func() {
			f.Platform.SetDown(true)
			next := f.Table().WithLeaving("lm-porta-decode-2", true).WithGeneration(f.Platform.Version(follow.ObjectName) + 5)
			f.Boxes[0].Box.ReceiveTable(next)
			awaitGeneration(ctx, t, f, next.Generation)
		})
		convey.Convey("a box that starts with a stale read adopts the others' newer table", func() {
			f.Platform.SetStale(follow.ObjectName, true)
			f.Platform.SetDown(false)
			next := f.Table().WithGeneration(f.Platform.Version(follow.ObjectName) + 9)
			f.Boxes[0].Box.ReceiveTable(next)
			awaitGeneration(ctx, t, f, next.Generation)
			m, err := f.AddBox("box-late")
			convey.So(err, convey.ShouldBeNil)
			for !m.Box.Ready() && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			convey.So(m.Box.Table().Generation, convey.ShouldEqual, next.Generation)
		})
		convey.Convey("an invalid table is not put into force", func() {
			before := f.Boxes[0].Box.Table().Generation
			f.Platform.Put(follow.ObjectName, []byte(`{"services":[{"name":"x","kind":"none"}]}`))
			good := changeSlots(t, f, 34)
			awaitGeneration(ctx, t, f, good)
			convey.So(good, convey.ShouldEqual, before+2)
		})
	})
}

// TestEndpointLeavesWhileServing drains engines while requests are served: none is cut, and the
// drained engines receive no further work.
func TestEndpointLeavesWhileServing(t *testing.T) {
	convey.Convey("An engine leaves", t, func() {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f := startFleet(t, 2)
		awaitServed(ctx, t, f.Boxes[0].Box.CallerAddr(), 3)
		next := f.Table().WithLeaving("lm-porta-decode-1", true).WithLeaving("lm-porta-prefill-1", true)
		convey.So(f.SetTable(next), convey.ShouldBeNil)
		awaitGeneration(ctx, t, f, f.Platform.Version(follow.ObjectName))
		// Attempts granted before the change may still begin.
		awaitServed(ctx, t, f.Boxes[0].Box.CallerAddr(), 3)
		last := f.Engines["lm-porta-decode-1"].LastAccepted()
		awaitServed(ctx, t, f.Boxes[1].Box.CallerAddr(), 20)
		convey.So(f.Engines["lm-porta-decode-1"].LastAccepted(), convey.ShouldEqual, last)
		convey.So(awaitNoHolds(ctx, f), convey.ShouldEqual, 0)
	})
}
