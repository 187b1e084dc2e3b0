// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package path

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/state/locality"
)

var anywhere locality.Allowed

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestState(t *testing.T) {
	convey.Convey("The direct path is used until it fails, and tried again after an interval", t, func() {
		s := State{}
		convey.So(s.Direct(), convey.ShouldBeTrue)
		convey.So(s.ProbeDue(start), convey.ShouldBeFalse)
		s = s.WithLost(start).WithVia("b", anywhere)
		convey.So(s.Direct(), convey.ShouldBeFalse)
		convey.So(s.Via(), convey.ShouldEqual, "b")
		convey.So(s.ProbeDue(start.Add(probeInterval/2)), convey.ShouldBeFalse)
		convey.So(s.ProbeDue(start.Add(probeInterval)), convey.ShouldBeTrue)
		s = s.WithTry(start.Add(probeInterval))
		convey.So(s.ProbeDue(start.Add(probeInterval)), convey.ShouldBeFalse)
		s = s.WithLost(start.Add(probeInterval))
		convey.So(s.LostFor(start.Add(2*probeInterval)), convey.ShouldEqual, 2*probeInterval)
		convey.So(s.WithReached(), convey.ShouldResemble, State{})
	})
	convey.Convey("An endpoint that nobody reached is left alone for a moment", t, func() {
		s := State{}.WithLost(start).WithVia("b", anywhere).WithUnreached(start, anywhere)
		convey.So(s.Unreached(start, anywhere), convey.ShouldBeTrue)
		convey.So(s.Via(), convey.ShouldBeEmpty)
		convey.So(s.Unreached(start.Add(unreachedTime), anywhere), convey.ShouldBeFalse)
		convey.So(s.WithVia("c", anywhere).Unreached(start, anywhere), convey.ShouldBeFalse)
	})
}

func TestOrderSpreadsEndpointsOverPeers(t *testing.T) {
	convey.Convey("Endpoints of one box are reached through different peers", t, func() {
		var peers []Peer
		for i := range 5 {
			peers = append(peers, Peer{Name: fmt.Sprintf("b%d", i), Zone: "z"})
		}
		first := make(map[string]bool)
		for i := range 30 {
			first[Order(Need{Endpoint: fmt.Sprintf("e%d", i), Zone: "z", Box: "a", BoxZone: "z"}, peers)[0].Name] = true
		}
		convey.So(len(first), convey.ShouldEqual, len(peers))
	})
}

func namesOf(peers []Peer) []string {
	var out []string
	for _, p := range peers {
		out = append(out, p.Name)
	}
	return out
}

func TestBoundRequestsCrossRegionsThatNeitherEndIsIn(t *testing.T) {
	peers := []Peer{
		{Name: "home", Zone: "z1", Region: "r1"},
		{Name: "third", Zone: "z3", Region: "r3"},
		{Name: "there", Zone: "z2", Region: "r2"},
		{Name: "unnamed", Zone: "z4"},
	}
	cases := map[string]struct {
		allowed locality.Allowed
		want    []string
	}{
		"a request that is bound to the endpoint's region": {allowed: locality.AllowedBy([]string{"r2"}), want: []string{"home", "there"}},
		"a request that is bound to two regions":           {allowed: locality.AllowedBy([]string{"r2", "r3"}), want: []string{"home", "there", "third"}},
		"a request that is not bound":                      {want: []string{"home", "there", "third", "unnamed"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Only peers that "+name+" may pass through are asked, the near ones first", t, func() {
				names := namesOf(Order(Need{Endpoint: "e", Zone: "z2", Region: "r2", Box: "a", BoxZone: "z1", BoxRegion: "r1", Allowed: c.allowed}, peers))
				convey.So(slices.Sorted(slices.Values(names)), convey.ShouldResemble, c.want)
				convey.So(names[:2], convey.ShouldContain, "home")
				convey.So(names[:2], convey.ShouldContain, "there")
			})
		})
	}
}

func TestZoneWithoutLinksIsAskedBeforeAllOthers(t *testing.T) {
	convey.Convey("Peers of other zones and regions are asked although one zone has many", t, func() {
		var peers []Peer
		for i := range 20 {
			peers = append(peers, Peer{Name: fmt.Sprintf("own-%02d", i), Zone: "z1", Region: "r1"})
		}
		peers = append(peers, Peer{Name: "next", Zone: "z2", Region: "r1"}, Peer{Name: "far", Zone: "z3", Region: "r2"})
		names := namesOf(Order(Need{Endpoint: "e", Zone: "z1", Region: "r1", Box: "a", BoxZone: "z1", BoxRegion: "r1"}, peers))
		convey.So(names, convey.ShouldHaveLength, MaxPeers)
		convey.So(names[zonePeers:zonePeers+2], convey.ShouldResemble, []string{"next", "far"})
	})
}

func TestSameLostPeersAreAskedAgain(t *testing.T) {
	convey.Convey("Repeated calls reach all peers although each call fails", t, func() {
		const count = 4*MaxPeers - 1
		peers := make([]Peer, count)
		for i := range peers {
			peers[i] = Peer{Name: fmt.Sprintf("b%02d", i), Zone: fmt.Sprintf("z%d", i%3)}
		}
		asked := make(map[string]bool)
		for call := range 2 * count / MaxPeers {
			for _, p := range Order(Need{Endpoint: "e", Zone: "z1", Box: "a", BoxZone: "z0"}, peers) {
				asked[p.Name] = true
				i := slices.IndexFunc(peers, func(o Peer) bool { return o.Name == p.Name })
				peers[i].FailedAt = start.Add(time.Duration(call) * time.Second)
			}
			if call == count/MaxPeers {
				convey.So(asked, convey.ShouldHaveLength, count)
				clear(asked)
			}
		}
		convey.So(len(asked), convey.ShouldBeGreaterThanOrEqualTo, 2*MaxPeers)
	})
}

func TestBoundRequestsMakeAnEndpointUnreachedForAll(t *testing.T) {
	convey.Convey("An endpoint that no box reaches for a bound request is tried for others, and the other way round not", t, func() {
		bound := locality.AllowedBy([]string{"r1"})
		s := State{}.WithLost(start).WithVia("b", anywhere).WithUnreached(start, bound)
		convey.So(s.Unreached(start, bound), convey.ShouldBeTrue)
		convey.So(s.Unreached(start, anywhere), convey.ShouldBeFalse)
		convey.So(s.Via(), convey.ShouldEqual, "b")
		s = State{}.WithUnreached(start, anywhere)
		convey.So(s.Unreached(start, bound), convey.ShouldBeTrue)
		convey.So(s.WithVia("b", anywhere).Unreached(start, bound), convey.ShouldBeFalse)
	})
}

func ExampleOrder() {
	peers := []Peer{
		{Name: "far", Zone: "z3"},
		{Name: "failed", Zone: "z1", FailedAt: start},
		{Name: "last", Zone: "z3"},
		{Name: "near", Zone: "z1"},
	}
	for _, p := range Order(Need{Endpoint: "e", Zone: "z2", Box: "a", BoxZone: "z1", Via: "last"}, peers) {
		fmt.Println(p.Name)
	}
	// Output:
	// last
	// near
	// far
	// failed
}
