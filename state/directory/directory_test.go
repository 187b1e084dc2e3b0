// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"os"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"runridge.example/runridge/tests/seed"

	"runridge.example/runridge/state/table"
)

var start = time.Unix(1_700_000_000, 0)

func entry(id, service, address string) Entry {
	return Entry{ID: id, Service: service, Address: address, Zone: "zone-a", Slots: 4}
}

func TestChanges(t *testing.T) {
	convey.Convey("What is not on a list is gone, and an older update changes nothing", t, func() {
		d := Directory{}.WithList(start, 10, []Entry{entry("a", "s", "1"), entry("b", "s", "2")})
		convey.So(d.Known(), convey.ShouldBeTrue)
		d = d.WithList(start, 12, []Entry{entry("a", "s", "1")})
		w, _ := d.Status("b")
		convey.So(w.Usable(), convey.ShouldBeFalse)
		older := d.WithChanges(start, 11, []Change{{Entry: entry("b", "s", "2")}})
		w, _ = older.Status("b")
		convey.So(w.Usable(), convey.ShouldBeFalse)
		convey.So(older.At(), convey.ShouldEqual, 12)
	})
	convey.Convey("The same update raises no revision", t, func() {
		d := Directory{}.WithList(start, 10, []Entry{entry("a", "s", "1")})
		again := d.WithChanges(start, 11, []Change{{Entry: entry("a", "s", "1")}})
		convey.So(again.Revision(), convey.ShouldEqual, d.Revision())
		convey.So(again.At(), convey.ShouldEqual, 11)
	})
	convey.Convey("An endpoint proved to have left stays out though it is listed again", t, func() {
		d := Directory{}.WithList(start, 10, []Entry{entry("a", "s", "1")}).WithReplaced("a", entry("a", "s", "1").Address)
		e := entry("a", "s", "1")
		e.Slots = 5
		d = d.WithChanges(start, 11, []Change{{Entry: e}})
		w, _ := d.Status("a")
		convey.So(w.Usable(), convey.ShouldBeFalse)
	})
	convey.Convey("A drained zone affects only its own endpoints, later ones included", t, func() {
		other := entry("b", "s", "2")
		other.Zone = "zone-b"
		d := Directory{}.WithList(start, 10, []Entry{entry("a", "s", "1"), other})
		drained := d.WithDrained(start, map[string]bool{"zone-a": true})
		changed, remembered := drained.ChangedSince(d.Revision())
		convey.So(remembered, convey.ShouldBeTrue)
		convey.So(changed, convey.ShouldResemble, []string{"a"})
		convey.So(drained.ZoneDrained("zone-a"), convey.ShouldBeTrue)
		later := drained.WithUpdate(start, Update{After: 10, At: 11, Changes: []Change{{Entry: entry("c", "s", "3")}}})
		for id, usable := range map[string]bool{"a": false, "b": true, "c": false} {
			w, _ := later.Status(id)
			convey.So(w.Usable(), convey.ShouldEqual, usable)
			convey.So(EndpointOf(table.Service{Name: "s"}, w).Leaving, convey.ShouldEqual, !usable)
		}
		convey.So(drained.WithDrained(start, map[string]bool{"zone-a": true}).Revision(), convey.ShouldEqual, drained.Revision())
		back := start.Add(time.Minute)
		w, _ := later.WithDrained(back, nil).Status("c")
		convey.So(w.Usable(), convey.ShouldBeTrue)
		convey.So(w.ColdEnd(time.Second), convey.ShouldEqual, back.Add(time.Second))
		w, _ = later.WithDrained(back, nil).Status("b")
		convey.So(w.ColdEnd(time.Second), convey.ShouldHappenBefore, back)
	})
	convey.Convey("Endpoints that are gone are forgotten after a while, the others never", t, func() {
		d := Directory{}.WithList(start, 10, []Entry{entry("a", "s", "1"), entry("b", "s", "2")})
		d = d.WithChanges(start, 11, []Change{{Entry: Entry{ID: "b"}, Gone: true}})
		convey.So(d.WithoutGone(start.Add(time.Second), 2*time.Second).Len(), convey.ShouldEqual, 2)
		convey.So(d.WithoutGone(start.Add(3*time.Second), 2*time.Second).Len(), convey.ShouldEqual, 1)
	})
}

func TestMerge(t *testing.T) {
	routed := table.Table{
		Generation: 3,
		Services: []table.Service{
			{Name: "plain", Kind: table.KindRouted},
			{Name: "model", Kind: table.KindRouted, Engine: &table.EngineLimits{Slots: 8, KVTokens: 1000, KVBytesPerToken: 10}},
		},
		Routes: []table.Route{{Prefix: "/m/", TargetMS: 900, GapMS: 300, Targets: []table.RouteTarget{{Service: "model", Weight: 1}}}},
	}
	convey.Convey("Endpoints are in the pools of their services, by stage", t, func() {
		pre, dec := entry("pre", "model", "1"), entry("dec", "model", "2")
		pre.Stage, dec.Stage = StagePrefill, StageDecode
		leaving := entry("p2", "plain", "4")
		leaving.Draining = true
		d := Directory{}.WithList(start, 1, []Entry{pre, dec, entry("p1", "plain", "3"), leaving})
		d = d.WithChanges(start, 2, []Change{{Entry: entry("p3", "plain", "5")}, {Entry: entry("p3", "plain", "5"), Gone: true}})
		m := Merge(routed, d)
		convey.So(m.Generation, convey.ShouldEqual, 3)
		convey.So(len(m.Endpoints), convey.ShouldEqual, 4)
		convey.So(len(routed.Endpoints), convey.ShouldEqual, 0)
		groups := make(map[string]table.Group)
		for _, g := range m.Groups() {
			groups[g.Service] = g
		}
		convey.So(len(groups["plain"].Members), convey.ShouldEqual, 2)
		for _, member := range groups["model"].Members {
			convey.So(member.Prefill, convey.ShouldEqual, member.Endpoint.Name == "pre")
			convey.So(member.Decode, convey.ShouldEqual, member.Endpoint.Name == "dec")
		}
		s, _ := m.Service("model")
		convey.So(s.Kind, convey.ShouldEqual, table.KindModel)
		convey.So(s.FirstTokenMS, convey.ShouldEqual, 900)
	})
}

// TestOracleDirectory compares the directory with a store that it follows through
// lists and changes, some of which arrive twice or late.
func TestOracleDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []string{"a", "b", "c", "d"}
		type historyEntry struct {
			at      uint64
			change  Change
			present map[string]Entry
		}
		truth := map[string]Entry{}
		history := []historyEntry{{present: map[string]Entry{}}}
		for at := uint64(1); at <= 30; at++ {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			e := entry(id, "s", rapid.SampledFrom([]string{"1", "2"}).Draw(t, "address"))
			e.Draining = rapid.Bool().Draw(t, "draining")
			c := Change{Entry: e, Gone: rapid.Bool().Draw(t, "gone")}
			if c.Gone {
				delete(truth, id)
			} else {
				truth[id] = e
			}
			present := make(map[string]Entry, len(truth))
			for k, v := range truth {
				present[k] = v
			}
			history = append(history, historyEntry{at: at, change: c, present: present})
		}
		d := Directory{}
		// left has the addresses at which others answered.
		left := map[string]string{}
		listed := func(e Entry) {
			if address, found := left[e.ID]; found && address != e.Address {
				delete(left, e.ID)
			}
		}
		drained := false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			to := rapid.IntRange(0, 30).Draw(t, "to")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				var list []Entry
				for _, e := range history[to].present {
					list = append(list, e)
					if uint64(to) >= d.At() {
						listed(e)
					}
				}
				d = d.WithList(start, uint64(to), list)
			case 1:
				var changes []Change
				for at := int(d.At()) + 1; at <= to; at++ {
					changes = append(changes, history[at].change)
					if !history[at].change.Gone {
						listed(history[at].change.Entry)
					}
				}
				d = d.WithChanges(start, uint64(to), changes)
			case 2:
				drained = rapid.Bool().Draw(t, "zone drained")
				d = d.WithDrained(start, map[string]bool{"zone-a": drained, "zone-b": true})
			default:
				id := rapid.SampledFrom(ids).Draw(t, "left")
				w, known := d.Status(id)
				if known {
					left[id] = w.Address
				}
				d = d.WithReplaced(id, w.Address)
			}
			for _, id := range ids {
				e, listed := history[d.At()].present[id]
				w, known := d.Status(id)
				_, gone := left[id]
				if known && w.Usable() != (listed && !e.Draining && !gone && !drained) {
					t.Fatalf("at %d: %s usable %v, listed %v draining %v left %v zone drained %v", d.At(), id, w.Usable(), listed, e.Draining, gone, drained)
				}
				if !known && listed {
					t.Fatalf("at %d: %s is listed and not known", d.At(), id)
				}
			}
		}
	})
}

// Guards against an endpoint that gets nothing for good since its former address belongs to another one.
func TestEndpointThatStartedAgainStaysReplaced(t *testing.T) {
	first := Entry{ID: "a", Service: "s", Address: "1", Born: 1}
	again := Entry{ID: "a", Service: "s", Address: "2", Born: 2}
	known := Directory{}.WithList(time.Unix(1000, 0), 1, []Entry{first})
	change := func(d Directory, e Entry, at uint64) Directory {
		return d.WithChanges(time.Unix(1000, 0), at, []Change{{Entry: e}})
	}
	cases := map[string]struct {
		directory Directory
		usable    bool
	}{
		"found replaced before it starts again": {change(known.WithReplaced("a", "1"), again, 2), true},
		"found replaced after it started again": {change(known, again, 2).WithReplaced("a", "1"), true},
		"its new address is another's":          {change(known, again, 2).WithReplaced("a", "2"), false},
		"its entry comes again as it was":       {change(known.WithReplaced("a", "1"), first, 2), false},
		"its entry goes and comes again": {
			change(known.WithReplaced("a", "1").WithChanges(time.Unix(1000, 0), 2, []Change{{Entry: Entry{ID: "a"}, Gone: true}}), first, 3), false,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if w, _ := c.directory.Status("a"); w.Usable() != c.usable {
				t.Errorf("usable: %v", w.Usable())
			}
		})
	}
}

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { os.Exit(seed.Run(m, 5000)) }
