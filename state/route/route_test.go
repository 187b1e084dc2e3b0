// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package route

import (
	"strconv"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/state/table"
)

func index(prefixes ...string) Index {
	t := table.Table{Generation: 1}
	for _, p := range prefixes {
		t.Routes = append(t.Routes, table.Route{Name: p, Host: "Desk.example", Prefix: p})
	}
	return NewIndex(t)
}

func TestMatch(t *testing.T) {
	cases := map[string]struct {
		prefixes   []string
		host, path string
		want       string
	}{
		"exact prefix":           {[]string{"/a/"}, "desk.example", "/a/", "/a/"},
		"below the prefix":       {[]string{"/a/"}, "desk.example", "/a/b/c", "/a/"},
		"the longest wins":       {[]string{"/a/", "/a/b/", "/"}, "desk.example", "/a/b/c", "/a/b/"},
		"root takes the rest":    {[]string{"/a/", "/"}, "desk.example", "/x", "/"},
		"no slash at the end":    {[]string{"/a/"}, "desk.example", "/a", ""},
		"a longer segment":       {[]string{"/a/"}, "desk.example", "/ab/c", ""},
		"another host":           {[]string{"/"}, "other.example", "/a", ""},
		"host with port":         {[]string{"/a/"}, "desk.example:8080", "/a/x", "/a/"},
		"host in capitals":       {[]string{"/a/"}, "DESK.example", "/a/x", "/a/"},
		"empty path":             {[]string{"/"}, "desk.example", "", ""},
		"double slash is a path": {[]string{"/a/"}, "desk.example", "//a/", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				r, ok := index(c.prefixes...).Match(c.host, c.path)
				convey.So(ok, convey.ShouldEqual, c.want != "")
				convey.So(r.Prefix, convey.ShouldEqual, c.want)
			})
		})
	}
}

func TestPick(t *testing.T) {
	convey.Convey("Requests are distributed by weight, and one key always gets the same service", t, func() {
		r := table.Route{Targets: []table.RouteTarget{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
		count := make(map[string]int)
		for i := range 10_000 {
			key := strconv.Itoa(i)
			count[Pick(r, key)]++
			convey.So(Pick(r, key), convey.ShouldEqual, Pick(r, key))
		}
		convey.So(count["b"], convey.ShouldBeBetween, 800, 1200)
		convey.So(count["c"], convey.ShouldEqual, 0)
		convey.So(Pick(table.Route{}, "x"), convey.ShouldBeEmpty)
	})
}
