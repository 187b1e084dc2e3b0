// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// history holds the platform's list at each of its revisions.
type history struct {
	lists   []map[string]Entry
	changes []Change
}

func (h *history) step(t *rapid.T) {
	next := make(map[string]Entry)
	for id, e := range h.lists[len(h.lists)-1] {
		next[id] = e
	}
	id := fmt.Sprintf("e%d", rapid.IntRange(0, 4).Draw(t, "endpoint"))
	old, exists := next[id]
	c := Change{Entry: Entry{ID: id, Service: "s", Address: id}}
	switch {
	case exists && rapid.Bool().Draw(t, "ends"):
		c.Gone = true
		delete(next, id)
	case exists:
		old.Draining = !old.Draining
		c.Entry = old
		next[id] = old
	default:
		next[id] = c.Entry
	}
	h.changes = append(h.changes, c)
	h.lists = append(h.lists, next)
}

// update draws an update that a box at any revision could have sent.
func (h *history) update(t *rapid.T) Update {
	at := rapid.IntRange(1, len(h.lists)-1).Draw(t, "at")
	n := Update{At: uint64(at)}
	if rapid.Bool().Draw(t, "whole") {
		n.Whole = true
		for _, e := range h.lists[at] {
			n.Changes = append(n.Changes, Change{Entry: e})
		}
		return n
	}
	n.After = uint64(rapid.IntRange(0, at).Draw(t, "after"))
	n.Changes = h.changes[n.After:at]
	return n
}

func TestOracleUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{lists: []map[string]Entry{{}}}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			h.step(t)
		}
		now := time.Unix(0, 0)
		var d Directory
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			before := d.At()
			d = d.WithUpdate(now, h.update(t))
			if d.At() < before {
				t.Fatalf("went back from revision %d to %d", before, d.At())
			}
			for id, e := range h.lists[d.At()] {
				if w, ok := d.Status(id); !ok || w.Gone || w.Entry != e {
					t.Fatalf("at revision %d %s is %+v, not %+v", d.At(), id, w, e)
				}
			}
			for _, w := range d.Statuses("s") {
				if _, listed := h.lists[d.At()][w.ID]; !listed && !w.Gone {
					t.Fatalf("at revision %d %s is still there", d.At(), w.ID)
				}
			}
		}
	})
}

func TestAllIsAnUpdate(t *testing.T) {
	convey.Convey("Another box takes over the whole directory without the endpoints that are gone", t, func() {
		now := time.Unix(0, 0)
		d := Directory{}.WithList(now, 4, []Entry{{ID: "a", Service: "s"}, {ID: "b", Service: "s", Draining: true}})
		d = d.WithChanges(now, 6, []Change{{Entry: Entry{ID: "a"}, Gone: true}})
		other := Directory{}.WithUpdate(now, d.Snapshot())
		convey.So(other.At(), convey.ShouldEqual, 6)
		convey.So(other.Len(), convey.ShouldEqual, 1)
		w, _ := other.Status("b")
		convey.So(w.Draining, convey.ShouldBeTrue)
	})
}
