// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/transport/operatorhttp"
)

func TestPrintLimits(t *testing.T) {
	convey.Convey("Each endpoint that announces a limit is listed with its home and what the home grants", t, func() {
		boxes := []operatorhttp.Status{
			{Box: "box-1", Limited: []home.LimitedEndpoint{{Group: "desk", Endpoint: "e7", PerSecond: 2.8, Rate: 0.7, HeardMS: 1200}}},
			{Box: "box-2"},
		}
		var out bytes.Buffer
		convey.So(printLimits(&out, boxes), convey.ShouldBeNil)
		for _, want := range []string{"e7", "desk", "box-1", "2.8", "0.7", "1.2s"} {
			convey.So(out.String(), convey.ShouldContainSubstring, want)
		}
	})
}
