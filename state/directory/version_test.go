// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func versioned(id, version string) Entry {
	e := entry(id, "s", id)
	e.Version = version
	return e
}

func TestVersions(t *testing.T) {
	const within = 30 * time.Second
	later := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	two := Directory{}.WithList(start, 10, []Entry{versioned("a", "v1"), versioned("b", "v2"), versioned("c", "")})
	renewed := versioned("b", "v3")
	renewed.Born = 7
	cases := map[string]struct {
		known Directory
		now   time.Time
		want  []string
	}{
		"of endpoints that are listed":        {two, later(100), []string{"v1", "v2"}},
		"an endpoint has just gone":           {two.WithList(later(5), 11, []Entry{versioned("a", "v1")}), later(35), []string{"v1", "v2"}},
		"it has been gone for long":           {two.WithList(later(5), 11, []Entry{versioned("a", "v1")}), later(36), []string{"v1"}},
		"it is not even remembered":           {two.WithList(later(5), 11, []Entry{versioned("a", "v1")}).WithoutGone(later(20), time.Second), later(20), []string{"v1", "v2"}},
		"it starts again with another":        {two.WithChanges(later(5), 11, []Change{{Entry: renewed}}), later(6), []string{"v1", "v2", "v3"}},
		"a build forwards it without":         {two.WithChanges(later(5), 11, []Change{{Entry: versioned("b", "")}}), later(60), []string{"v1", "v2"}},
		"drained endpoints have one too":      {two.WithDrained(later(5), map[string]bool{"zone-a": true}), later(60), []string{"v1", "v2"}},
		"another service's endpoint may have": {two.WithChanges(later(5), 11, []Change{{Entry: Entry{ID: "z", Service: "other", Version: "v9"}}}), later(6), []string{"v1", "v2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The versions are those that endpoints have or had a while ago", t, func() {
				convey.So(c.known.Versions("s", c.now, within), convey.ShouldResemble, c.want)
				convey.So(c.known.KnownSince(), convey.ShouldEqual, start)
			})
		})
	}
}
