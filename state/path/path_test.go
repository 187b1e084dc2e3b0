// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package path

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestState(t *testing.T) {
	convey.Convey("The direct path is used until it fails, and tried again after an interval", t, func() {
		s := State{}
		convey.So(s.Direct(), convey.ShouldBeTrue)
		convey.So(s.ProbeDue(start), convey.ShouldBeFalse)
		s = s.WithLost(start).WithVia("b")
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
		s := State{}.WithLost(start).WithVia("b").WithUnreached(start)
		convey.So(s.Unreached(start), convey.ShouldBeTrue)
		convey.So(s.Via(), convey.ShouldBeEmpty)
		convey.So(s.Unreached(start.Add(unreachedTime)), convey.ShouldBeFalse)
		convey.So(s.WithVia("c").Unreached(start), convey.ShouldBeFalse)
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

func TestTunnelsCrossRegionsThatNeitherEndIsIn(t *testing.T) {
	convey.Convey("Only peers in the region of the box or of the endpoint are asked", t, func() {
		peers := []Peer{{Name: "home", Region: "r1"}, {Name: "third", Region: "r3"}, {Name: "there", Region: "r2"}}
		var names []string
		for _, p := range Order(Need{Endpoint: "e", Region: "r2", Box: "a", BoxRegion: "r1"}, peers) {
			names = append(names, p.Name)
		}
		convey.So(names, convey.ShouldHaveLength, 2)
		convey.So(names, convey.ShouldNotContain, "third")
	})
}

func ExampleOrder() {
	peers := []Peer{
		{Name: "far", Zone: "z3"},
		{Name: "failed", Zone: "z1", Failed: true},
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
