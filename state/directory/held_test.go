// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"testing"
	"time"

	"runridge.example/runridge/state/position"
)

// TestEntriesOfAnOlderCopy restores the platform from a copy in which an entry is older than
// the one known here.
func TestEntriesOfAnOlderCopy(t *testing.T) {
	ready, leaving := Entry{ID: "e", Service: "s", Born: 5}, Entry{ID: "e", Service: "s", Born: 5, Draining: true}
	earlier, later := Entry{ID: "e", Service: "s", Born: 4}, Entry{ID: "e", Service: "s", Born: 6}
	const hold, grace = 5 * time.Second, 2 * time.Second
	cases := map[string]struct {
		// known is the latest change before the restore, and listed the list of the copy.
		known  Change
		listed []Entry
		// changes follow the list, and after is the time since the restore.
		changes []Change
		after   time.Duration
		// again is a second list, read after that time.
		again  []Entry
		usable bool
	}{
		"goes on serving":                    {known: Change{Entry: ready}, listed: []Entry{ready}, usable: true},
		"leaves":                             {known: Change{Entry: leaving}, listed: []Entry{ready}},
		"left":                               {known: Change{Entry: ready, Gone: true}, listed: []Entry{ready}},
		"left, and writes its entry again":   {known: Change{Entry: ready, Gone: true}, listed: []Entry{ready}, changes: []Change{{Entry: ready}}, usable: true},
		"left, and is listed for long":       {known: Change{Entry: ready, Gone: true}, listed: []Entry{ready}, after: hold, again: []Entry{ready}, usable: true},
		"left, and is listed twice":          {known: Change{Entry: ready, Gone: true}, listed: []Entry{ready}, after: hold - 1, again: []Entry{ready}},
		"left, an earlier start is listed":   {known: Change{Entry: ready, Gone: true}, listed: []Entry{earlier}},
		"serves, an earlier one is listed":   {known: Change{Entry: ready}, listed: []Entry{earlier}, usable: true},
		"left, a later start is listed":      {known: Change{Entry: ready, Gone: true}, listed: []Entry{later}, usable: true},
		"is missing":                         {known: Change{Entry: ready}, after: grace - 1, usable: true},
		"stays missing":                      {known: Change{Entry: ready}, after: grace},
		"leaves, and is missing":             {known: Change{Entry: leaving}},
		"leaves while it is not on the list": {known: Change{Entry: ready}, changes: []Change{{Entry: leaving}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := Directory{}.WithList(now, position.Of(1, 90), []Entry{{ID: "e", Service: "s", Born: 5}})
			d = d.WithChanges(now, position.Of(1, 91), []Change{c.known})
			d = d.WithRestoredUntil(now.Add(hold)).WithGrace(now.Add(grace))
			d = d.WithList(now, position.Of(2, 20), c.listed)
			if d.At() != position.Of(2, 20) {
				t.Fatalf("the directory is at %d", d.At())
			}
			d = d.WithChanges(now, position.Of(2, 21), c.changes)
			now = now.Add(c.after)
			d = d.WithGraceEnded(now)
			if c.again != nil {
				d = d.WithList(now, position.Of(2, 22), c.again)
			}
			if got, _ := d.Status("e"); got.Usable() != c.usable || got.Born < 5 {
				t.Errorf("usable: %v, want %v; started at %d", got.Usable(), c.usable, got.Born)
			}
		})
	}
}
