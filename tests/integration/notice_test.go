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
	// rest is what endpoints of these tests ask for, restHeard after how long a box is held
	// to it, and restBound the most requests that may reach one from a box then.
	rest      = 1500 * time.Millisecond
	restHeard = 500 * time.Millisecond
	restBound = 2
)

// closable is an endpoint that may want nothing.
type closable interface {
	Leave()
	Tire(rest time.Duration)
	Arrivals() *arrival.Log
}

// TestClosedEndpointsOnOwnInterfaceGetRequests is tests/routed's TestEndpointsThatLeaveGetRequests
// and TestEndpointsThatRestGetRequests on the product's own interface.
func TestClosedEndpointsOnOwnInterfaceGetRequests(t *testing.T) {
	caller := bench.NewCaller()
	defer caller.Close()
	cases := map[string]struct {
		send func(ctx context.Context, t *testing.T, m *fleet.Member)
		// engines closes all engines in place of the plain services.
		engines bool
		rests   bool
	}{
		"plain services that leave": {send: callPlain},
		"plain services that rest":  {send: callPlain, rests: true},
		"engines that leave":        {send: prompt(caller), engines: true},
		"engines that rest":         {send: prompt(caller), engines: true, rests: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Endpoints get next to nothing from a box that they told that they want nothing", t, func() {
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
						e.Tire(rest)
					} else {
						e.Leave()
					}
				}
				stop := press(t, c.send, f.Boxes[0])
				time.Sleep(toldTime)
				told := time.Now()
				time.Sleep(2 * rest)
				stop()
				for id, e := range closed {
					after, during := e.Arrivals().Since(told), e.Arrivals().DuringRests(restHeard)
					t.Logf("%s: %d after the box was told, at most %d in one of %d rests", id, after, during, e.Arrivals().Rests())
					if c.rests {
						convey.So(during, convey.ShouldBeLessThanOrEqualTo, restBound)
					} else {
						convey.So(after, convey.ShouldEqual, 0)
					}
				}
			})
		})
	}
}
