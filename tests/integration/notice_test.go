// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/bench"
	"runridge.example/runridge/fakes/fleet"
	"runridge.example/runridge/tests/arrival"
)

const (
	// restPeriod is the rest that endpoints of these tests ask for, restDelay how long after the notice a
	// box must comply with it, and maxDuringRest the most requests of a box that may reach an endpoint
	// from then until the rest ends.
	restPeriod    = 1500 * time.Millisecond
	restDelay     = 500 * time.Millisecond
	maxDuringRest = 2
)

// closable is an endpoint that can announce that it accepts no requests.
type closable interface {
	Leave()
	RejectWithRest(rest time.Duration)
	Arrivals() *arrival.Log
}

// TestClosedEndpointsOnOwnInterfaceGetRequests is TestEndpointsThatLeaveGetRequests and
// TestEndpointsThatRestGetRequests of tests/routed on the product's own interface.
func TestClosedEndpointsOnOwnInterfaceGetRequests(t *testing.T) {
	caller := bench.NewCaller()
	defer caller.Close()
	cases := map[string]struct {
		send func(ctx context.Context, t *testing.T, m *fleet.Member)
		// engines is set if the engines are closed instead of the plain services.
		engines bool
		// rests is set if the endpoints ask for a rest instead of announcing that they leave.
		rests bool
	}{
		"plain services that leave": {send: callPlain},
		"plain services that rest":  {send: callPlain, rests: true},
		"engines that leave":        {send: sendPrompt(caller), engines: true},
		"engines that rest":         {send: sendPrompt(caller), engines: true, rests: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Endpoints receive almost nothing from a box that they have notified that they are closed", t, func() {
				f := startFleet(t, 3)
				closed := make(map[string]closable)
				if c.engines {
					for id, e := range f.Engines {
						closed[id] = e
					}
				} else {
					for id, e := range f.Plain {
						closed[id] = e
					}
				}
				for _, e := range closed {
					if c.rests {
						e.RejectWithRest(restPeriod)
					} else {
						e.Leave()
					}
				}
				stop := startLoad(t, c.send, f.Boxes[0])
				time.Sleep(noticeDelay)
				told := time.Now()
				time.Sleep(2 * restPeriod)
				stop()
				for id, e := range closed {
					after, during := e.Arrivals().Since(told), e.Arrivals().DuringRests(restDelay)
					t.Logf("%s: %d after the box was told, at most %d in one of %d rests", id, after, during, e.Arrivals().Rests())
					if c.rests {
						convey.So(during, convey.ShouldBeLessThanOrEqualTo, maxDuringRest)
					} else {
						convey.So(after, convey.ShouldEqual, 0)
					}
				}
			})
		})
	}
}
