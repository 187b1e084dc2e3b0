// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform/standin"
	"runridge.example/runridge/transport/reach"
)

// linkState is the state of the links of one box to all endpoints; the zero value means that they are up.
type linkState uint8

const (
	// linksHang: nothing that is sent arrives, and new connections get no answer.
	linksHang linkState = iota + 1
	// linksReset: open connections are reset and new ones refused.
	linksReset
	// linksRefuse: open connections live on, new ones are refused.
	linksRefuse
	// linksSwallow: new connections are accepted, as by a forwarder, but nothing that is sent arrives.
	linksSwallow
)

// hangTimeout is after how long a dial over links that hang fails.
const hangTimeout = time.Second

// endpointLinks are the links of one box to all endpoints.
type endpointLinks struct {
	mutex sync.Mutex
	state linkState
	conns []*linkConn
}

// linkConn is a connection over endpointLinks.
type linkConn struct {
	net.Conn
	links *endpointLinks
	reset bool
}

// current returns the state of the links.
func (l *endpointLinks) current() linkState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state
}

// set changes the state of the links.
func (l *endpointLinks) set(state linkState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.state = state
	if state != linksReset {
		return
	}
	for _, c := range l.conns {
		c.reset = true
		_ = c.Close()
	}
}

// dial is the reach.Dial of the box.
func (l *endpointLinks) dial(ctx context.Context, address string) (net.Conn, error) {
	switch l.current() {
	case linksHang:
		select {
		case <-ctx.Done():
		case <-time.After(hangTimeout):
		}
		return nil, os.ErrDeadlineExceeded
	case linksReset, linksRefuse:
		return nil, syscall.ECONNREFUSED
	}
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := &linkConn{Conn: raw, links: l}
	l.conns = append(l.conns, c)
	return c, nil
}

// Read reads from the connection.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, c.explain(err)
}

// Write writes to the connection; over links that hang or swallow nothing arrives.
func (c *linkConn) Write(p []byte) (int, error) {
	if state := c.links.current(); state == linksHang || state == linksSwallow {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	return n, c.explain(err)
}

func (c *linkConn) explain(err error) error {
	c.links.mutex.Lock()
	defer c.links.mutex.Unlock()
	if err != nil && c.reset {
		return syscall.ECONNRESET
	}
	return err
}

const (
	// lostLinksSettle is the time after which a box serves although it has lost its links.
	lostLinksSettle = 3 * time.Second
	// lostLinksRequests is how many requests of each path are sent to each box in these tests.
	lostLinksRequests = 20
	// minServedRatio is the part of the other boxes' share of answered requests that a box without
	// links has to reach.
	minServedRatio = 2.0 / 3
)

// newSiteWithLinks is newSite with three boxes; the first of them reaches endpoints over links.
func newSiteWithLinks(t *testing.T, links *endpointLinks) *site {
	t.Helper()
	s := newSite(t, 0)
	s.dialEndpoint = map[string]reach.Dial{"box-1": links.dial}
	for _, cfg := range append(plainEndpoints(), modelEndpoints()...) {
		s.add(cfg)
	}
	for i := range 3 {
		s.start(fmt.Sprintf("box-%d", i+1))
	}
	for _, b := range s.boxes {
		s.eventually("the box is ready and knows the endpoints and the other boxes", func() bool {
			return b.Ready() && b.LiveBoxes() == len(s.boxes) && len(b.Directory().Statuses(plainService)) == len(plainEndpoints()) &&
				len(b.Directory().Statuses(modelService)) == len(modelEndpoints())
		})
	}
	return s
}

// answered sends requests on a path to a box, five at a time, and returns how many are answered.
func (s *site) answered(b *runningBox, path string, count int) int {
	const concurrent = 5
	var mutex sync.Mutex
	var senders sync.WaitGroup
	ok := 0
	for range concurrent {
		senders.Go(func() {
			for range count / concurrent {
				a := s.send(b, http.MethodGet, path, "", nil)
				mutex.Lock()
				if a.status == http.StatusOK && a.complete {
					ok++
				}
				mutex.Unlock()
			}
		})
	}
	senders.Wait()
	return ok
}

// checkServedWithoutLinks checks that callers of a box whose links are in the given state are served
// nearly as often as those of another box.
func checkServedWithoutLinks(t *testing.T, state linkState) {
	t.Helper()
	links := &endpointLinks{}
	s := newSiteWithLinks(t, links)
	paths := []string{"/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"}
	for _, path := range paths {
		convey.So(s.answered(s.boxes[0], path, lostLinksRequests), convey.ShouldEqual, lostLinksRequests)
	}
	links.set(state)
	for begin := time.Now(); time.Since(begin) < lostLinksSettle; {
		for _, path := range paths {
			s.answered(s.boxes[0], path, 5)
		}
	}
	for _, path := range paths {
		cut, other := s.answered(s.boxes[0], path, lostLinksRequests), s.answered(s.boxes[1], path, lostLinksRequests)
		convey.So(float64(other), convey.ShouldBeGreaterThanOrEqualTo, minServedRatio*lostLinksRequests)
		convey.So(float64(cut), convey.ShouldBeGreaterThanOrEqualTo, minServedRatio*float64(other))
	}
}

// Callers of a box that reaches no endpoint are served nearly as often as those of other boxes.
func TestBoxThatLostItsLinksToEndpointsFailsItsCallers(t *testing.T) {
	cases := map[string]linkState{"hang": linksHang, "are reset": linksReset, "refuse new connections": linksRefuse}
	for name, state := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Callers of a box whose links "+name+" are served nearly as often as others", t, func() {
				checkServedWithoutLinks(t, state)
			})
		})
	}
}

// Links that accept connections and pass nothing on are told from endpoints that are slow.
func TestBoxWhoseLinksSwallowRequestsFailsItsCallers(t *testing.T) {
	convey.Convey("Callers of a box whose links swallow requests are served nearly as often as others", t, func() {
		checkServedWithoutLinks(t, linksSwallow)
	})
}

// The lost links of one box take no endpoint out for the boxes that reach it.
func TestEndpointThatOneBoxDoesNotReachIsEjectedForAll(t *testing.T) {
	convey.Convey("An endpoint that refuses one box alone goes on serving the others", t, func() {
		links := &endpointLinks{}
		s := newSiteWithLinks(t, links)
		for _, b := range s.boxes {
			convey.So(s.answered(b, "/safe/x", lostLinksRequests), convey.ShouldEqual, lostLinksRequests)
		}
		links.set(linksReset)
		for range 10 {
			s.answered(s.boxes[0], "/safe/x", 5)
			convey.So(s.answered(s.boxes[1], "/safe/x", 5), convey.ShouldEqual, 5)
		}
		convey.So(strings.Contains(s.logs.String(), "engine_ejected"), convey.ShouldBeFalse)
	})
}

// Requests of a box that has lost its links are not suspected of ending endpoints.
func TestEndpointThatRefusesOneBoxCountsAsEnded(t *testing.T) {
	convey.Convey("Requests that break off with the links of their box are not suspected", t, func() {
		links := &endpointLinks{}
		s := newSiteWithLinks(t, links)
		for _, e := range s.endpoints {
			e.Behave(standin.Hanging)
		}
		const inFlight = 6
		for i := range inFlight {
			c := s.startRequest(s.boxes[0], "/unsafe/x", fmt.Sprintf("broken-%d", i))
			defer func() { _ = c.Close() }()
		}
		s.eventually("the requests run", func() bool { return s.allRuns() == inFlight })
		links.set(linksReset)
		s.eventually("their exchanges have broken off", func() bool { return s.boxes[0].Active() == 0 })
		time.Sleep(hangTimeout)
		convey.So(strings.Contains(s.logs.String(), "endpoint_ended"), convey.ShouldBeFalse)
		convey.So(strings.Contains(s.logs.String(), "poison_suspected"), convey.ShouldBeFalse)
	})
}

// A planned stop cuts off no requests of other boxes that go through the box.
func TestStopOfTheBoxBetweenCutsOffRequests(t *testing.T) {
	convey.Convey("Streams through boxes that are stopped are whole", t, func() {
		links := &endpointLinks{}
		s := newSiteWithLinks(t, links)
		for _, e := range s.endpoints {
			e.EventGap = 100 * time.Millisecond
		}
		links.set(linksReset)
		const inFlight = 6
		answers := make(chan answer, inFlight)
		for range inFlight {
			go func() { answers <- s.send(s.boxes[0], http.MethodGet, "/stream/x", "", nil) }()
		}
		s.eventually("the streams run", func() bool { return s.allRuns() == inFlight })
		for _, b := range s.boxes[1:] {
			b.stop()
		}
		for range inFlight {
			a := <-answers
			convey.So(a.status, convey.ShouldEqual, http.StatusOK)
			convey.So(a.complete, convey.ShouldBeTrue)
		}
		for _, b := range s.boxes[1:] {
			<-b.done
		}
	})
}

// Callers in a region whose boxes have all lost their links are served through boxes of another one.
func TestRegionWhoseBoxesLostTheirLinksFailsItsCallers(t *testing.T) {
	cases := map[string]linkState{"hang": linksHang, "are reset": linksReset}
	for name, state := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Callers in a region whose boxes' links "+name+" are served nearly as often as others", t, func() {
				links := &endpointLinks{}
				s := newSite(t, 0)
				s.zones = map[string]string{"box-south-1": "zone-c", "box-south-2": "zone-c"}
				s.dialEndpoint = map[string]reach.Dial{"box-south-1": links.dial, "box-south-2": links.dial}
				for i, zone := range []string{"zone-a", "zone-a", "zone-c", "zone-c", "zone-c", "zone-c"} {
					s.add(standin.EndpointConfig{ID: fmt.Sprintf("p%d", i), Service: plainService, Zone: zone})
				}
				north := s.start("box-north")
				south := []*runningBox{s.start("box-south-1"), s.start("box-south-2")}
				for _, b := range s.boxes {
					s.eventually("the box is ready and knows the other boxes", func() bool { return b.Ready() && b.LiveBoxes() == len(s.boxes) })
				}
				links.set(state)
				for begin := time.Now(); time.Since(begin) < lostLinksSettle; {
					for _, b := range south {
						s.answered(b, "/safe/x", 5)
					}
				}
				other := s.answered(north, "/safe/x", lostLinksRequests)
				convey.So(float64(other), convey.ShouldBeGreaterThanOrEqualTo, minServedRatio*lostLinksRequests)
				for _, b := range south {
					cut := s.answered(b, "/safe/x", lostLinksRequests)
					convey.So(float64(cut), convey.ShouldBeGreaterThanOrEqualTo, minServedRatio*float64(other))
				}
			})
		})
	}
}
