// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/transport/operatorhttp"
)

func TestPrintCold(t *testing.T) {
	convey.Convey("Each cold endpoint is listed with its home, its pace and when it is warm", t, func() {
		boxes := []operatorhttp.Status{
			{Box: "box-1", Cold: []home.ColdEndpoint{{Group: "lm/bog-a", Endpoint: "e7", WarmInMS: 4000, Pace: 1.5, Counted: 3, Limit: 5}}},
			{Box: "box-2"},
		}
		var out bytes.Buffer
		convey.So(printCold(&out, boxes, time.Date(2026, 1, 1, 10, 0, 0, 0, time.UTC)), convey.ShouldBeNil)
		for _, want := range []string{"e7", "lm/bog-a", "box-1", "1.5", "3", "5", "10:00:04"} {
			convey.So(out.String(), convey.ShouldContainSubstring, want)
		}
	})
}
