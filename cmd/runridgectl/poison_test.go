// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/coordination/quarantine"
	"runridge.example/runridge/transport/operatorhttp"
)

func TestPrintPoison(t *testing.T) {
	convey.Convey("A request that only some boxes block is listed with its endpoint count and the other boxes", t, func() {
		blocked := func(ends int, seen int64) quarantine.Status {
			return quarantine.Status{Suspects: 9, Blocked: []quarantine.BlockedStatus{{Fingerprint: "37d5", Ends: ends, SeenMS: seen}}}
		}
		var out bytes.Buffer
		convey.So(printPoison(&out, []operatorhttp.Status{
			{Box: "box-1", Poison: blocked(3, 9000)},
			{Box: "box-2", Poison: blocked(4, 1500)},
			{Box: "box-3", Poison: quarantine.Status{Suspects: 2}},
		}), convey.ShouldBeNil)
		for _, want := range []string{"37d5", "4", "1.5s ago", "box-3"} {
			convey.So(out.String(), convey.ShouldContainSubstring, want)
		}
		convey.So(out.String(), convey.ShouldNotContainSubstring, "box-1")
	})
}
