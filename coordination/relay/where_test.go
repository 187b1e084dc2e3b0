// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"testing"
	"time"

	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/account"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// known is a directory that does not change by itself.
type known struct{ d directory.Directory }

func (k *known) Directory() directory.Directory { return k.d }
func (*known) Left(string)                      {}

// places are groups without homes.
type places []group.Place

func (p places) PlacesOf(string) []group.Place             { return p }
func (places) HomesOf(string) []string                     { return nil }
func (places) Tell(string, string, home.Body) ring.Outcome { return ring.Accepted }

// twoRegions has the zones n1 and n2 in north and s1 in south; of x nothing is known.
var twoRegions = locality.New(map[string]string{"n1": "north", "n2": "north", "s1": "south"})

// byZone are groups of one zone each, and allOne is one of all.
var (
	byZone = places{placeIn("n1"), placeIn("n2"), placeIn("s1"), placeIn("x")}
	allOne = places{{Key: "s"}}
)

// placeIn is the group of one zone.
func placeIn(zone string) group.Place {
	return group.Place{Key: "s/" + zone, Zone: zone, Region: twoRegions.Region(zone)}
}

// keySum is the digest of the account's key.
var keySum = sha256.Sum256([]byte("key"))

// bound makes a request of a route and an account with their allowed regions, on a box
// in zone n1 that knows an endpoint of each zone.
func bound(p places, route, holder []string, drained ...string) (*run, *Relay) {
	zones := make(map[string]bool)
	for _, zone := range drained {
		zones[zone] = true
	}
	var entries []directory.Entry
	for _, zone := range []string{"n1", "n2", "s1", "x"} {
		entries = append(entries, directory.Entry{ID: "e-" + zone, Service: "s", Zone: zone})
	}
	d := &known{directory.Directory{}.WithList(time.Now(), 1, entries).WithDrained(time.Now(), zones)}
	r := New(Config{Zone: "n1", Homes: p, Directory: d, Regions: twoRegions, Log: log.Discard(), NextID: func() lifecycle.RequestID { return lifecycle.RequestID{} }})
	r.SetTable(tableOf(1, route, holder))
	v := newRun(r, Request{Host: "h", Path: "/a/x", Credential: Credential{Valid: true, Key: account.Digest(keySum)}}, nil)
	v.service = table.Service{Name: "s", Engine: &table.EngineLimits{}}
	v.route, _ = r.index.Match("h", "/a/x")
	v.identify()
	return v, r
}

func tableOf(generation uint64, route, holder []string) table.Table {
	return table.Table{
		Generation: generation,
		Services:   []table.Service{{Name: "s", Kind: table.KindRouted}},
		Routes:     []table.Route{{Name: "a", Host: "h", Prefix: "/a/", Targets: []table.RouteTarget{{Service: "s", Weight: 1}}, AllowedRegions: route}},
		Accounts:   []table.Account{{Name: "desk", KeysSHA256: []string{hex.EncodeToString(keySum[:])}, AllowedRegions: holder}},
	}
}

// within says whether some endpoints are all of the allowed zones.
func within(zones []string, ids ...string) bool {
	return !slices.ContainsFunc(ids, func(id string) bool { return !slices.Contains(zones, id[len("e-"):]) })
}

func TestWhereRequestsMayGo(t *testing.T) {
	cases := map[string]struct {
		route, holder []string
		drained       []string
		// zones are those that the request may go to.
		zones []string
		// reason is why it goes nowhere.
		reason string
	}{
		"bound by nothing":                        {zones: []string{"n1", "n2", "s1", "x"}},
		"by the route":                            {route: []string{"south"}, zones: []string{"s1"}},
		"by the account":                          {holder: []string{"north"}, zones: []string{"n1", "n2"}},
		"by both":                                 {route: []string{"north", "south"}, holder: []string{"south", "west"}, zones: []string{"s1"}},
		"by both, which have nothing in common":   {route: []string{"north"}, holder: []string{"south"}, reason: reasonForbidden},
		"a region without zones":                  {route: []string{"west"}, reason: reasonForbidden},
		"all allowed zones are drained":           {holder: []string{"south"}, drained: []string{"s1"}, reason: string(lifecycle.ReasonNoEngine)},
		"one of the allowed zones is drained":     {holder: []string{"north"}, drained: []string{"n1"}, zones: []string{"n2"}},
		"a zone is drained, and nothing is bound": {drained: []string{"n1"}, zones: []string{"n2", "s1", "x"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v, _ := bound(byZone, c.route, c.holder, c.drained...)
			var asked []string
			for range byZone {
				g := v.chooseGroup()
				if g == "" {
					break
				}
				asked = append(asked, "e-"+g[len("s/"):])
				v.without = append(v.without, g)
			}
			if len(asked) != len(c.zones) || !within(c.zones, asked...) {
				t.Errorf("asks for %v, want %v", asked, c.zones)
			}
			for _, zone := range []string{"n1", "n2", "s1", "x"} {
				if _, reason := v.endpoint("e-" + zone); (reason == "") != slices.Contains(c.zones, zone) {
					t.Errorf("endpoint in %s: %q", zone, reason)
				}
			}
			plan, _ := v.placeAlone()
			if alone := plan.Decode; (alone == "") != (len(c.zones) == 0) || alone != "" && !within(c.zones, alone) {
				t.Errorf("placed alone at %q", alone)
			}
			if c.reason != "" {
				v.without = nil
				if res := v.try(context.Background()); res.kind != refused || res.reason != c.reason {
					t.Errorf("refused: %v, reason %s", res.kind == refused, res.reason)
				}
			}
		})
	}
}

func TestAGroupOfSeveralRegions(t *testing.T) {
	v, _ := bound(allOne, nil, []string{"south"})
	v.setGroup(v.chooseGroup())
	if avoid := v.question().Avoid; v.group != "s" || !slices.Equal(slices.Sorted(slices.Values(avoid)), []string{"e-n1", "e-n2", "e-x"}) {
		t.Errorf("asks %q to avoid %v", v.group, avoid)
	}
	v, _ = bound(allOne, nil, nil)
	v.setGroup(v.chooseGroup())
	if avoid := v.question().Avoid; len(avoid) != 0 {
		t.Errorf("bound by nothing, and avoids %v", avoid)
	}
	v, _ = bound(allOne, []string{"west"}, nil)
	if g := v.chooseGroup(); g != "" {
		t.Errorf("asks %q, which has nothing for it", g)
	}
}

// TestGroupsOfRegions holds that only the groups of allowed regions are asked, and that
// a question to one lists no endpoints of other groups.
func TestGroupsOfRegions(t *testing.T) {
	north, south := group.Place{Key: "s@north", Region: "north"}, group.Place{Key: "s@south", Region: "south"}
	cases := map[string]struct {
		places  places
		holder  []string
		drained []string
		want    string
		reason  string
	}{
		"the other region's":               {places: places{north, south}, holder: []string{"south"}, want: "s@south"},
		"the own one":                      {places: places{north, placeIn("s1")}, holder: []string{"north"}, want: "s@north"},
		"none of those there are":          {places: places{north}, holder: []string{"south"}, reason: reasonForbidden},
		"the zones of the one are drained": {places: places{north, south}, holder: []string{"south"}, drained: []string{"s1"}, reason: string(lifecycle.ReasonNoEngine)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v, _ := bound(c.places, nil, c.holder, c.drained...)
			v.setGroup(v.chooseGroup())
			if v.group != c.want {
				t.Errorf("asks %q, want %q", v.group, c.want)
			}
			if avoid := v.question().Avoid; len(avoid) != 0 {
				t.Errorf("the question lists %v", avoid)
			}
			if v.group == "" && v.noGroup() != c.reason {
				t.Errorf("refused for %s, want %s", v.noGroup(), c.reason)
			}
		})
	}
}

// TestRegionsAreLookedUpAtEachSend changes route and account between the grant and the
// send.
func TestRegionsAreLookedUpAtEachSend(t *testing.T) {
	cases := map[string]struct{ route, holder []string }{
		"of the route":   {route: []string{"south"}},
		"of the account": {holder: []string{"south"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v, r := bound(byZone, nil, nil)
			r.SetTable(tableOf(2, c.route, c.holder))
			for stage, res := range map[string]result{
				"prefill": v.prefill(context.Background(), "e-n1", schedule.Ask{}),
				"decode":  v.send(context.Background(), "e-n1", ""),
			} {
				if res.kind != unsent || res.reason != reasonForbidden {
					t.Errorf("%s: %+v", stage, res)
				}
			}
			if v.sends+v.prefills != 0 {
				t.Error("counted as sent")
			}
		})
	}
}

// byRegion are groups of one region each, with endpoints of several zones.
var byRegion = places{{Key: "s/north", Region: "north"}, {Key: "s/south", Region: "south"}}

func TestGroupsOfOneRegionEach(t *testing.T) {
	cases := map[string]struct {
		allowed, drained []string
		// groups are those that are asked, and reason is why no further one is.
		groups []string
		reason string
	}{
		"bound to the box's region":       {allowed: []string{"north"}, groups: []string{"s/north"}, reason: string(lifecycle.ReasonNoEngine)},
		"bound to another":                {allowed: []string{"south"}, groups: []string{"s/south"}, reason: string(lifecycle.ReasonNoEngine)},
		"bound to both":                   {allowed: []string{"south", "north"}, groups: []string{"s/north", "s/south"}, reason: string(lifecycle.ReasonNoEngine)},
		"bound to one without endpoints":  {allowed: []string{"west"}, reason: reasonForbidden},
		"one of the region's zones":       {allowed: []string{"north"}, drained: []string{"n1"}, groups: []string{"s/north"}, reason: string(lifecycle.ReasonNoEngine)},
		"all of the region's are drained": {allowed: []string{"south"}, drained: []string{"s1"}, reason: string(lifecycle.ReasonNoEngine)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v, _ := bound(byRegion, c.allowed, nil, c.drained...)
			var asked []string
			for range len(byRegion) + 1 {
				g := v.chooseGroup()
				if g == "" {
					break
				}
				v.setGroup(g)
				if avoid := v.question().Avoid; len(avoid) != 0 {
					t.Errorf("asks %s to avoid %v", g, avoid)
				}
				asked = append(asked, g)
				v.without = append(v.without, g)
			}
			if !slices.Equal(asked, c.groups) {
				t.Errorf("asks %v, want %v", asked, c.groups)
			}
			if reason := v.noGroup(); reason != c.reason {
				t.Errorf("no group, since %s, want %s", reason, c.reason)
			}
		})
	}
}
