// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package timeline

import (
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

const boxOne = `
time="2026-01-01T00:00:01.5Z" level=info msg=table_in_force box=one generation=7
time="2026-01-01T00:00:02Z" level=info msg=attempt_placed ask="one~a~1~1" box=one request=r1
time="2026-01-01T00:00:02.4Z" level=info msg=request_ended box=one outcome=refused reason=hopeless request=r1
time="2026-01-01T00:00:02.2Z" level=info msg=request_ended box=one request=r2
no line of ours
`

const boxTwo = `
time="2026-01-01T00:00:02.1Z" level=info msg=home_refused ask="one~a~1~1" box=two reason="target cannot be met"
time="2026-01-01T00:00:02.1Z" level=info msg=home_refused ask="one~a~2~1" box=two
time="2026-01-01T00:00:02.3Z" level=info msg=members_changed box=two
time="2026-01-01T00:00:02.3Z" level=info msg=members_changed box=three
time="2026-01-01T00:00:09Z" level=info msg=members_changed box=two
`

func TestForRequest(t *testing.T) {
	convey.Convey("The timeline of one request includes two boxes and is sorted", t, func() {
		one, err := Read(strings.NewReader(boxOne))
		convey.So(err, convey.ShouldBeNil)
		two, err := Read(strings.NewReader(boxTwo))
		convey.So(err, convey.ShouldBeNil)
		var got []string
		for _, l := range ForRequest("r1", append(two, one...)) {
			got = append(got, l.Field("box")+" "+l.Field("msg"))
		}
		convey.So(got, convey.ShouldResemble, []string{
			"one table_in_force", "one attempt_placed", "two home_refused", "two members_changed", "one request_ended",
		})
	})
	convey.Convey("A request that no line names has no timeline", t, func() {
		lines, err := Read(strings.NewReader(boxOne))
		convey.So(err, convey.ShouldBeNil)
		convey.So(ForRequest("r9", lines), convey.ShouldBeEmpty)
	})
	convey.Convey("Quoted values keep their spaces", t, func() {
		l, ok := parse(`time="2026-01-01T00:00:02Z" msg=x error="a \"b\" c" request=r`)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(l.Field("request"), convey.ShouldEqual, "r")
	})
}
