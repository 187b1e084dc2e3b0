// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform/standin"
)

const (
	// namedLimit is the limit that endpoints of these tests announce, in requests per second.
	namedLimit = 4
	// limitWindow is the window over which the requirement applies, and limitBound the most
	// requests that an endpoint may receive in any such window.
	limitWindow = 4 * time.Second
	limitBound  = 1.5*namedLimit*4 + 5
	// limitDelay is how long after boxes know a limit they must comply with it.
	limitDelay = 500 * time.Millisecond
	// loadedBoxes is how many boxes receive requests; the others are only homes.
	loadedBoxes = 2
)

// logged reports whether a box has logged a message about an endpoint.
func (s *site) logged(message, box, endpoint string) bool {
	for line := range strings.Lines(s.logs.String()) {
		if strings.Contains(line, "msg="+message) && strings.Contains(line, "box="+box+" ") &&
			strings.Contains(line, "engine="+endpoint+" ") {
			return true
		}
	}
	return false
}

// waitForLimits waits until the first boxes know the limits of the given endpoints, from the
// endpoint's own answers or from its home, and for limitDelay after that.
func (s *site) waitForLimits(boxes int, endpoints ...string) {
	s.t.Helper()
	for i := range boxes {
		for _, id := range endpoints {
			box := fmt.Sprintf("box-%d", i+1)
			s.eventually("the box knows the limit", func() bool {
				return s.logged("endpoint_limit_told", box, id) || s.logged("endpoint_limit_heard", box, id)
			})
		}
	}
	time.Sleep(limitDelay)
}

// requestLoad is a continuous load of requests and counts their results; without counts those that
// were neither served nor refused with a Retry-After header.
type requestLoad struct {
	stop                     func()
	served, refused, without atomic.Int64
}

const (
	// sendersPerBox is the number of concurrent senders per box, and sendInterval the least time between
	// two requests of a sender: far more load than the endpoints of these tests accept.
	sendersPerBox = 4
	sendInterval  = 30 * time.Millisecond
)

// startLoad sends up to about 130 requests per second to each box until it is stopped.
func (s *site) startLoad(path string, boxes ...*runningBox) *requestLoad {
	p := &requestLoad{}
	over := make(chan struct{})
	var running sync.WaitGroup
	for _, b := range boxes {
		for range sendersPerBox {
			running.Go(func() {
				tick := time.NewTicker(sendInterval)
				defer tick.Stop()
				for {
					select {
					case <-over:
						return
					case <-tick.C:
					}
					p.count(s.send(b, http.MethodPost, path, "prompt", nil))
				}
			})
		}
	}
	p.stop = func() {
		close(over)
		running.Wait()
	}
	return p
}

func (p *requestLoad) count(a answer) {
	switch {
	case a.status == http.StatusOK:
		p.served.Add(1)
	case a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != "":
		p.refused.Add(1)
	default:
		p.without.Add(1)
	}
}

func TestNamedLimit(t *testing.T) {
	cases := map[string]struct {
		path      string
		endpoints []standin.EndpointConfig
		// limited are the endpoints that announce the limit.
		limited []string
		// during, if set, is called halfway; it may stop the last box.
		during func(s *site)
	}{
		"some of the plain ones":     {path: "/safe/x", endpoints: plainEndpoints(), limited: []string{"p1", "p2"}},
		"all of the plain ones":      {path: "/unsafe/x", endpoints: plainEndpoints(), limited: []string{"p1", "p2", "p3"}},
		"that prefill":               {path: "/stream/x", endpoints: modelEndpoints(), limited: []string{"pre1"}},
		"that decode":                {path: "/resumable/x", endpoints: modelEndpoints(), limited: []string{"dec1", "dec2"}},
		"while a box ends":           {path: "/safe/x", endpoints: plainEndpoints(), limited: []string{"p1", "p2", "p3"}, during: (*site).stopLastBox},
		"while a box starts":         {path: "/safe/x", endpoints: plainEndpoints(), limited: []string{"p1", "p2", "p3"}, during: (*site).startAnotherBox},
		"that turn requests away":    {path: "/safe/x", endpoints: plainEndpoints(), limited: []string{"p1", "p2"}, during: (*site).rejectRequests},
		"whose answers are lost":     {path: "/safe/x", endpoints: plainEndpoints(), limited: []string{"p1", "p2"}, during: (*site).loseAnswers},
		"that decode, a box ends":    {path: "/stream/x", endpoints: modelEndpoints(), limited: []string{"dec1", "dec2"}, during: (*site).stopLastBox},
		"that prefill, a box starts": {path: "/stream/x", endpoints: modelEndpoints(), limited: []string{"pre1"}, during: (*site).startAnotherBox},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			convey.Convey("Endpoints that announce a limit receive no more from all boxes together, but do receive requests", t, func() {
				s := newSite(t, 3, c.endpoints...)
				for _, id := range c.limited {
					s.endpoints[id].NameLimit(namedLimit)
				}
				p := s.startLoad(c.path, s.boxes[:loadedBoxes]...)
				s.waitForLimits(loadedBoxes, c.limited...)
				from := time.Now()
				time.Sleep(limitWindow / 2)
				if c.during != nil {
					c.during(s)
				}
				time.Sleep(limitWindow)
				for _, id := range c.limited {
					s.eventually("the endpoint gets some", func() bool { return s.endpoints[id].Arrivals().Since(from) >= namedLimit })
				}
				p.stop()
				for _, id := range c.limited {
					fullest := s.endpoints[id].Arrivals().Fullest(limitWindow, from)
					t.Logf("%s: %d in the fullest window, %d in all", id, fullest, s.endpoints[id].Arrivals().Since(from))
					convey.So(fullest, convey.ShouldBeLessThanOrEqualTo, int(limitBound))
				}
				t.Logf("served %d, refused with Retry-After %d, without %d", p.served.Load(), p.refused.Load(), p.without.Load())
				convey.So(p.without.Load(), convey.ShouldEqual, 0)
			})
		})
	}
}

// stopLastBox stops the last box, which is the home of some groups.
func (s *site) stopLastBox() {
	last := s.boxes[len(s.boxes)-1]
	last.stop()
	<-last.done
}

// startAnotherBox starts another box, which becomes the home of some groups.
func (s *site) startAnotherBox() {
	b := s.start("box-4")
	s.eventually("the box that starts is ready", b.Ready)
}

// rejectRequests makes an endpoint reject all requests.
func (s *site) rejectRequests() { s.endpoints["p1"].Behave(standin.Full) }

// loseAnswers makes an endpoint close connections instead of answering.
func (s *site) loseAnswers() { s.endpoints["p1"].Behave(standin.Lost) }

// TestLimitThatEnds checks that an endpoint is no longer limited once its answers announce no limit.
func TestLimitThatEnds(t *testing.T) {
	convey.Convey("An endpoint whose answers no longer announce a limit is not limited", t, func() {
		s := newSite(t, 2, plainEndpoints()[0])
		e := s.endpoints["p1"]
		e.NameLimit(namedLimit)
		p := s.startLoad("/safe/x", s.boxes...)
		s.waitForLimits(len(s.boxes), e.ID)
		p.stop()
		e.NameNoLimit()
		before := len(e.Runs())
		for range 5 * namedLimit {
			for _, b := range s.boxes {
				s.eventually("it is served", func() bool { return s.send(b, http.MethodPost, "/safe/x", "", nil).status == http.StatusOK })
			}
		}
		convey.So(len(e.Runs())-before, convey.ShouldBeGreaterThanOrEqualTo, 10*namedLimit)
	})
}
