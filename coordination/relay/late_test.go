// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"testing"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/table"
)

func TestAgeOfReturningCallers(t *testing.T) {
	const fullWait = 14 * time.Second
	cases := map[string]struct {
		route string
		wait  time.Duration
		want  time.Duration
	}{
		"first try":                                {route: "a", wait: fullWait},
		"retry with less time left":                {route: "a", wait: 9500 * time.Millisecond, want: 4500 * time.Millisecond},
		"wait not stated":                          {route: "a"},
		"first caller of another route":            {route: "b", wait: 3 * time.Second},
		"route whose callers also start with less": {route: "c", wait: 6 * time.Second},
		"longer wait than any before":              {route: "a", wait: 20 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Log: log.Discard()})
			for range 2 {
				r.noteWait("a", fullWait)
				r.noteWait("c", fullWait)
				r.noteWait("c", 6*time.Second)
			}
			if got := r.noteWait(c.route, c.wait); got != c.want {
				t.Errorf("age: %v, want %v", got, c.want)
			}
		})
	}
}

func TestMayBeLate(t *testing.T) {
	stream := table.Route{Repeat: table.RepeatStream, TargetMS: 900, GiveUpMS: 3600}
	cases := map[string]struct {
		route table.Route
		after string
		begun bool
		want  bool
	}{
		"stream with a known caller patience":    {route: stream, want: true},
		"stream without a known caller patience": {route: table.Route{Repeat: table.RepeatStream, TargetMS: 900}},
		"plain request":                          {route: table.Route{Repeat: table.RepeatSafe, TargetMS: 300}, want: true},
		"plain request without a target":         {route: table.Route{Repeat: table.RepeatSafe}},
		"stream resumed after an event":          {route: stream, after: "12"},
		"stream whose answer has begun":          {route: stream, begun: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := &handler{route: c.route, request: Request{LastEvent: c.after}}
			if c.begun {
				h.reply = &begunAnswer{}
			}
			if got := h.mayBeLate(); got != c.want {
				t.Errorf("may be late: %v, want %v", got, c.want)
			}
		})
	}
}
