// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform"
	"runridge.example/runridge/platform/standin"
	"runridge.example/runridge/tests/peer"
)

// answeredStatuses are the statuses that endpoints answer with in these tests, and whether a caller may take
// them for the promise that its request has not run.
var answeredStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusConflict: false, http.StatusTooEarly: false, http.StatusInternalServerError: false,
	http.StatusBadGateway: false, http.StatusGatewayTimeout: false,
}

// unbufferedBody is longer than the answers that a box reads whole before it sends them on.
var unbufferedBody = strings.Repeat("x", 300<<10)

// bodyForms are the bodies of answers, by how they are framed.
var bodyForms = map[string]peer.RawAnswer{
	"length":     {},
	"chunks":     {Fields: []string{"Transfer-Encoding: chunked"}, Framed: true, Body: asChunks(peer.RawBody)},
	"unframed":   {Framed: true},
	"empty":      {Fields: []string{"Content-Length: 0"}, Framed: true, Body: "\r\n"},
	"long":       {Fields: []string{"Content-Length: " + strconv.Itoa(len(unbufferedBody))}, Framed: true, Body: unbufferedBody},
	"cut, short": {Fields: []string{"Content-Length: 20"}, Framed: true},
}

// answeringSite returns a site with one endpoint of a service, which sends the given answers, and one box.
func answeringSite(t *testing.T, service string, form peer.RawAnswer, further ...string) (*site, *runningBox, *peer.Scripted) {
	t.Helper()
	names := platform.Names()
	e := peer.Script(t, true, func(r *http.Request) string {
		return form.Text(append(further, names.RequestID+": "+r.Header.Get(names.RequestID), names.Signature+": s", "Retry-After: 1")...)
	})
	spec := map[string]any{"service": service, "address": e.Address, "zone": "zone-a", "slots": 4}
	if service == modelService {
		spec["stage"] = "decode"
	}
	s := newSite(t, 0)
	s.store.Put("servers", "answering", standin.Entry(spec))
	b := s.start("box-1")
	s.eventually("the box is ready", b.Ready)
	return s, b, e
}

// Guards against an endpoint's status that promises its caller that the request has not run, though it has.
func TestRequestThatRanGetsAPromise(t *testing.T) {
	routes := map[string]struct {
		path, service string
		repeatable    bool
	}{
		"unsafe":           {path: "/unsafe/x", service: plainService},
		"stream":           {path: "/stream/x", service: modelService},
		"safe":             {path: "/safe/x", service: plainService, repeatable: true},
		"resumable stream": {path: "/resumable/x", service: modelService, repeatable: true},
	}
	for kind, route := range routes {
		for form, answer := range bodyForms {
			for status, promises := range answeredStatuses {
				t.Run(fmt.Sprintf("%s, %d, %s", kind, status, form), func(t *testing.T) {
					convey.Convey("A caller whose request may not be repeated gets no promise", t, func() {
						answer.Status = fmt.Sprintf("HTTP/1.1 %d Answered", status)
						s, b, e := answeringSite(t, route.service, answer)
						a := s.send(b, http.MethodPost, route.path, "x", nil)
						convey.So(len(e.Requests), convey.ShouldBeGreaterThan, 0)
						switch {
						case form == "cut, short":
							convey.So(a.status, convey.ShouldEqual, http.StatusBadGateway)
						case promises && !route.repeatable:
							convey.So(a.status, convey.ShouldEqual, http.StatusBadGateway)
							convey.So(a.header.Get("X-Server-Signature"), convey.ShouldBeEmpty)
							convey.So(a.header.Get("Retry-After"), convey.ShouldBeEmpty)
							convey.So(len(e.Requests), convey.ShouldEqual, 1)
							convey.So(s.logs.String(), convey.ShouldContainSubstring, "status_withheld")
						default:
							convey.So(a.status, convey.ShouldEqual, status)
							convey.So(a.header.Get("X-Server-Signature"), convey.ShouldEqual, "s")
						}
					})
				})
			}
		}
	}
}

// Guards against a promise that is withheld though the endpoint says that the request has not run.
func TestRequestThatDidNotRunGetsNoPromise(t *testing.T) {
	answers := map[string]struct {
		status int
		header string
	}{
		"busy":              {http.StatusServiceUnavailable, "X-Not-Executed: 1"},
		"too many requests": {http.StatusTooManyRequests, "X-Not-Executed: 1"},
		"timeout":           {http.StatusRequestTimeout, "X-Not-Executed: 1"},
		"another endpoint":  {http.StatusMisdirectedRequest, "X-Foo: b"},
	}
	for name, c := range answers {
		for form, answer := range bodyForms {
			t.Run(name+", "+form, func(t *testing.T) {
				convey.Convey("The caller gets the box's own refusal", t, func() {
					answer.Status = fmt.Sprintf("HTTP/1.1 %d Answered", c.status)
					s, b, _ := answeringSite(t, plainService, answer, c.header)
					a := s.send(b, http.MethodPost, "/unsafe/x", "x", nil)
					convey.So(a.status, convey.ShouldEqual, http.StatusServiceUnavailable)
					convey.So(a.header.Get("X-Server-Signature"), convey.ShouldBeEmpty)
					convey.So(a.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
				})
			})
		}
	}
}
