// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestEstablished(t *testing.T) {
	cases := map[string]struct {
		boxes []Box
		want  []string
	}{
		"all at once":           {[]Box{{Name: "a", Start: 1000}, {Name: "b", Start: 1300}}, []string{"a", "b"}},
		"one came back":         {[]Box{{Name: "a", Start: 1000}, {Name: "b", Start: 90_000}, {Name: "c", Start: 1100}}, []string{"a", "c"}},
		"most came back":        {[]Box{{Name: "a", Start: 1000}, {Name: "b", Start: 90_000}, {Name: "c", Start: 91_000}}, []string{"a", "b", "c"}},
		"alone":                 {[]Box{{Name: "a", Start: 90_000}}, []string{"a"}},
		"no boxes":              {nil, []string{}},
		"the younger of a pair": {[]Box{{Name: "a", Start: 1000}, {Name: "b", Start: 90_000}}, []string{"a"}},
		"starts not yet known":  {[]Box{{Name: "a"}, {Name: "b", Start: 90_000}, {Name: "c"}, {Name: "d"}}, []string{"a", "b", "c", "d"}},
		"young among unknown":   {[]Box{{Name: "a"}, {Name: "b", Start: 90_000}, {Name: "c"}, {Name: "d", Start: 1000}, {Name: "e", Start: 1001}}, []string{"a", "c", "d", "e"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				convey.So(Established(c.boxes), convey.ShouldResemble, c.want)
			})
		})
	}
}
