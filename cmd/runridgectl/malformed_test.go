// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"runridge.example/runridge/modules/httphead"
	"runridge.example/runridge/tests/peer"
)

// Guards against a malformed answer that is shown as the status of a box.
func TestMalformedAnswerIsShown(t *testing.T) {
	answers := map[string]peer.RawAnswer{
		"blank in a name":       {Fields: []string{"X Foo: b"}, Framed: true, Body: `{"box":"b"}`},
		"another version":       {Status: "HTTP/2.0 200 OK", Framed: true, Body: `{"box":"b"}`},
		"status 000":            {Status: "HTTP/1.1 000 OK", Framed: true, Body: `{"box":"b"}`},
		"chunks in version 1.0": {Status: "HTTP/1.0 200 OK", Fields: []string{"Transfer-Encoding: chunked"}, Framed: true, Body: `{"box":"b"}`},
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			box := peer.Script(t, true, func(*http.Request) string { return answer.Text() })
			s, err := statusOf(box.Address, 20*time.Second)
			if malformed := new(httphead.MalformedError); !errors.As(err, &malformed) || s.Box != "" {
				t.Errorf("status of %q, error %v", s.Box, err)
			}
		})
	}
}
