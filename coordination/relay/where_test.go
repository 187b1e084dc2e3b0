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

// staticDirectory always returns the same directory.
type staticDirectory struct{ d directory.Directory }

func (s *staticDirectory) Directory() directory.Directory { return s.d }
func (*staticDirectory) MarkReplaced(string, string)      {}

// groupsWithoutHomes lists groups for which there is no box to ask.
type groupsWithoutHomes []group.Place

func (p groupsWithoutHomes) PlacesOf(string) []group.Place             { return p }
func (groupsWithoutHomes) HomesOf(string) []string                     { return nil }
func (groupsWithoutHomes) Send(string, string, home.Body) ring.Outcome { return ring.Accepted }

// twoRegions has the zones n1 and n2 in region north and s1 in south; zone x has no region.
var twoRegions = locality.New(map[string]string{"n1": "north", "n2": "north", "s1": "south"})

// byZone has one group per zone, and allOne one group for all zones.
var (
	byZone = groupsWithoutHomes{placeIn("n1"), placeIn("n2"), placeIn("s1"), placeIn("x")}
	allOne = groupsWithoutHomes{{Key: "s"}}
)

// placeIn returns the group of one zone.
func placeIn(zone string) group.Place {
	return group.Place{Key: "s/" + zone, Zone: zone, Region: twoRegions.Region(zone)}
}

// keyDigest is the digest of the account's key.
var keyDigest = sha256.Sum256([]byte("key"))

// newBoundHandler returns the handler of a request whose route and account have the given
// allowed regions, on a box in zone n1 that knows one endpoint in each zone.
func newBoundHandler(p groupsWithoutHomes, route, holder []string, drained ...string) (*handler, *Relay) {
	zones := make(map[string]bool)
	for _, zone := range drained {
		zones[zone] = true
	}
	var entries []directory.Entry
	for _, zone := range []string{"n1", "n2", "s1", "x"} {
		entries = append(entries, directory.Entry{ID: "e-" + zone, Service: "s", Zone: zone})
	}
	d := &staticDirectory{directory.Directory{}.WithList(time.Now(), 1, entries).WithDrained(time.Now(), zones)}
	r := New(Config{Endpoints: &failingEndpoints{}, Zone: "n1", Homes: p, Directory: d, Regions: twoRegions, Log: log.Discard(), NextID: func() lifecycle.RequestID { return lifecycle.RequestID{} }})
	r.SetTable(tableOf(1, route, holder))
	h := newHandler(r, Request{Host: "h", Path: "/a/x", Credential: Credential{Valid: true, Key: account.Digest(keyDigest)}}, nil)
	h.service = table.Service{Name: "s", Engine: &table.EngineLimits{}}
	h.route, _ = r.index.Match("h", "/a/x")
	h.identify()
	return h, r
}

func tableOf(generation uint64, route, holder []string) table.Table {
	return table.Table{
		Generation: generation,
		Services:   []table.Service{{Name: "s", Kind: table.KindRouted}},
		Routes:     []table.Route{{Name: "a", Host: "h", Prefix: "/a/", Targets: []table.RouteTarget{{Service: "s", Weight: 1}}, AllowedRegions: route}},
		Accounts:   []table.Account{{Name: "desk", KeysSHA256: []string{hex.EncodeToString(keyDigest[:])}, AllowedRegions: holder}},
	}
}

// allInZones reports whether all given endpoints are in the given zones.
func allInZones(zones []string, ids ...string) bool {
	return !slices.ContainsFunc(ids, func(id string) bool { return !slices.Contains(zones, id[len("e-"):]) })
}

func TestWhereRequestsMayGo(t *testing.T) {
	cases := map[string]struct {
		route, holder []string
		drained       []string
		// zones lists the zones that the request may go to.
		zones []string
		// reason is the reason for refusing the request if it may go nowhere.
		reason string
	}{
		"no restriction":                          {zones: []string{"n1", "n2", "s1", "x"}},
		"restricted by the route":                 {route: []string{"south"}, zones: []string{"s1"}},
		"restricted by the account":               {holder: []string{"north"}, zones: []string{"n1", "n2"}},
		"restricted by both":                      {route: []string{"north", "south"}, holder: []string{"south", "west"}, zones: []string{"s1"}},
		"route and account with no common region": {route: []string{"north"}, holder: []string{"south"}, reason: reasonForbidden},
		"region without zones":                    {route: []string{"west"}, reason: reasonForbidden},
		"all allowed zones are drained":           {holder: []string{"south"}, drained: []string{"s1"}, reason: string(lifecycle.ReasonNoEngine)},
		"one of the allowed zones is drained":     {holder: []string{"north"}, drained: []string{"n1"}, zones: []string{"n2"}},
		"a zone is drained, no restriction":       {drained: []string{"n1"}, zones: []string{"n2", "s1", "x"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h, _ := newBoundHandler(byZone, c.route, c.holder, c.drained...)
			var asked []string
			for range byZone {
				g := h.chooseGroup()
				if g == "" {
					break
				}
				asked = append(asked, "e-"+g[len("s/"):])
				h.groupsWithoutEngine = append(h.groupsWithoutEngine, g)
			}
			if len(asked) != len(c.zones) || !allInZones(c.zones, asked...) {
				t.Errorf("asks for %v, want %v", asked, c.zones)
			}
			for _, zone := range []string{"n1", "n2", "s1", "x"} {
				if _, reason := h.endpoint("e-" + zone); (reason == "") != slices.Contains(c.zones, zone) {
					t.Errorf("endpoint in %s: %q", zone, reason)
				}
			}
			plan, _ := h.placeWithoutHome()
			if alone := plan.Decode; (alone == "") != (len(c.zones) == 0) || alone != "" && !allInZones(c.zones, alone) {
				t.Errorf("placed without a home at %q", alone)
			}
			if c.reason != "" {
				h.groupsWithoutEngine = nil
				if res := h.tryOnce(context.Background()); res.kind != refused || res.reason != c.reason {
					t.Errorf("refused: %v, reason %s", res.kind == refused, res.reason)
				}
			}
		})
	}
}

func TestAGroupOfSeveralRegions(t *testing.T) {
	h, _ := newBoundHandler(allOne, nil, []string{"south"})
	h.setGroup(h.chooseGroup())
	if avoid := h.newAsk().Avoid; h.group != "s" || !slices.Equal(slices.Sorted(slices.Values(avoid)), []string{"e-n1", "e-n2", "e-x"}) {
		t.Errorf("asks %q to avoid %v", h.group, avoid)
	}
	h, _ = newBoundHandler(allOne, nil, nil)
	h.setGroup(h.chooseGroup())
	if avoid := h.newAsk().Avoid; len(avoid) != 0 {
		t.Errorf("no restriction, but avoids %v", avoid)
	}
	h, _ = newBoundHandler(allOne, []string{"west"}, nil)
	if g := h.chooseGroup(); g != "" {
		t.Errorf("asks %q, which has no allowed endpoint", g)
	}
}

// TestGroupsOfRegions checks that only groups of allowed regions are asked, and that an ask
// does not list endpoints of other groups to avoid.
func TestGroupsOfRegions(t *testing.T) {
	north, south := group.Place{Key: "s@north", Region: "north"}, group.Place{Key: "s@south", Region: "south"}
	cases := map[string]struct {
		places  groupsWithoutHomes
		holder  []string
		drained []string
		want    string
		reason  string
	}{
		"group of another region":                 {places: groupsWithoutHomes{north, south}, holder: []string{"south"}, want: "s@south"},
		"group of the own region":                 {places: groupsWithoutHomes{north, placeIn("s1")}, holder: []string{"north"}, want: "s@north"},
		"no group in an allowed region":           {places: groupsWithoutHomes{north}, holder: []string{"south"}, reason: reasonForbidden},
		"zones of the allowed region are drained": {places: groupsWithoutHomes{north, south}, holder: []string{"south"}, drained: []string{"s1"}, reason: string(lifecycle.ReasonNoEngine)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h, _ := newBoundHandler(c.places, nil, c.holder, c.drained...)
			h.setGroup(h.chooseGroup())
			if h.group != c.want {
				t.Errorf("asks %q, want %q", h.group, c.want)
			}
			if avoid := h.newAsk().Avoid; len(avoid) != 0 {
				t.Errorf("the ask avoids %v", avoid)
			}
			if h.group == "" && h.noGroupReason() != c.reason {
				t.Errorf("refused with reason %s, want %s", h.noGroupReason(), c.reason)
			}
		})
	}
}

// TestRegionsAreLookedUpAtEachSend changes the allowed regions of the route or account between
// the grant and the send, and checks that the send observes them.
func TestRegionsAreLookedUpAtEachSend(t *testing.T) {
	cases := map[string]struct{ route, holder []string }{
		"route":   {route: []string{"south"}},
		"account": {holder: []string{"south"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h, r := newBoundHandler(byZone, nil, nil)
			r.SetTable(tableOf(2, c.route, c.holder))
			for stage, res := range map[string]result{
				"prefill": h.prefill(context.Background(), "e-n1", schedule.Ask{}),
				"decode":  h.send(context.Background(), "e-n1", ""),
			} {
				if res.kind != unsent || res.reason != reasonForbidden {
					t.Errorf("%s: %+v", stage, res)
				}
			}
			if h.sends+h.prefills != 0 {
				t.Error("counted as sent")
			}
		})
	}
}

// byRegion has one group per region, with endpoints in several zones.
var byRegion = groupsWithoutHomes{{Key: "s/north", Region: "north"}, {Key: "s/south", Region: "south"}}

func TestGroupsOfOneRegionEach(t *testing.T) {
	cases := map[string]struct {
		allowed, drained []string
		// groups lists the groups that are asked, and reason is why no other group is.
		groups []string
		reason string
	}{
		"restricted to the box's region":           {allowed: []string{"north"}, groups: []string{"s/north"}, reason: string(lifecycle.ReasonNoEngine)},
		"restricted to another region":             {allowed: []string{"south"}, groups: []string{"s/south"}, reason: string(lifecycle.ReasonNoEngine)},
		"restricted to both regions":               {allowed: []string{"south", "north"}, groups: []string{"s/north", "s/south"}, reason: string(lifecycle.ReasonNoEngine)},
		"restricted to a region without endpoints": {allowed: []string{"west"}, reason: reasonForbidden},
		"one zone of the region is drained":        {allowed: []string{"north"}, drained: []string{"n1"}, groups: []string{"s/north"}, reason: string(lifecycle.ReasonNoEngine)},
		"all zones of the region are drained":      {allowed: []string{"south"}, drained: []string{"s1"}, reason: string(lifecycle.ReasonNoEngine)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h, _ := newBoundHandler(byRegion, c.allowed, nil, c.drained...)
			var asked []string
			for range len(byRegion) + 1 {
				g := h.chooseGroup()
				if g == "" {
					break
				}
				h.setGroup(g)
				if avoid := h.newAsk().Avoid; len(avoid) != 0 {
					t.Errorf("asks %s to avoid %v", g, avoid)
				}
				asked = append(asked, g)
				h.groupsWithoutEngine = append(h.groupsWithoutEngine, g)
			}
			if !slices.Equal(asked, c.groups) {
				t.Errorf("asks %v, want %v", asked, c.groups)
			}
			if reason := h.noGroupReason(); reason != c.reason {
				t.Errorf("no group with reason %s, want %s", reason, c.reason)
			}
		})
	}
}
