// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package timeline

import (
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestSummarizeCallers(t *testing.T) {
	const head = "time=2026-01-01T00:00:00Z msg=request_ended service=s "
	cases := map[string]struct {
		lines []string
		want  CallerSummary
	}{
		"in time": {
			lines: []string{"outcome=answered reason=200 first_ms=80 target_ms=1000"},
			want:  CallerSummary{Asked: 1, InTime: 1, Worth: 1},
		},
		"late, counted from the first try": {
			lines: []string{"outcome=answered reason=200 first_ms=80 target_ms=1000 age_ms=4000"},
			want:  CallerSummary{Asked: 1, Late: 1, LateBy: 3080 * time.Millisecond, ReturnedServed: 1, Worth: 0.2},
		},
		"a repeated request in time": {
			lines: []string{"outcome=answered reason=200 first_ms=80 target_ms=1000 age_ms=400"},
			want:  CallerSummary{Asked: 1, InTime: 1, ReturnedServed: 1, Worth: 1},
		},
		"one refused at once, another served": {
			lines: []string{"outcome=refused reason=full ms=12", "outcome=answered reason=200 first_ms=80 target_ms=1000"},
			want:  CallerSummary{Asked: 2, InTime: 1, RefusedAtOnce: 1, Worth: 0.5},
		},
		"refused after waiting half a target": {
			lines: []string{"outcome=refused reason=full ms=500", "outcome=answered reason=200 first_ms=80 target_ms=1000"},
			want: CallerSummary{
				Asked: 2, InTime: 1, RefusedWaiting: 1, Worth: 0.25,
				WaitedInVain: 500 * time.Millisecond, WaitedP99: 500 * time.Millisecond,
			},
		},
		"a repeated request refused": {
			lines: []string{"outcome=refused reason=full ms=12 age_ms=4000", "outcome=answered reason=200 first_ms=80 target_ms=1000"},
			want:  CallerSummary{Asked: 2, InTime: 1, RefusedAtOnce: 1, ReturnedRefused: 1, Worth: 0.35},
		},
		"disconnected and failed": {
			lines: []string{
				"outcome=caller_gone reason=read runs=1", "outcome=caller_gone reason=read runs=0",
				"outcome=broken reason=stream_cut", "outcome=answered reason=500 first_ms=80 target_ms=1000",
			},
			want: CallerSummary{Asked: 4, Gone: 2, GoneRunning: 1, Failed: 2},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				text := "time=2026-01-01T00:00:00Z msg=request_ended service= outcome=refused\n"
				for _, l := range c.lines {
					text += head + l + "\n"
				}
				lines, err := Read(strings.NewReader(text))
				convey.So(err, convey.ShouldBeNil)
				got := SummarizeCallers(lines)
				convey.So(got, convey.ShouldHaveLength, 1)
				c.want.Service, c.want.Target = "s", got[0].Target
				convey.So(got[0].Worth, convey.ShouldAlmostEqual, c.want.Worth)
				got[0].Worth = c.want.Worth
				convey.So(got[0], convey.ShouldResemble, c.want)
			})
		})
	}
}
