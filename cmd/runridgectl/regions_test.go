// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/transport/operatorhttp"
)

func TestPrintRegions(t *testing.T) {
	near := operatorhttp.GroupHome{Group: "lm@a", Region: "a", Home: "box-1", HomeZone: "a-1", HomeRegion: "a"}
	far := operatorhttp.GroupHome{Group: "lm@a", Region: "a", Home: "box-2", HomeZone: "b-1", HomeRegion: "b"}
	boxes := []operatorhttp.Status{
		{Box: "box-1", Zone: "a-1", Region: "a", RoundTripsUS: map[string]int64{"b-1": 41_200, "a-2": 900}, Homes: []operatorhttp.GroupHome{near}},
		{Box: "box-2", Zone: "b-1", Region: "b", Homes: []operatorhttp.GroupHome{near}},
		{Box: "box-3", Zone: "b-1", Region: "b", Homes: []operatorhttp.GroupHome{far}},
	}
	convey.Convey("Each box is listed with its region and the round trips that it measured", t, func() {
		var out bytes.Buffer
		convey.So(printRegions(&out, boxes), convey.ShouldBeNil)
		convey.So(out.String(), convey.ShouldContainSubstring, "a-2:900µs b-1:41.2ms")
	})
	convey.Convey("Each group is listed with its home and how many boxes agree on it", t, func() {
		var out bytes.Buffer
		convey.So(printHomes(&out, boxes), convey.ShouldBeNil)
		for _, want := range []string{"lm@a", "box-1", "2/3", "box-2", "1/3"} {
			convey.So(out.String(), convey.ShouldContainSubstring, want)
		}
	})
}
