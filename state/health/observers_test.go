// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// observed is one request of a box at the endpoint.
type observed struct {
	after  time.Duration
	box    string
	lost   bool
	others int
	// counts is whether a lost request counts against the endpoint.
	counts bool
}

func TestLostRequestsOfOneBoxCountForAll(t *testing.T) {
	const step = 50 * time.Millisecond
	cases := map[string][]observed{
		"nobody else uses the endpoint": {{step, "a", true, 0, true}, {step, "a", true, 0, true}},
		"others are answered": {
			{step, "b", false, 0, false}, {step, "a", true, 0, true}, {step, "b", false, 0, false}, {step, "a", true, 0, false},
		},
		"many are lost at once": {
			{step, "b", false, 0, false}, {step, "a", true, 0, true}, {0, "a", true, 0, false}, {0, "a", true, 0, false}, {0, "c", true, 0, true},
		},
		"others were answered long ago": {
			{step, "a", true, 0, true}, {step, "b", false, 0, false}, {otherAnsweredTime, "a", true, 0, true},
		},
		"the box is answered now and then": {
			{step, "b", false, 0, false}, {step, "a", true, 0, true}, {step, "a", false, 0, false}, {step, "a", true, 0, true},
		},
		"others don't reach it either": {
			{step, "a", true, 0, true}, {step, "b", false, 0, false}, {step, "a", true, 2, true},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A lost request counts unless only its box loses", t, func() {
				var o Observers
				now := time.Unix(0, 0)
				for i, e := range c {
					now = now.Add(e.after)
					if !e.lost {
						o = o.WithSuccess(now, e.box)
						continue
					}
					var counts bool
					o, counts = o.WithLost(now, e.box, e.others)
					convey.So(fmt.Sprint(i, counts), convey.ShouldEqual, fmt.Sprint(i, e.counts))
				}
			})
		})
	}
}

func ExampleObservers_OtherAnswered() {
	start := time.Unix(0, 0)
	o := Observers{}.WithSuccess(start, "a").WithSuccess(start.Add(time.Second), "b")
	fmt.Println(o.OtherAnswered(start.Add(3*time.Second), "a"))
	fmt.Println(o.OtherAnswered(start.Add(3*time.Second), "b"))
	// Output:
	// 2s true
	// 3s true
}
