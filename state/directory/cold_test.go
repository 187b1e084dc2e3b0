// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// coldEntry is the entry of an endpoint that reports how long it is still cold.
func coldEntry(left time.Duration) Entry {
	e := entry("a", "s", "1")
	e.ColdFor = left
	return e
}

func TestColdEnd(t *testing.T) {
	const (
		second = time.Second
		cold   = 6 * second
	)
	type report struct {
		at   time.Duration
		left time.Duration
	}
	cases := map[string]struct {
		// first is on the list that the box reads first.
		first   *report
		reports []report
		want    time.Duration
		never   bool
	}{
		"never cold":                              {first: &report{}, never: true},
		"by its report":                           {first: &report{left: 4 * second}, want: 4 * second},
		"from its first appearance":               {reports: []report{{at: second}}, want: 7 * second},
		"its report overrides the appearance":     {reports: []report{{at: second, left: 2 * second}}, want: 3 * second},
		"the same report again later":             {first: &report{left: 4 * second}, reports: []report{{at: 2 * second, left: 4 * second}}, want: 4 * second},
		"its heartbeats, read late":               {first: &report{left: 4 * second}, reports: []report{{at: 1300 * time.Millisecond, left: 3 * second}}, want: 4 * second},
		"a report that it ends sooner":            {first: &report{left: 4 * second}, reports: []report{{at: second, left: second}}, want: 2 * second},
		"cold again":                              {first: &report{left: second}, reports: []report{{at: 500 * time.Millisecond}, {at: 9 * second, left: cold}}, want: 15 * second},
		"cold again before it was warm":           {first: &report{left: 2 * second}, reports: []report{{at: second, left: cold}}, want: 7 * second},
		"cold again for a moment":                 {first: &report{left: second}, reports: []report{{at: 500 * time.Millisecond}, {at: second, left: second}}, want: 2 * second},
		"the same report for another period":      {first: &report{left: cold}, reports: []report{{at: 9 * second, left: cold}}, want: 15 * second},
		"warm by its report":                      {first: &report{left: cold}, reports: []report{{at: second}}, want: second},
		"a new one that still does not report":    {reports: []report{{at: second}, {at: 2 * second}}, want: 7 * second},
		"a new one, reports a heartbeat later":    {reports: []report{{at: second}, {at: 2 * second, left: 3 * second}}, want: 5 * second},
		"cold again though listed at the start":   {first: &report{}, reports: []report{{at: 9 * second, left: cold}}, want: 15 * second},
		"warm by its report, then cold again":     {first: &report{left: cold}, reports: []report{{at: second}, {at: 2 * second, left: cold}}, want: 8 * second},
		"late report of the end":                  {first: &report{left: second}, reports: []report{{at: 3 * second}}, want: second},
		"heartbeats that fall behind by a little": {first: &report{left: 4 * second}, reports: []report{{at: second, left: 3200 * time.Millisecond}}, want: 4 * second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var first []Entry
			if c.first != nil {
				first = append(first, coldEntry(c.first.left))
			}
			d, at := Directory{}.WithList(start, 1, first), uint64(1)
			for _, w := range c.reports {
				at++
				d = d.WithChanges(start.Add(w.at), at, []Change{{Entry: coldEntry(w.left)}})
			}
			w, _ := d.Status("a")
			if got := w.ColdEnd(cold); got.IsZero() != c.never || !c.never && !got.Equal(start.Add(c.want)) {
				t.Errorf("cold until %v after the start, want %v", got.Sub(start), c.want)
			}
		})
	}
}

func TestWithStart(t *testing.T) {
	const cold = 6 * time.Second
	at := start.Add(10 * time.Second)
	cases := map[string]struct {
		entry Entry
		want  time.Duration
	}{
		"one that reports nothing":             {entry: coldEntry(0), want: cold},
		"one that is cold for longer":          {entry: coldEntry(30 * time.Second), want: 20 * time.Second},
		"one that would have been warm sooner": {entry: coldEntry(12 * time.Second), want: cold},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w, _ := Directory{}.WithList(start, 1, []Entry{c.entry}).Status("a")
			if got := w.WithStart(at).ColdEnd(cold).Sub(at); got != c.want {
				t.Errorf("cold for %v, want %v", got, c.want)
			}
		})
	}
}

func TestHeartbeatsOfAColdEndpoint(t *testing.T) {
	d := Directory{}.WithList(start, 1, []Entry{coldEntry(5 * time.Second)})
	next := d.WithChanges(start.Add(time.Second), 2, []Change{{Entry: coldEntry(4 * time.Second)}})
	if next.Revision() != d.Revision() {
		t.Error("a heartbeat counts as a change of the directory")
	}
	// A box that learns of it only now must not extend the cold period.
	late := Directory{}.WithUpdate(start.Add(time.Second), next.Snapshot())
	if w, _ := late.Status("a"); !w.ColdUntil.Equal(start.Add(5 * time.Second)) {
		t.Errorf("for a box that joins it is cold until %v after the start", w.ColdUntil.Sub(start))
	}
	// Other changes still apply.
	leaving := coldEntry(3 * time.Second)
	leaving.Draining = true
	if w, _ := next.WithChanges(start.Add(2*time.Second), 3, []Change{{Entry: leaving}}).Status("a"); w.Usable() {
		t.Error("an endpoint that leaves is still used")
	}
}

// TestOracleCold follows an endpoint that is cold from time to time. The endpoint writes its
// entry with each heartbeat; a box reads some entries late and some twice.
func TestOracleCold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			heartbeat = 1200 * time.Millisecond
			latest    = time.Second
		)
		draw := func(from, to time.Duration, what string) time.Duration {
			return from + time.Duration(rapid.Int64Range(0, int64(to-from)).Draw(t, what))
		}
		d := Directory{}.WithList(start, 1, []Entry{coldEntry(0)})
		var warm, knownFrom, mayBeUntil time.Duration
		at, read := uint64(1), time.Duration(0)
		for now := heartbeat; now < 20*time.Second; now += heartbeat {
			if now > warm && rapid.IntRange(0, 3).Draw(t, "cools") == 0 {
				// It became cold after its last heartbeat.
				warm, knownFrom, mayBeUntil = now+draw(0, 6*time.Second, "for"), 0, 0
			}
			if rapid.IntRange(0, 4).Draw(t, "missed") == 0 {
				continue
			}
			left := max(warm-now, 0).Truncate(time.Millisecond)
			read = max(read, now+draw(0, latest, "late"))
			if knownFrom == 0 {
				knownFrom, mayBeUntil = read, read+left
			}
			for range rapid.IntRange(1, 2).Draw(t, "reads") {
				at++
				d = d.WithChanges(start.Add(read), at, []Change{{Entry: coldEntry(left)}})
				read = min(read+draw(0, 100*time.Millisecond, "again"), now+heartbeat)
			}
			w, _ := d.Status("a")
			until := w.ColdEnd(time.Hour).Sub(start)
			if left > 0 && warm > read && until < warm-maxLaterEnd {
				t.Fatalf("at %v it is cold until %v, known until %v", read, warm, until)
			}
			if left > 0 && warm > read && until > mayBeUntil+time.Millisecond {
				t.Fatalf("at %v it is cold until %v, known until %v; reported no later than %v", read, warm, until, mayBeUntil)
			}
		}
	})
}

// TestZonesTakenBack drains a zone and ends the drain while its endpoint does not report that
// it is cold.
func TestZonesTakenBack(t *testing.T) {
	const cold = 6 * time.Second
	in := func(zones ...string) map[string]bool {
		out := make(map[string]bool)
		for _, zone := range zones {
			out[zone] = true
		}
		return out
	}
	back := start.Add(10 * time.Second)
	cases := map[string]struct {
		drained, then map[string]bool
		// reported is the endpoint's report a second after the change; 0 is none.
		reported time.Duration
		want     time.Duration
	}{
		"drain ended":                     {drained: in("zone-a"), want: cold},
		"drain ended, another goes on":    {drained: in("zone-a", "zone-b"), then: in("zone-b"), want: cold},
		"its report overrides the start":  {drained: in("zone-a"), reported: 2 * time.Second, want: 3 * time.Second},
		"still drained":                   {drained: in("zone-a", "zone-b"), then: in("zone-a")},
		"another zone's drain ended":      {drained: in("zone-b")},
		"drained as another's drain ends": {drained: in("zone-b"), then: in("zone-a")},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := coldEntry(0)
			e.Zone = "zone-a"
			d := Directory{}.WithList(start, 1, []Entry{e}).WithDrained(start, c.drained).WithDrained(back, c.then)
			if c.reported > 0 {
				e.ColdFor = c.reported
				d = d.WithChanges(back.Add(time.Second), 2, []Change{{Entry: e}})
			}
			w, _ := d.Status("a")
			if got := max(w.ColdEnd(cold).Sub(back), 0); got != c.want {
				t.Errorf("cold for %v after the change, want %v", got, c.want)
			}
		})
	}
}
