// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform/standin"
)

const (
	// rest is what endpoints of these tests ask for, restHeard after how long a box is held
	// to it, and restBound the most requests that may reach one from a box then.
	rest      = 1500 * time.Millisecond
	restHeard = 500 * time.Millisecond
	restBound = 2
)

// closedCase is a site of which some endpoints want nothing.
type closedCase struct {
	path string
	ends []standin.EndpointConfig
	// closed are the endpoints that say so.
	closed []string
	// during, if set, is what happens after that; it may end the last box.
	during func(s *site)
	// refused says that callers are refused, as no other endpoint serves.
	refused bool
}

func closedCases() map[string]closedCase {
	return map[string]closedCase{
		"one of the plain ones":         {path: "/safe/x", ends: plainEnds(), closed: []string{"p1"}},
		"unsafe requests":               {path: "/unsafe/x", ends: plainEnds(), closed: []string{"p1", "p2"}},
		"all of the plain ones":         {path: "/safe/x", ends: plainEnds(), closed: []string{"p1", "p2", "p3"}, refused: true},
		"that prefill":                  {path: "/stream/x", ends: modelEnds(), closed: []string{"pre1"}},
		"that decode":                   {path: "/resumable/x", ends: modelEnds(), closed: []string{"dec1"}},
		"all that decode":               {path: "/resumable/x", ends: modelEnds(), closed: []string{"dec1", "dec2"}, refused: true},
		"while the store is silent":     {path: "/safe/x", ends: plainEnds(), closed: []string{"p1"}, during: (*site).silence},
		"while a box ends":              {path: "/safe/x", ends: plainEnds(), closed: []string{"p1", "p2"}, during: (*site).endLast},
		"while a box starts":            {path: "/safe/x", ends: plainEnds(), closed: []string{"p1", "p2"}, during: (*site).startOneMore},
		"that decode, while a box ends": {path: "/stream/x", ends: modelEnds(), closed: []string{"dec1"}, during: (*site).endLast},
		"all, where no home answers":    {path: "/safe/x", ends: plainEnds(), closed: []string{"p1", "p2", "p3"}, during: (*site).loseHomes, refused: true},
	}
}

// silence has the store answer nobody.
func (s *site) silence() { s.store.SetFault(standin.Silent) }

// loseHomes ends all boxes but the first, which may be home of no group yet.
func (s *site) loseHomes() {
	for _, b := range s.boxes[1:] {
		b.stop()
		<-b.ended
	}
}

// play presses the first box after close was called for the endpoints, and calls judge for each
// of them once the box has been told and a while has passed.
func (c closedCase) play(t *testing.T, line string, closeOne func(e *standin.Endpoint), judge func(e *standin.Endpoint, told time.Time)) {
	s := newSite(t, 3, c.ends...)
	for _, id := range c.closed {
		closeOne(s.ends[id])
	}
	p := s.press(c.path, s.boxes[0])
	for _, id := range c.closed {
		s.eventually("the box is told", func() bool { return s.logged(line, "box-1", id) })
	}
	told := time.Now().Add(restHeard)
	if c.during != nil {
		c.during(s)
	}
	time.Sleep(2 * rest)
	p.stop()
	for _, id := range c.closed {
		judge(s.ends[id], told)
	}
	t.Logf("served %d, refused with a time to come back %d, without %d", p.served.Load(), p.refused.Load(), p.without.Load())
	convey.So(p.without.Load(), convey.ShouldEqual, 0)
	if !c.refused {
		convey.So(p.refused.Load(), convey.ShouldEqual, 0)
	}
}

func TestEndpointsThatLeaveGetRequests(t *testing.T) {
	for name, c := range closedCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			convey.Convey("An endpoint gets nothing from a box that it told that it leaves", t, func() {
				c.play(t, "endpoint_closed", (*standin.Endpoint).Leave, func(e *standin.Endpoint, told time.Time) {
					t.Logf("%s: %d after the box was told", e.ID, e.Arrivals().Since(told))
					convey.So(e.Arrivals().Since(told), convey.ShouldEqual, 0)
				})
			})
		})
	}
}

func TestEndpointsThatRestGetRequests(t *testing.T) {
	for name, c := range closedCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			convey.Convey("An endpoint gets next to nothing from a box that it asked for a rest", t, func() {
				tire := func(e *standin.Endpoint) { e.Tire(rest) }
				c.play(t, "endpoint_closed", tire, func(e *standin.Endpoint, _ time.Time) {
					t.Logf("%s: at most %d in one of %d rests", e.ID, e.Arrivals().DuringRests(restHeard), e.Arrivals().Rests())
					convey.So(e.Arrivals().DuringRests(restHeard), convey.ShouldBeLessThanOrEqualTo, restBound)
				})
			})
		})
	}
}
