// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform/standin"
	"runridge.example/runridge/transport/operatorhttp"
)

// homesAreLocal reports whether there are this many groups and the home of each one
// is in the group's region.
func homesAreLocal(homes []operatorhttp.GroupHome, groups int) bool {
	near := 0
	for _, g := range homes {
		if g.Region != "" && g.HomeRegion == g.Region {
			near++
		}
	}
	return near == groups && len(homes) == groups
}

// servedBy reports whether one endpoint answers all of six requests to a box.
func (s *site) servedBy(b *runningBox, endpoint string) bool {
	for range 6 {
		if s.send(b, http.MethodGet, "/safe/x", "", nil).body != "answer of "+endpoint {
			return false
		}
	}
	return true
}

func TestTwoRegions(t *testing.T) {
	convey.Convey("With an endpoint and a box in each of two regions", t, func() {
		s := newSite(t, 0,
			standin.EndpointConfig{ID: "n1", Service: plainService, Zone: "zone-a"},
			standin.EndpointConfig{ID: "s1", Service: plainService, Zone: "zone-c"},
		)
		s.zones = map[string]string{"box-south": "zone-c"}
		north, south := s.start("box-north"), s.start("box-south")
		for _, b := range s.boxes {
			s.eventually("homes are in the regions of their groups", func() bool {
				return b.Ready() && homesAreLocal(b.Status().Homes, 2)
			})
		}
		convey.Convey("each region serves its own callers, the other one takes over, and gives back", func() {
			convey.So(s.servedBy(north, "n1"), convey.ShouldBeTrue)
			convey.So(s.servedBy(south, "s1"), convey.ShouldBeTrue)
			s.store.Put("servers", "n1", s.endpoints["n1"].Spec(true))
			s.eventually("the box knows that it leaves", func() bool { return north.knowsUnusable("n1") })
			convey.So(s.servedBy(north, "s1"), convey.ShouldBeTrue)
			s.store.Put("servers", "n1", s.endpoints["n1"].Spec(false))
			s.eventually("the region serves its callers again", func() bool { return s.servedBy(north, "n1") })
			convey.So(s.servedBy(south, "s1"), convey.ShouldBeTrue)
			convey.So(s.logs.String(), convey.ShouldContainSubstring, "distance=other_region")
		})
	})
}
