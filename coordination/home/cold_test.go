// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package home

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/state/rank"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// layoutOf returns the layout of a service with endpoints in the given zones.
func layoutOf(zones ...string) *group.Layout {
	t := table.Table{Generation: 1, Services: []table.Service{{Name: "s", Kind: table.KindRouted}}}
	var entries []directory.Entry
	for _, zone := range zones {
		for range table.MaxGroup {
			entries = append(entries, directory.Entry{ID: zone + string(rune('a'+len(entries)%26)) + zone, Service: "s", Zone: zone, Slots: 1})
		}
	}
	return group.New(t, directory.Directory{}.WithList(time.Now(), 1, entries)).Layout()
}

func TestHomeFor(t *testing.T) {
	const long = 10 * time.Second
	const gap = 2 * pace.ReturnTime
	mine := rank.Of([]string{"self"})
	theirs := rank.Of([]string{"b"})
	cases := map[string]struct {
		change func(r *Router)
		// want is how long the box has been home of zone z2's group at the end.
		want time.Duration
		own  bool
	}{
		"nothing changes":                 {change: func(*Router) {}, want: 2 * long, own: true},
		"the same boxes again":            {change: func(r *Router) { r.SetLive(mine, mine) }, want: 2 * long, own: true},
		"another box has it":              {change: func(r *Router) { r.SetLive(theirs, theirs) }},
		"another box had it for a moment": {change: func(r *Router) { r.SetLive(theirs, theirs); r.SetLive(mine, mine) }, want: 2 * long, own: true},
		"another box had it for long": {change: func(r *Router) {
			r.SetLive(theirs, theirs)
			time.Sleep(gap)
			r.SetLive(mine, mine)
		}, want: long, own: true},
		"the zone's endpoints come back together": {change: func(r *Router) {
			r.SetLayout(layoutOf("z1", "z3"))
			time.Sleep(gap)
			r.SetLayout(layoutOf("z1", "z2", "z3"))
		}, want: 2*long + gap, own: true},
		"its endpoints were in other groups": {change: func(r *Router) {
			r.SetLayout(layoutOf("z1"))
			time.Sleep(gap)
			r.SetLayout(layoutOf("z1", "z2", "z3"))
		}, want: long, own: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := NewRouter("self", nil)
				r.SetLayout(layoutOf("z1", "z2", "z3"))
				time.Sleep(long)
				c.change(r)
				time.Sleep(long)
				got, own := r.HomeDuration("s/z2")
				if own != c.own || own && got != c.want {
					t.Errorf("is home: %v for %v, want %v for %v", own, got, c.own, c.want)
				}
			})
		})
	}
}

// coldHomes returns the homes of a service whose only endpoint is cold.
func coldHomes(standing pace.Standing) *Homes {
	t := table.Table{Generation: 1, Services: []table.Service{{Name: "s", Kind: table.KindRouted, ColdPace: 1}}}
	cold := directory.Entry{ID: "e", Service: "s", Zone: "z", Slots: 20, ColdFor: time.Minute}
	h := New(Config{
		Self: "self", Answers: discardAnswers{}, Log: log.Discard(), ColdBound: pace.Bound{Overage: 1.5, Slack: 5},
		Standing: func(string) pace.Standing { return standing },
	})
	h.configure(group.New(t, directory.Directory{}.WithList(time.Now(), 1, []directory.Entry{cold})))
	return h
}

// flood sends a burst of asks and returns the number of grants that are open afterwards.
func (h *Homes) flood() int {
	for n := range uint64(15) {
		time.Sleep(time.Millisecond)
		id := lifecycle.AttemptID{Request: lifecycle.RequestID{Box: "b", Incarnation: 7, Sequence: n}, Number: 1}
		h.handle(Command{From: "b", Group: "s", Body: schedule.Ask{ID: id, Box: "b", Resume: true}})
	}
	return h.groups["s"].Granted()
}

func TestColdEndpointsOfAHome(t *testing.T) {
	home := pace.Standing{Home: true, For: time.Hour, Seen: 58, All: 58}
	standIn := home
	standIn.Home = false
	cases := map[string]struct {
		standing pace.Standing
		// pause is how long the home is paused before the asks arrive.
		pause time.Duration
		want  int
	}{
		"a home":                      {standing: home, want: 5},
		"one that has been paused":    {standing: home, pause: time.Second},
		"a stand-in for another home": {standing: standIn},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := coldHomes(c.standing)
				h.tick()
				time.Sleep(c.pause)
				if got := h.flood(); got != c.want {
					t.Errorf("%d grants, want %d", got, c.want)
				}
				h.reportCold(time.Now())
				shown := h.ColdEndpoints()
				if len(shown) != 1 || shown[0].Endpoint != "e" || shown[0].Counted != c.want || shown[0].Limit != c.want {
					t.Errorf("operators are shown %+v", shown)
				}
			})
		})
	}
}

func TestGrantsOfARestartedGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := coldHomes(pace.Standing{Home: true, For: time.Hour, Seen: 58, All: 58})
		if got := h.flood(); got != 5 {
			t.Fatalf("%d grants, want 5", got)
		}
		h.drop("s", h.groups["s"], lifecycle.ReasonHomeMoved)
		if got := h.flood(); got != 0 {
			t.Errorf("%d grants in the same second after the group started again", got)
		}
		for begin := time.Now(); time.Since(begin) < pace.Span; h.tick() {
			time.Sleep(tickEvery)
		}
		if got := h.flood(); got != 5 {
			t.Errorf("%d grants a second later, want 5", got)
		}
	})
}

func TestColdBoundOfTheSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := coldHomes(pace.Standing{Home: true, For: time.Hour, Seen: 1, All: 1})
		h.SetColdBound(pace.Bound{})
		if got := h.flood(); got != 15 {
			t.Errorf("%d grants without a bound, want all 15", got)
		}
	})
}

// zoneOf returns the layout of a service with count endpoints in zone z2, and some in z1.
func zoneOf(count int) *group.Layout {
	t := table.Table{Generation: 1, Services: []table.Service{{Name: "s", Kind: table.KindRouted}}}
	var entries []directory.Entry
	for i := range table.MaxGroup {
		entries = append(entries, directory.Entry{ID: fmt.Sprintf("z1-%d", i), Service: "s", Zone: "z1", Slots: 1})
	}
	for i := range count {
		entries = append(entries, directory.Entry{ID: fmt.Sprintf("z2-%d", i), Service: "s", Zone: "z2", Slots: 1})
	}
	return group.New(t, directory.Directory{}.WithList(time.Now(), 1, entries)).Layout()
}

// TestHomeOfAZoneSplitAnew changes the number of a zone's groups. Each of them gets
// endpoints that another home may just have granted, and loses some, so the time as home
// starts anew.
func TestHomeOfAZoneSplitAnew(t *testing.T) {
	const long = 10 * time.Second
	two, four := table.MaxZoneGroup+1, 2*table.MaxZoneGroup+1
	cases := map[string]struct {
		before, after int
		key           string
		want          time.Duration
	}{
		"more, a group that was there":  {two, four, "s/z2#0", long},
		"more, a new group":             {two, four, "s/z2#3", long},
		"fewer, a group that was there": {four, two, "s/z2#0", long},
		"as many":                       {two, two + 1, "s/z2#0", 2 * long},
		"another zone's group":          {two, four, "s/z1", 2 * long},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := NewRouter("self", nil)
				r.SetLayout(zoneOf(c.before))
				time.Sleep(long)
				r.SetLayout(zoneOf(c.after))
				time.Sleep(long)
				if got, own := r.HomeDuration(c.key); !own || got != c.want {
					t.Errorf("is home: %v for %v, want %v; groups %v", own, got, c.want, r.layout.Load().Keys())
				}
			})
		})
	}
}
