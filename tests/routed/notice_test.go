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
	// restPeriod is the rest that endpoints of these tests ask for, restDelay how long after the notice a
	// box must comply with it, and maxDuringRest the most requests of a box that may reach an endpoint
	// from then until the rest ends.
	restPeriod    = 1500 * time.Millisecond
	restDelay     = 500 * time.Millisecond
	maxDuringRest = 2
)

// closedCase is a test case in which some endpoints announce that they accept no requests.
type closedCase struct {
	path      string
	endpoints []standin.EndpointConfig
	// closed are the endpoints that announce it.
	closed []string
	// during, if set, is called after that; it may stop the last box.
	during func(s *site)
	// refused is set if callers may be refused, since no other endpoint can serve them.
	refused bool
}

func closedCases() map[string]closedCase {
	return map[string]closedCase{
		"one of the plain ones":         {path: "/safe/x", endpoints: plainEndpoints(), closed: []string{"p1"}},
		"unsafe requests":               {path: "/unsafe/x", endpoints: plainEndpoints(), closed: []string{"p1", "p2"}},
		"all of the plain ones":         {path: "/safe/x", endpoints: plainEndpoints(), closed: []string{"p1", "p2", "p3"}, refused: true},
		"that prefill":                  {path: "/stream/x", endpoints: modelEndpoints(), closed: []string{"pre1"}},
		"that decode":                   {path: "/resumable/x", endpoints: modelEndpoints(), closed: []string{"dec1"}},
		"all that decode":               {path: "/resumable/x", endpoints: modelEndpoints(), closed: []string{"dec1", "dec2"}, refused: true},
		"while the store is silent":     {path: "/safe/x", endpoints: plainEndpoints(), closed: []string{"p1"}, during: (*site).silenceStore},
		"while a box ends":              {path: "/safe/x", endpoints: plainEndpoints(), closed: []string{"p1", "p2"}, during: (*site).stopLastBox},
		"while a box starts":            {path: "/safe/x", endpoints: plainEndpoints(), closed: []string{"p1", "p2"}, during: (*site).startAnotherBox},
		"that decode, while a box ends": {path: "/stream/x", endpoints: modelEndpoints(), closed: []string{"dec1"}, during: (*site).stopLastBox},
		"all, where no home answers":    {path: "/safe/x", endpoints: plainEndpoints(), closed: []string{"p1", "p2", "p3"}, during: (*site).stopOtherBoxes, refused: true},
	}
}

// silenceStore makes the store leave all requests unanswered.
func (s *site) silenceStore() { s.store.SetFault(standin.Silent) }

// stopOtherBoxes stops all boxes but the first, which may not be the home of any group yet.
func (s *site) stopOtherBoxes() {
	for _, b := range s.boxes[1:] {
		b.stop()
		<-b.done
	}
}

// run closes the case's endpoints with closeOne and loads the first box. Once the box has logged
// line for each of them, it waits for two rests and calls judge for each closed endpoint with the
// time from which the box must comply.
func (c closedCase) run(t *testing.T, line string, closeOne func(e *standin.Endpoint), judge func(e *standin.Endpoint, told time.Time)) {
	s := newSite(t, 3, c.endpoints...)
	for _, id := range c.closed {
		closeOne(s.endpoints[id])
	}
	p := s.startLoad(c.path, s.boxes[0])
	for _, id := range c.closed {
		s.eventually("the box is told", func() bool { return s.logged(line, "box-1", id) })
	}
	told := time.Now().Add(restDelay)
	if c.during != nil {
		c.during(s)
	}
	time.Sleep(2 * restPeriod)
	p.stop()
	for _, id := range c.closed {
		judge(s.endpoints[id], told)
	}
	t.Logf("served %d, refused with Retry-After %d, without %d", p.served.Load(), p.refused.Load(), p.without.Load())
	convey.So(p.without.Load(), convey.ShouldEqual, 0)
	if !c.refused {
		convey.So(p.refused.Load(), convey.ShouldEqual, 0)
	}
}

func TestEndpointsThatLeaveGetRequests(t *testing.T) {
	for name, c := range closedCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			convey.Convey("An endpoint receives nothing from a box that it has notified that it leaves", t, func() {
				c.run(t, "endpoint_closed", (*standin.Endpoint).Leave, func(e *standin.Endpoint, told time.Time) {
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
			convey.Convey("An endpoint receives almost nothing from a box that it asked for a rest", t, func() {
				tire := func(e *standin.Endpoint) { e.RejectWithRest(restPeriod) }
				c.run(t, "endpoint_closed", tire, func(e *standin.Endpoint, _ time.Time) {
					t.Logf("%s: at most %d in one of %d rests", e.ID, e.Arrivals().DuringRests(restDelay), e.Arrivals().Rests())
					convey.So(e.Arrivals().DuringRests(restDelay), convey.ShouldBeLessThanOrEqualTo, maxDuringRest)
				})
			})
		})
	}
}
