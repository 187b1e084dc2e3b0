// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform"
	"runridge.example/runridge/platform/standin"
	"runridge.example/runridge/tests/peer"
)

// malformedForms are the names of the malformed answers that whole boxes are tested with.
var malformedForms = []string{
	"blank in a name", "blank after a name", "control byte in a name", "blank after Content-Length", "blank after Transfer-Encoding",
	"status 000", "status 999", "chunks in version 1.0", "version 2.0", "interim answer, name", "rejected, blank in a name", "two lengths", "encoding not known",
}

// malformedEndpoint adds an endpoint whose answers have a form, and further fields.
func malformedEndpoint(t *testing.T, s *site, form string, further ...string) *peer.Scripted {
	t.Helper()
	names := platform.Names()
	answer := peer.MalformedAnswers()[form]
	e := peer.Script(t, answer.Framed, func(r *http.Request) string {
		return answer.Text(append(further, names.RequestID+": "+r.Header.Get(names.RequestID), names.Signature+": s")...)
	})
	s.store.Put("servers", "malformed", strayWith("address", e.Address))
	return e
}

// Guards against a malformed answer that reaches the caller, or is believed.
func TestMalformedAnswerReachesCaller(t *testing.T) {
	names := platform.Names()
	cases := map[string][]string{
		"nothing more":                           nil,
		"it says that the request did not run":   {names.NotRun + ": 1"},
		"it says that the endpoint leaves":       {names.Leaving + ": 1"},
		"it names a limit that allows no others": {names.Limit + ": 0.001"},
	}
	for name, further := range cases {
		t.Run(name, func(t *testing.T) { testMalformedAnswers(t, further) })
	}
}

// testMalformedAnswers sends a request that may not be repeated to an endpoint that sends each of the malformed
// answers, with further fields.
func testMalformedAnswers(t *testing.T, further []string) {
	for _, form := range malformedForms {
		t.Run(form, func(t *testing.T) {
			convey.Convey("The caller gets 502, and the request ran once", t, func() {
				s := newSite(t, 0)
				e := malformedEndpoint(t, s, form, further...)
				b := s.start("box-1")
				s.eventually("the box is ready", b.Ready)
				a := s.send(b, http.MethodPost, "/unsafe/x", "x", nil)
				convey.So(a.status, convey.ShouldEqual, http.StatusBadGateway)
				convey.So(a.header.Get("Retry-After"), convey.ShouldBeEmpty)
				convey.So(len(e.Requests), convey.ShouldEqual, 1)
				convey.So(e.AwaitEnd(t), convey.ShouldEqual, 0)
				convey.So(s.logs.String(), convey.ShouldContainSubstring, "answer_malformed")
				for _, believed := range []string{"poison", "endpoint_leaving", "endpoint_limit"} {
					convey.So(s.logs.String(), convey.ShouldNotContainSubstring, believed)
				}
			})
		})
	}
}

// Guards against a request that fails because one endpoint sends malformed answers, though it may be repeated.
func TestMalformedAnswerEndsRepeatableRequest(t *testing.T) {
	const requests = 12
	for _, form := range malformedForms {
		t.Run(form, func(t *testing.T) {
			convey.Convey("Another endpoint answers", t, func() {
				s := newSite(t, 0, standin.EndpointConfig{ID: "p1", Service: plainService, Zone: "zone-a"})
				e := malformedEndpoint(t, s, form)
				b := s.start("box-1")
				s.eventually("the box is ready", b.Ready)
				for range requests {
					a := s.send(b, http.MethodGet, "/safe/x", "", nil)
					convey.So(a.status, convey.ShouldEqual, http.StatusOK)
					convey.So(a.body, convey.ShouldEqual, "answer of p1")
					for name := range a.header {
						convey.So(name, convey.ShouldNotContainSubstring, " ")
					}
				}
				convey.So(len(e.Requests), convey.ShouldBeGreaterThan, 0)
			})
		})
	}
}
