// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"testing"
	"time"

	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// unansweringGroups are groups whose homes do not answer.
type unansweringGroups []group.Place

func (p unansweringGroups) PlacesOf(string) []group.Place             { return p }
func (unansweringGroups) HomesOf(group string) []string               { return []string{"home of " + group} }
func (unansweringGroups) Send(string, string, home.Body) ring.Outcome { return ring.Accepted }

func zonePlace(zone, region string) group.Place {
	return group.Place{Key: "s/" + zone, Zone: zone, Region: region}
}

// fourAndOne has four groups in region a and one in region b.
var fourAndOne = unansweringGroups{
	zonePlace("a-1", "a"), zonePlace("a-2", "a"), zonePlace("a-3", "a"), zonePlace("a-4", "a"), zonePlace("b-1", "b"),
}

// handlerAt returns the handler of a request that arrived in a zone.
func handlerAt(places unansweringGroups, zone, region string) *handler {
	regions := make(map[string]string)
	if region != "" {
		regions[zone] = region
		for _, p := range places {
			regions[p.Zone] = p.Region
		}
	}
	r := New(Config{Endpoints: &failingEndpoints{}, Zone: zone, Regions: locality.New(regions), Homes: places, Directory: &staticDirectory{}, Log: log.Discard()})
	return &handler{relay: r, service: table.Service{Name: "s"}, route: table.Route{Repeat: table.RepeatSafe, TargetMS: 300}}
}

// askedGroups returns the groups that are asked if each of them refuses for the given reason.
func askedGroups(h *handler, reason lifecycle.Reason) []string {
	var out []string
	for {
		h.setGroup(h.chooseGroup())
		if h.group == "" {
			return out
		}
		h.attempt++
		out = append(out, h.group)
		if !h.spillAfter(result{
			kind:       refused,
			noCapacity: reason == lifecycle.ReasonTargetUnreachable,
			noEngine:   reason == lifecycle.ReasonNoEngine,
			reason:     string(reason),
		}) {
			return out
		}
	}
}

func TestSpillByDistance(t *testing.T) {
	const full, none = lifecycle.ReasonTargetUnreachable, lifecycle.ReasonNoEngine
	cases := map[string]struct {
		places       unansweringGroups
		zone, region string
		reason       lifecycle.Reason
		// first is the group asked first, near and far the number of groups asked in the own
		// region and in others, and last whether the first group is asked again.
		first     string
		near, far int
		last      bool
	}{
		"own zone, two of the region, one of another": {places: fourAndOne, zone: "a-1", region: "a", reason: full, first: "s/a-1", near: 3, far: 1, last: true},
		"a region with one group":                     {places: fourAndOne, zone: "b-1", region: "b", reason: full, first: "s/b-1", near: 1, far: 1, last: true},
		"one region":                                  {places: fourAndOne[:4], zone: "a-2", region: "a", reason: full, first: "s/a-2", near: 3, last: true},
		"no region is known":                          {places: unansweringGroups{zonePlace("z", ""), zonePlace("y", "")}, zone: "z", reason: full, first: "s/z", near: 2, last: true},
		"no group in the region":                      {places: fourAndOne, zone: "c", region: "c", reason: full, far: 3, last: true},
		"no group has an engine: each is asked once":  {places: fourAndOne, zone: "b-1", region: "b", reason: none, first: "s/b-1", near: 1, far: 4},
		"the only group has no engine":                {places: fourAndOne[4:], zone: "b-1", region: "b", reason: none, first: "s/b-1", near: 1},
		"refusal that applies to all groups":          {places: fourAndOne, zone: "a-1", region: "a", reason: lifecycle.ReasonAccountLimit, first: "s/a-1", near: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := askedGroups(handlerAt(c.places, c.zone, c.region), c.reason)
			regions := make(map[string]string)
			for _, p := range c.places {
				regions[p.Key] = p.Region
			}
			if len(got) == 0 || c.first != "" && got[0] != c.first {
				t.Fatalf("asked %v, the first should be %s", got, c.first)
			}
			if c.last {
				if got[len(got)-1] != got[0] || len(got) == 1 {
					t.Fatalf("asked %v, the last should be the first again", got)
				}
				got = got[:len(got)-1]
			}
			near, seen := 0, make(map[string]bool)
			for i, key := range got {
				if seen[key] {
					t.Errorf("asked %v, a group twice", got)
				}
				seen[key] = true
				if regions[key] == c.region {
					near++
				}
				if i > 0 && regions[key] == c.region && regions[got[i-1]] != c.region {
					t.Errorf("asked %v, a group of the region after one of another region", got)
				}
			}
			if near != c.near || len(got)-near != c.far {
				t.Errorf("asked %v, want %d of the region and %d of others", got, c.near, c.far)
			}
		})
	}
}

// TestPatienceForHomes checks that the timeout of an ask to another region includes the round
// trip.
func TestPatienceForHomes(t *testing.T) {
	cases := map[string]struct {
		group string
		trip  time.Duration
		want  time.Duration
	}{
		"home in the same region":                  {group: "s/a-2", trip: 90 * time.Millisecond, want: homeTimeout},
		"home in another region":                   {group: "s/b-1", trip: 90 * time.Millisecond, want: homeTimeout + 90*time.Millisecond},
		"home in another region, not measured yet": {group: "s/b-1", want: homeTimeout + defaultRoundTrip},
		"unknown group":                            {group: "s/x", want: homeTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := handlerAt(fourAndOne, "a-1", "a")
			h.relay.cfg.RoundTrip = func(string) time.Duration { return c.trip }
			h.setGroup(c.group)
			if got := h.sendAsk(schedule.Ask{}, 0, askTimes{}); got != c.want {
				t.Errorf("timeout %v, want %v", got, c.want)
			}
		})
	}
}
