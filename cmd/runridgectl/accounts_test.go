// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/coordination/quota"
	"runridge.example/runridge/transport/operatorhttp"
)

func TestPrintAccounts(t *testing.T) {
	convey.Convey("Each account is listed with its home, its use and the boxes that it was lent to", t, func() {
		boxes := []operatorhttp.Status{
			{Box: "box-1", Quotas: &quota.Status{
				Sees: 2, Of: 3,
				Accounts: []quota.AccountStatus{{Account: "desk", Unit: "tokens", Rate: 29000, Level: 12, Used: 4321, Refused: 7}},
			}},
			{Box: "box-2", Quotas: &quota.Status{Purses: []quota.PurseStatus{{Account: "desk", Left: 600}}}},
			{Box: "box-3"},
		}
		var out bytes.Buffer
		convey.So(printAccounts(&out, boxes), convey.ShouldBeNil)
		for _, want := range []string{"desk", "box-1", "2/3", "29000", "4321", "7", "box-2:600"} {
			convey.So(out.String(), convey.ShouldContainSubstring, want)
		}
	})
	convey.Convey("Each group is listed with its home and the work that its plan is based on", t, func() {
		boxes := []operatorhttp.Status{{Box: "box-1", Stages: []home.StagePlan{{Group: "lm/bog-a", Engines: 13, Prefills: 5, Wanted: 3, MeanWork: 1.214, ObservedMS: 3000}}}}
		var out bytes.Buffer
		convey.So(printStages(&out, boxes), convey.ShouldBeNil)
		for _, want := range []string{"lm/bog-a", "box-1", "13", "1.21", "3s"} {
			convey.So(out.String(), convey.ShouldContainSubstring, want)
		}
	})
	convey.Convey("An invalid address is an error", t, func() {
		_, err := statusOf("box-1:80", time.Second)
		convey.So(err.Error(), convey.ShouldContainSubstring, "an IP number and port")
	})
}
