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
	const whole = 14 * time.Second
	cases := map[string]struct {
		route string
		wait  time.Duration
		want  time.Duration
	}{
		"a first try":                        {route: "a", wait: whole},
		"one that comes back":                {route: "a", wait: 9500 * time.Millisecond, want: 4500 * time.Millisecond},
		"one that does not say how long":     {route: "a"},
		"one of a route with a shorter time": {route: "b", wait: 3 * time.Second},
		"one that always starts with less":   {route: "c", wait: 6 * time.Second},
		"one that waits longer than all yet": {route: "a", wait: 20 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Log: log.Discard()})
			for range 2 {
				r.noteWait("a", whole)
				r.noteWait("c", whole)
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
		"a stream whose caller's patience is known": {route: stream, want: true},
		"a stream whose caller's is not":            {route: table.Route{Repeat: table.RepeatStream, TargetMS: 900}},
		"a plain request":                           {route: table.Route{Repeat: table.RepeatSafe, TargetMS: 300}, want: true},
		"a plain request without a target":          {route: table.Route{Repeat: table.RepeatSafe}},
		"a stream that goes on after an event":      {route: stream, after: "12"},
		"a stream that has begun":                   {route: stream, begun: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := &run{route: c.route, q: Request{LastEvent: c.after}, begun: c.begun}
			if got := v.mayBeLate(); got != c.want {
				t.Errorf("may be late: %v, want %v", got, c.want)
			}
		})
	}
}
