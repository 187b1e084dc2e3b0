// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform/standin"
)

// streamBody returns the complete body of a stream of n events.
func streamBody(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

func TestAnswersUnchanged(t *testing.T) {
	convey.Convey("A request reaches an endpoint as it was sent, and its answer comes back unchanged", t, func() {
		s := newSite(t, 2, append(plainEndpoints(), modelEndpoints()...)...)
		for _, b := range s.boxes {
			a := s.send(b, http.MethodPost, "/unsafe/x?y=1", "the body", map[string]string{
				"X-Deadline-Ms": "4000", "X-Expect-Instance": "forged", "X-Stage": "prefill", "X-Kv-Source": "1.2.3.4:5/h",
				"X-Request-Priority": "0", "X-Other": "kept",
			})
			convey.So(a.status, convey.ShouldEqual, http.StatusOK)
			convey.So(a.body, convey.ShouldStartWith, "answer of p")
			convey.So(a.header.Get("X-Server-Signature"), convey.ShouldEqual, "signed."+strings.TrimPrefix(a.body, "answer of "))
			convey.So(a.header.Get("X-Request-Id"), convey.ShouldEqual, a.id)
			run := s.runByID(a.id)
			convey.So(run.Method, convey.ShouldEqual, http.MethodPost)
			convey.So(run.Target, convey.ShouldEqual, "/unsafe/x?y=1")
			convey.So(run.Body, convey.ShouldEqual, "the body")
			convey.So(run.Header.Get("X-Other"), convey.ShouldEqual, "kept")
			convey.So(run.Header.Get("X-Stage"), convey.ShouldBeEmpty)
			convey.So(run.Header.Get("X-Kv-Source"), convey.ShouldBeEmpty)
			convey.So(run.Header.Get("X-Request-Priority"), convey.ShouldBeEmpty)
			convey.So(run.Deadline, convey.ShouldBeBetween, 1, 4001)
		}
	})
	convey.Convey("A stream comes event by event, after a prefill elsewhere", t, func() {
		s := newSite(t, 2, modelEndpoints()...)
		a := s.send(s.boxes[0], http.MethodPost, "/stream/x", "prompt", nil)
		convey.So(a.status, convey.ShouldEqual, http.StatusOK)
		convey.So(a.complete, convey.ShouldBeTrue)
		convey.So(a.body, convey.ShouldEqual, streamBody(6))
		convey.So(s.runs(a.id), convey.ShouldEqual, 1)
	})
}

// readyzOK reports whether a box answers the readiness check of the platform's load balancer with 200.
func (s *site) readyzOK(b *runningBox) bool {
	resp, err := http.Get("http://" + b.readyAddr + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// runByID returns a run of the request with this id, and fails the test if there is none.
func (s *site) runByID(id string) standin.Run {
	for _, e := range s.endpoints {
		for _, r := range e.Runs() {
			if r.ID == id {
				return r
			}
		}
	}
	s.t.Fatalf("request %s did not run", id)
	return standin.Run{}
}

func TestManners(t *testing.T) {
	type expected struct {
		status int
		// runs is how many times endpoints must have run the request.
		runs int
		// retry is set if the answer must have a Retry-After header.
		retry bool
	}
	cases := map[string]struct {
		manner standin.AnswerMode
		path   string
		want   expected
	}{
		"unsafe, turned away":          {standin.Full, "/unsafe/x", expected{http.StatusServiceUnavailable, 0, true}},
		"unsafe, lost":                 {standin.Lost, "/unsafe/x", expected{http.StatusBadGateway, 1, false}},
		"unsafe, cut":                  {standin.Cut, "/unsafe/x", expected{http.StatusBadGateway, 1, false}},
		"unsafe, failing":              {standin.Failing, "/unsafe/x", expected{http.StatusInternalServerError, 1, false}},
		"unsafe, unsigned":             {standin.Unsigned, "/unsafe/x", expected{http.StatusBadGateway, 1, false}},
		"unsafe, unframed and reset":   {standin.UnframedReset, "/unsafe/x", expected{http.StatusBadGateway, 1, false}},
		"unsafe, hanging":              {standin.Hanging, "/short/x", expected{http.StatusGatewayTimeout, 1, false}},
		"unsafe, encoded":              {standin.Encoded, "/unsafe/x", expected{http.StatusBadGateway, 1, false}},
		"safe, lost":                   {standin.Lost, "/safe/x", expected{http.StatusBadGateway, 2, false}},
		"safe, failing":                {standin.Failing, "/safe/x", expected{http.StatusInternalServerError, 2, false}},
		"safe, turned away":            {standin.Full, "/safe/x", expected{http.StatusServiceUnavailable, 0, true}},
		"unsafe, a second answer more": {standin.Extra, "/unsafe/x", expected{http.StatusOK, 1, false}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				s := newSite(t, 1, plainEndpoints()...)
				for _, e := range s.endpoints {
					e.Behave(c.manner)
				}
				a := s.send(s.boxes[0], http.MethodPost, c.path, "x", nil)
				convey.So(a.status, convey.ShouldEqual, c.want.status)
				convey.So(s.runs(a.id), convey.ShouldEqual, c.want.runs)
				convey.So(a.header.Get("Retry-After") != "", convey.ShouldEqual, c.want.retry)
			})
		})
	}
}

func TestSecondAnswerBelongsToNobody(t *testing.T) {
	convey.Convey("Bytes after an answer never reach a later request", t, func() {
		s := newSite(t, 1, plainEndpoints()[:1]...)
		s.endpoints["p1"].Behave(standin.Extra)
		for range 5 {
			a := s.send(s.boxes[0], http.MethodGet, "/safe/x", "", nil)
			convey.So(a.status, convey.ShouldEqual, http.StatusOK)
			convey.So(a.body, convey.ShouldEqual, "whole")
			convey.So(a.header.Get("X-Request-Id"), convey.ShouldEqual, a.id)
		}
	})
}

func TestSafeGoesElsewhere(t *testing.T) {
	convey.Convey("A safe request that one endpoint lost is answered by another", t, func() {
		s := newSite(t, 1, plainEndpoints()[:2]...)
		s.endpoints["p1"].Behave(standin.Lost)
		for range 4 {
			a := s.send(s.boxes[0], http.MethodGet, "/safe/x", "", nil)
			convey.So(a.status, convey.ShouldEqual, http.StatusOK)
			convey.So(a.body, convey.ShouldEqual, "answer of p2")
		}
	})
}

func TestRetryBudget(t *testing.T) {
	convey.Convey("Without a budget a failed request is answered at once, and not sent again", t, func() {
		s := newSiteWith(t, 0, 1, plainEndpoints()...)
		for _, e := range s.endpoints {
			e.Behave(standin.Lost)
		}
		a := s.send(s.boxes[0], http.MethodGet, "/safe/x", "", nil)
		convey.So(a.status, convey.ShouldEqual, http.StatusBadGateway)
		convey.So(s.runs(a.id), convey.ShouldEqual, 1)
		for _, e := range s.endpoints {
			e.Behave(standin.Full)
		}
		a = s.send(s.boxes[0], http.MethodGet, "/safe/x", "", nil)
		convey.So(a.status, convey.ShouldEqual, http.StatusServiceUnavailable)
		convey.So(a.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
	})
	convey.Convey("A prefill that an engine rejected is the request's first arrival: without a budget nothing follows", t, func() {
		s := newSiteWith(t, 0, 1, modelEndpoints()...)
		s.endpoints["pre1"].Behave(standin.Full)
		a := s.send(s.boxes[0], http.MethodPost, "/stream/x", "prompt", nil)
		convey.So(a.status, convey.ShouldEqual, http.StatusServiceUnavailable)
		convey.So(s.runs(a.id), convey.ShouldEqual, 0)
		arrivals := 0
		for _, e := range s.endpoints {
			arrivals += e.Sends()
		}
		convey.So(arrivals, convey.ShouldEqual, 1)
	})
	convey.Convey("An endpoint's own failure is passed on when there is no budget for a retry", t, func() {
		s := newSiteWith(t, 0, 1, plainEndpoints()...)
		for _, e := range s.endpoints {
			e.Behave(standin.Failing)
		}
		a := s.send(s.boxes[0], http.MethodGet, "/safe/x", "", nil)
		convey.So(a.status, convey.ShouldEqual, http.StatusInternalServerError)
		convey.So(a.header.Get("X-Server-Signature"), convey.ShouldNotBeEmpty)
		convey.So(s.runs(a.id), convey.ShouldEqual, 1)
	})
}

func TestEarlyAnswers(t *testing.T) {
	convey.Convey("After an early answer to a long body, no other request is sent in place of the rest of the body", t, func() {
		s := newSite(t, 1, plainEndpoints()[:1]...)
		s.endpoints["p1"].Behave(standin.Early)
		body := strings.Repeat("b", 90_000)
		for range 3 {
			a := s.send(s.boxes[0], http.MethodPost, "/unsafe/x", body, nil)
			convey.So(a.status, convey.ShouldEqual, http.StatusServiceUnavailable)
		}
		s.eventually("the connections have ended", func() bool { return len(s.endpoints["p1"].Late()) > 0 })
		for _, late := range s.endpoints["p1"].Late() {
			convey.So(strings.Trim(late, "b"), convey.ShouldBeEmpty)
		}
	})
}

func TestRecovery(t *testing.T) {
	convey.Convey("Boxes that were all replaced at once serve again, and find each other", t, func() {
		s := newSite(t, 2, plainEndpoints()...)
		for _, b := range s.boxes {
			b.stop()
		}
		for _, b := range s.boxes {
			<-b.done
		}
		s.boxes = nil
		for _, name := range []string{"box-1", "box-2", "box-3"} {
			s.start(name)
		}
		for _, b := range s.boxes {
			s.eventually("the box serves", func() bool {
				return s.send(b, http.MethodGet, "/safe/x", "", nil).status == http.StatusOK
			})
		}
		for _, b := range s.boxes {
			s.eventually("the box knows the others", func() bool { return b.LiveBoxes() == 3 })
		}
	})
}

func TestBrokenStreams(t *testing.T) {
	convey.Convey("A stream that may not be resumed never looks whole when it was cut", t, func() {
		s := newSite(t, 1, modelEndpoints()...)
		s.endpoints["dec1"].Behave(standin.Cut)
		s.endpoints["dec2"].Behave(standin.Cut)
		a := s.send(s.boxes[0], http.MethodPost, "/stream/x", "prompt", nil)
		convey.So(a.status, convey.ShouldEqual, http.StatusOK)
		convey.So(a.complete, convey.ShouldBeFalse)
		convey.So(streamBody(6), convey.ShouldStartWith, a.body)
		convey.So(s.runs(a.id), convey.ShouldEqual, 1)
	})
	convey.Convey("A resumable one goes on at another engine, with no event missing or doubled", t, func() {
		s := newSite(t, 1, modelEndpoints()...)
		s.endpoints["dec1"].Behave(standin.Cut)
		for range 3 {
			a := s.send(s.boxes[0], http.MethodPost, "/resumable/x", "prompt", nil)
			convey.So(a.complete, convey.ShouldBeTrue)
			convey.So(a.body, convey.ShouldEqual, streamBody(6))
		}
	})
}

func TestKeptResults(t *testing.T) {
	convey.Convey("A prefill result is used again when the decode engine rejected the request, and freed at the end", t, func() {
		s := newSite(t, 1, modelEndpoints()...)
		s.endpoints["dec1"].Behave(standin.Full)
		s.endpoints["dec2"].Behave(standin.Full)
		a := s.send(s.boxes[0], http.MethodPost, "/stream/x", "prompt", nil)
		convey.So(a.status, convey.ShouldEqual, http.StatusServiceUnavailable)
		convey.So(a.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
		convey.So(s.runs(a.id), convey.ShouldEqual, 0)
		convey.So(s.endpoints["pre1"].Sends(), convey.ShouldEqual, 1)
		convey.So(len(s.endpoints["pre1"].Runs()), convey.ShouldEqual, 0)
		s.eventually("the result is freed", func() bool { return s.endpoints["pre1"].Kept() == 0 })
	})
	convey.Convey("A prefill result is freed when the decode engine gave no answer: it may not have fetched it", t, func() {
		s := newSite(t, 1, modelEndpoints()...)
		s.endpoints["dec1"].Behave(standin.Lost)
		s.endpoints["dec2"].Behave(standin.Lost)
		a := s.send(s.boxes[0], http.MethodPost, "/stream/x", "prompt", nil)
		convey.So(a.status, convey.ShouldEqual, http.StatusBadGateway)
		s.eventually("the result is freed", func() bool { return s.endpoints["pre1"].Kept() == 0 })
	})
}

func TestCallerGone(t *testing.T) {
	cases := map[string]struct {
		endpoints []standin.EndpointConfig
		path      string
		// hangs is the endpoint that does not answer, and spared one that must not
		// receive the request.
		hangs, spared string
	}{
		"a plain request runs":    {endpoints: plainEndpoints()[:1], path: "/long/x", hangs: "p1"},
		"the prompt is prefilled": {endpoints: modelEndpoints()[:2], path: "/stream/x", hangs: "pre1", spared: "dec1"},
		"the stream is to begin":  {endpoints: modelEndpoints()[:2], path: "/stream/x", hangs: "dec1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Work ends when the caller has gone", t, func() {
				s := newSite(t, 1, c.endpoints...)
				s.endpoints[c.hangs].Behave(standin.Hanging)
				leaver := s.startRequest(s.boxes[0], c.path, "leaver")
				s.eventually("the request is at the endpoint", func() bool { return s.endpoints[c.hangs].Sends() == 1 })
				convey.So(leaver.Close(), convey.ShouldBeNil)
				s.eventually("its work has ended", func() bool { return s.endpoints[c.hangs].Ended() == 1 })
				s.eventually("the box is done with it", func() bool { return s.boxes[0].Active() == 0 })
				convey.So(s.endpoints[c.hangs].Sends(), convey.ShouldEqual, 1)
				if c.spared != "" {
					convey.So(s.endpoints[c.spared].Sends(), convey.ShouldEqual, 0)
				}
			})
		})
	}
	convey.Convey("A caller that leaves while it waits for a slot is never sent to an endpoint", t, func() {
		const slots = 8
		s := newSite(t, 1, plainEndpoints()[:1]...)
		s.endpoints["p1"].Behave(standin.Hanging)
		var busy []net.Conn
		for i := range slots {
			busy = append(busy, s.startRequest(s.boxes[0], "/long/x", fmt.Sprintf("busy-%d", i)))
		}
		s.eventually("all slots are taken", func() bool { return s.endpoints["p1"].Sends() == slots })
		leaver := s.startRequest(s.boxes[0], "/long/x", "leaver")
		s.eventually("it waits", func() bool { return s.boxes[0].Active() == slots+1 })
		convey.So(leaver.Close(), convey.ShouldBeNil)
		s.eventually("the box is done with it", func() bool { return s.boxes[0].Active() == slots })
		for _, c := range busy {
			convey.So(c.Close(), convey.ShouldBeNil)
		}
		s.eventually("the others have ended", func() bool { return s.endpoints["p1"].Ended() == slots })
		convey.So(s.runs("leaver"), convey.ShouldEqual, 0)
	})
}

func TestConfigurationArrives(t *testing.T) {
	convey.Convey("A box applies each newer configuration, even after a lost history and watches that deliver nothing", t, func() {
		s := newSite(t, 2, plainEndpoints()...)
		served := func(version int) func() bool {
			return func() bool {
				for _, b := range s.boxes {
					if s.send(b, http.MethodGet, "/added-"+strconv.Itoa(version)+"/x", "", nil).status != http.StatusOK {
						return false
					}
				}
				return true
			}
		}
		convey.So(s.send(s.boxes[0], http.MethodGet, "/added-2/x", "", nil).status, convey.ShouldEqual, http.StatusNotFound)
		s.store.Put("config", "main", configuration(2))
		s.eventually("version 2 is in force", served(2))
		s.store.HangWatches(true)
		s.store.Put("config", "main", configuration(3))
		s.store.Forget()
		s.store.HangWatches(false)
		s.eventually("version 3 is in force", served(3))
		s.store.SetFault(standin.Busy)
		convey.So(served(3)(), convey.ShouldBeTrue)
		s.store.SetFault(standin.Healthy)
		s.store.Put("config", "main", configuration(4))
		s.eventually("version 4 is in force", served(4))
	})
}

func TestBoxWithoutConfiguration(t *testing.T) {
	convey.Convey("A box without a configuration answers 503, not 404, and is not ready", t, func() {
		s := newSite(t, 0, plainEndpoints()...)
		s.store.SetFault(standin.Busy)
		b := s.start("box-1")
		a := s.send(b, http.MethodGet, "/safe/x", "", nil)
		convey.So(a.status, convey.ShouldEqual, http.StatusServiceUnavailable)
		convey.So(a.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
		convey.So(b.Ready(), convey.ShouldBeFalse)
		s.store.SetFault(standin.Healthy)
		s.eventually("the box is ready", b.Ready)
		convey.So(s.send(b, http.MethodGet, "/safe/x", "", nil).status, convey.ShouldEqual, http.StatusOK)
	})
	convey.Convey("A box that starts while the store is down learns from another box", t, func() {
		s := newSite(t, 1, plainEndpoints()...)
		s.eventually("the box is listed", func() bool { return len(s.store.Names("boxes")) == 1 })
		convey.So(s.store.Names("boxes"), convey.ShouldResemble, []string{"box-1"})
	})
}

func TestDraining(t *testing.T) {
	convey.Convey("An endpoint that announces that it leaves receives no further requests", t, func() {
		s := newSite(t, 1, plainEndpoints()[:2]...)
		s.store.Put("servers", "p1", s.endpoints["p1"].Spec(true))
		s.eventually("the box knows that it leaves", func() bool { return s.boxes[0].knowsUnusable("p1") })
		before := s.endpoints["p1"].Sends()
		for range 6 {
			a := s.send(s.boxes[0], http.MethodGet, "/safe/x", "", nil)
			convey.So(a.body, convey.ShouldEqual, "answer of p2")
		}
		convey.So(s.endpoints["p1"].Sends(), convey.ShouldEqual, before)
	})
	convey.Convey("Requests for an endpoint whose address belongs to another one by now do not run there", t, func() {
		s := newSite(t, 1, plainEndpoints()[:2]...)
		// The store lists p3 at the address of p2.
		spec := s.endpoints["p2"].Spec(false)
		s.store.Put("servers", "p3", spec)
		s.store.Delete("servers", "p1")
		s.store.Delete("servers", "p2")
		s.eventually("requests are refused", func() bool {
			return s.send(s.boxes[0], http.MethodPost, "/unsafe/x", "", nil).status == http.StatusServiceUnavailable
		})
		before := len(s.endpoints["p2"].Runs())
		a := s.send(s.boxes[0], http.MethodPost, "/unsafe/x", "", nil)
		convey.So(a.status, convey.ShouldEqual, http.StatusServiceUnavailable)
		convey.So(len(s.endpoints["p2"].Runs()), convey.ShouldEqual, before)
	})
}

func TestFraming(t *testing.T) {
	head := "POST /unsafe/x HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: framed\r\n"
	cases := map[string]struct {
		text   string
		status int
	}{
		"length and chunked":      {head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", http.StatusBadRequest},
		"two lengths":             {head + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", http.StatusBadRequest},
		"signed length":           {head + "Content-Length: +4\r\n\r\nbody", http.StatusBadRequest},
		"unknown encoding":        {head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", http.StatusBadRequest},
		"space before the colon":  {head + "Content-Length : 4\r\n\r\nbody", http.StatusBadRequest},
		"folded line":             {head + "X-A: 1\r\n folded\r\n\r\n", http.StatusBadRequest},
		"bare line feed":          {head + "X-A: 1\nX-B: 2\r\n\r\n", http.StatusBadRequest},
		"two hosts":               {head + "Host: other\r\n\r\n", http.StatusBadRequest},
		"no host":                 {"GET /safe/x HTTP/1.1\r\nX-Request-Id: framed\r\n\r\n", http.StatusBadRequest},
		"head too large":          {head + "X-A: " + strings.Repeat("a", 9000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"body too large":          {head + "Content-Length: 100001\r\n\r\n", http.StatusRequestEntityTooLarge},
		"chunks too large":        {head + "Transfer-Encoding: chunked\r\n\r\n" + "186a1\r\n" + strings.Repeat("a", 100001) + "\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
		"chunked is served":       {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", http.StatusOK},
		"length is served":        {head + "Content-Length: 4\r\n\r\nbody", http.StatusOK},
		"unknown route":           {"GET /nowhere/x HTTP/1.1\r\nHost: " + host + "\r\n\r\n", http.StatusNotFound},
		"prefix without its path": {"GET /safe HTTP/1.1\r\nHost: " + host + "\r\n\r\n", http.StatusNotFound},
	}
	s := newSite(t, 1, plainEndpoints()...)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				before := s.allRuns()
				a := s.sendRaw(s.boxes[0], c.text)
				convey.So(a.status, convey.ShouldEqual, c.status)
				convey.So(s.allRuns()-before, convey.ShouldEqual, map[bool]int{true: 1}[c.status == http.StatusOK])
			})
		})
	}
}
