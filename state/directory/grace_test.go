// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestGrace(t *testing.T) {
	begin := time.Unix(1000, 0)
	listed := []Entry{{ID: "a", Service: "s"}, {ID: "b", Service: "s", Draining: true}}
	known := Directory{}.WithList(begin, 1, listed).WithGrace(begin.Add(2 * time.Second))
	gone := func(id string) []Change { return []Change{{Entry: Entry{ID: id}, Gone: true}} }
	cases := map[string]struct {
		directory Directory
		id        string
		usable    bool
	}{
		"missing in a list":                 {known.WithList(begin, 2, listed[1:]), "a", true},
		"gone by a change":                  {known.WithChanges(begin, 2, gone("a")), "a", true},
		"had reported that it leaves":       {known.WithChanges(begin, 2, gone("b")), "b", false},
		"still missing at the end":          {known.WithChanges(begin, 2, gone("a")).WithGraceEnded(begin.Add(2 * time.Second)), "a", false},
		"before the end":                    {known.WithChanges(begin, 2, gone("a")).WithGraceEnded(begin.Add(time.Second)), "a", true},
		"back before the end":               {known.WithChanges(begin, 2, gone("a")).WithList(begin, 3, listed).WithGraceEnded(begin.Add(3 * time.Second)), "a", true},
		"gone without a grace period":       {known.WithChanges(begin.Add(3*time.Second), 2, gone("a")), "a", false},
		"another answers at its address":    {known.WithChanges(begin, 2, gone("a")).WithReplaced("a", ""), "a", false},
		"gone in another box's update":      {known.WithUpdate(begin, known.WithChanges(begin, 2, gone("a")).Snapshot()).WithGraceEnded(begin.Add(2 * time.Second)), "a", false},
		"reports that it leaves, then gone": {known.WithChanges(begin, 2, []Change{{Entry: Entry{ID: "a", Service: "s", Draining: true}}}).WithChanges(begin, 3, gone("a")), "a", false},
		"gone in two outages, at the end of the first": {
			known.WithChanges(begin, 2, gone("a")).WithGrace(begin.Add(4*time.Second)).WithChanges(begin.Add(time.Second), 3, gone("a")).WithGraceEnded(begin.Add(2 * time.Second)), "a", false,
		},
		"gone in the second of two outages, at the end of the first": {
			known.WithGrace(begin.Add(4*time.Second)).WithChanges(begin.Add(time.Second), 3, gone("a")).WithGraceEnded(begin.Add(2 * time.Second)), "a", true,
		},
		"overwritten": {known.WithChanges(begin, 2, []Change{{Entry: Entry{ID: "a"}, Gone: true, Overwritten: true}}), "a", false},
		"overwritten while in grace": {
			known.WithChanges(begin, 2, gone("a")).WithChanges(begin, 3, []Change{{Entry: Entry{ID: "a"}, Gone: true, Overwritten: true}}), "a", false,
		},
		"reported in the same changes": {known.WithChanges(begin, 3, []Change{{Entry: Entry{ID: "a", Service: "s", Draining: true}}, gone("a")[0]}), "a", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				w, ok := c.directory.Status(c.id)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(w.Usable(), convey.ShouldEqual, c.usable)
			})
		})
	}
}
