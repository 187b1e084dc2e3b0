// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// An engine that answers other boxes is not ejected by the reports of one.
func TestEngineLostByOneBoxIsEjectedForAll(t *testing.T) {
	cases := map[string]struct {
		report  Report
		answers bool
		ejected bool
	}{
		"silent, others are answered":                     {answers: true},
		"unreached, others are answered":                  {report: Report{Unreachable: true}, answers: true},
		"unreached by others too":                         {report: Report{Unreachable: true, OthersUnreached: 2}, answers: true, ejected: true},
		"unreached, nobody is answered":                   {report: Report{Unreachable: true}, ejected: true},
		"silent, nobody is answered":                      {ejected: true},
		"answers with errors to one, others are answered": {report: Report{Answered: true}, answers: true, ejected: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Only failures that others see too eject an engine", t, func() {
				g := growingGroup(3, 100_000)
				e := &g.engines[2]
				now := start
				for range 10 {
					now = now.Add(20 * time.Millisecond)
					if c.answers {
						e.observers = e.observers.WithSuccess(now, "other")
					}
					r := c.report
					r.Failed = "b"
					g.recordFailure(now, "box", r)
				}
				convey.So(len(g.Ejections()) > 0, convey.ShouldEqual, c.ejected)
			})
		})
	}
}
