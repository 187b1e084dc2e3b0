// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package timeline

import (
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestOutcomes(t *testing.T) {
	const head = "time=2026-01-01T00:00:00Z msg=request_ended service=s "
	cases := map[string]struct{ line, want string }{
		"in time":          {"outcome=answered reason=200 first_ms=80 target_ms=900 gap_ms=40 gap_target_ms=300", CauseInTime},
		"first event late": {"outcome=answered reason=200 first_ms=901 target_ms=900", CauseLateFirst},
		"gap late":         {"outcome=answered reason=200 first_ms=80 target_ms=900 gap_ms=301 gap_target_ms=300", CauseLateGap},
		"no target":        {"outcome=answered reason=200 first_ms=80 gap_ms=301", CauseInTime},
		"endpoint failed":  {"outcome=answered reason=500 first_ms=80 target_ms=900", CauseFailed},
		"refused":          {"outcome=refused reason=target_cannot_be_met", "refused:target_cannot_be_met"},
		"interrupted":      {"outcome=broken reason=stream_cut first_ms=2000 target_ms=900", "broken:stream_cut"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				lines, err := Read(strings.NewReader(head + c.line + "\ntime=2026-01-01T00:00:00Z msg=starting\n" + head + c.line + "\n"))
				convey.So(err, convey.ShouldBeNil)
				convey.So(Outcomes(lines), convey.ShouldResemble, []Outcome{{Service: "s", Cause: c.want, Count: 2}})
			})
		})
	}
}
