// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting_test

import (
	"os"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/modules/setting"
)

func TestBoxAdvertise(t *testing.T) {
	cases := map[string]struct {
		value string
		good  bool
	}{
		"none":                         {"", true},
		"an address":                   {"10.0.0.5:7000", true},
		"an IPv6 address":              {"[fd00::5]:7000", true},
		"a host name":                  {"box-1:7000", false},
		"port 0":                       {"10.0.0.5:0", false},
		"the unspecified IPv4 address": {"0.0.0.0:7000", false},
		"the unspecified IPv6 address": {"[::]:7000", false},
	}
	for name, c := range cases {
		convey.Convey("The address that other boxes reach is "+name, t, func() {
			example, err := os.ReadFile("../../settings.example.json")
			convey.So(err, convey.ShouldBeNil)
			text := strings.Replace(string(example), `"box_advertise": ""`, `"box_advertise": "`+c.value+`"`, 1)
			_, err = setting.Parse([]byte(text))
			if c.good {
				convey.So(err, convey.ShouldBeNil)
				return
			}
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(err.Error(), convey.ShouldContainSubstring, "box_advertise")
		})
	}
}
