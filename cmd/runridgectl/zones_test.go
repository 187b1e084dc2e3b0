// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/coordination/drain"
	"runridge.example/runridge/transport/operatorhttp"
)

func TestPrintAllowed(t *testing.T) {
	convey.Convey("Each bound route and account is listed with its regions", t, func() {
		boxes := []operatorhttp.Status{
			{Box: "box-1", Generation: 77, Restrictions: []operatorhttp.RegionRestriction{
				{Of: operatorhttp.RestrictionOfRoute, Name: "letters", Regions: []string{"north", "west"}},
				{Of: operatorhttp.RestrictionOfAccount, Name: "desk", Regions: []string{"south"}},
			}},
			{Box: "box-2"},
		}
		var out bytes.Buffer
		convey.So(printAllowed(&out, boxes), convey.ShouldBeNil)
		for _, want := range []string{"route", "letters", "north west", "account", "desk", "south", "box-1", "77"} {
			convey.So(out.String(), convey.ShouldContainSubstring, want)
		}
		convey.So(out.String(), convey.ShouldNotContainSubstring, "box-2")
	})
}

func TestPrintZones(t *testing.T) {
	since := time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)
	zone := func(name string, revision uint64) drain.ZoneStatus {
		return drain.ZoneStatus{Zone: name, Revision: revision, Since: since}
	}
	cases := map[string]struct {
		boxes        []operatorhttp.Status
		want, absent []string
	}{
		"one box does not know of the drain yet": {
			boxes: []operatorhttp.Status{
				{Box: "box-1", Zones: &drain.Status{Known: true, Revision: 40, Drained: []drain.ZoneStatus{zone("zone-a", 40)}}},
				{Box: "box-2", Zones: &drain.Status{Known: true, Revision: 1}},
				{Box: "box-3"},
			},
			want:   []string{"zone-a", "true", "2026-03-04T05:06:07Z", "40", "box-2"},
			absent: []string{"box-1", "box-3"},
		},
		"one box does not know yet that the drain was undone": {
			boxes: []operatorhttp.Status{
				{Box: "box-1", Zones: &drain.Status{Known: true, Revision: 60}},
				{Box: "box-2", Zones: &drain.Status{Known: true, Revision: 40, Drained: []drain.ZoneStatus{zone("zone-a", 40)}}},
			},
			want:   []string{"zone-a", "false", "60", "box-2"},
			absent: []string{"box-1"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				var out bytes.Buffer
				convey.So(printZones(&out, c.boxes), convey.ShouldBeNil)
				for _, want := range c.want {
					convey.So(out.String(), convey.ShouldContainSubstring, want)
				}
				for _, absent := range c.absent {
					convey.So(out.String(), convey.ShouldNotContainSubstring, absent)
				}
			})
		})
	}
}
