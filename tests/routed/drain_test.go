// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform/standin"
)

// drain drains a zone as the operator does, and undrain ends the drain.
func (s *site) drain(zone string)   { s.store.Put("evacuations", zone, map[string]any{}) }
func (s *site) undrain(zone string) { s.store.Delete("evacuations", zone) }

// knowsDrained reports whether a box considers a zone drained.
func (b *runningBox) knowsDrained(zone string) bool { return b.Directory().ZoneDrained(zone) }

// waitDrained waits until all boxes consider a zone drained, or not drained.
func (s *site) waitDrained(zone string, drained bool) {
	s.t.Helper()
	for _, b := range s.boxes {
		s.eventually(fmt.Sprintf("%s is drained: %v", zone, drained), func() bool { return b.knowsDrained(zone) == drained })
	}
}

// arrivalsInZone returns how many requests the endpoints of a zone have received.
func (s *site) arrivalsInZone(zone string) int {
	n := 0
	for _, e := range s.endpoints {
		if e.Zone == zone {
			n += e.Sends()
		}
	}
	return n
}

// twoZoneEndpoints returns a plain endpoint and an engine of each stage in each of two zones.
func twoZoneEndpoints() []standin.EndpointConfig {
	var out []standin.EndpointConfig
	for _, zone := range []string{"zone-a", "zone-b"} {
		out = append(out,
			standin.EndpointConfig{ID: "plain-" + zone, Service: plainService, Zone: zone},
			standin.EndpointConfig{ID: "pre-" + zone, Service: modelService, Zone: zone, Stage: "prefill", Events: 6},
			standin.EndpointConfig{ID: "dec-" + zone, Service: modelService, Zone: zone, Stage: "decode", Events: 6})
	}
	return out
}

// manyPlainEndpoints returns enough plain endpoints that each of two zones forms a group of its own.
func manyPlainEndpoints() []standin.EndpointConfig {
	var out []standin.EndpointConfig
	for i := range 18 {
		zone := []string{"zone-a", "zone-b"}[i%2]
		out = append(out, standin.EndpointConfig{ID: fmt.Sprintf("p%02d", i), Service: plainService, Zone: zone})
	}
	return out
}

// checkServed sends requests of all kinds to each box and fails the test unless all succeed.
func (s *site) checkServed() {
	s.t.Helper()
	for _, b := range s.boxes {
		for range 4 {
			for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"} {
				a := s.send(b, http.MethodPost, path, "prompt", nil)
				if a.status != http.StatusOK || !a.complete {
					s.t.Errorf("%s answered %d, whole %v", path, a.status, a.complete)
				}
			}
		}
	}
}

func TestDrainedZone(t *testing.T) {
	// Each function drains zone-a of a site with two boxes under another condition.
	cases := map[string]func(s *site){
		"the store announces it": func(s *site) { s.drain("zone-a") },
		"watches deliver nothing, and the history is lost": func(s *site) {
			s.store.HangWatches(true)
			s.drain("zone-a")
			s.store.Forget()
			s.store.HangWatches(false)
		},
		"the store is down meanwhile": func(s *site) {
			s.store.SetFault(standin.Busy)
			s.drain("zone-a")
			s.store.Forget()
			s.store.SetFault(standin.Healthy)
		},
		"the store is silent meanwhile": func(s *site) {
			s.store.SetFault(standin.Silent)
			s.drain("zone-a")
			s.store.SetFault(standin.Healthy)
		},
		"a box starts": func(s *site) {
			s.drain("zone-a")
			b := s.start("box-3")
			s.eventually("the box is ready", b.Ready)
			if !b.knowsDrained("zone-a") {
				s.t.Error("the box serves, and does not know that the zone is drained")
			}
		},
		"a box starts that the store rejects": func(s *site) {
			s.drain("zone-a")
			s.waitDrained("zone-a", true)
			door := s.store.NewDoor()
			b := s.startAt("box-3", door.Address())
			s.eventually("the box is ready", b.Ready)
			s.eventually("the box knows the others", func() bool { return b.LiveBoxes() == 3 })
			door.SetFault(standin.Busy)
			s.undrain("zone-a")
			s.waitDrained("zone-a", false)
			s.drain("zone-a")
		},
	}
	for name, drain := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Nothing arrives in a drained zone, until its drain ends", t, func() {
				s := newSite(t, 2, twoZoneEndpoints()...)
				s.checkServed()
				drain(s)
				s.waitDrained("zone-a", true)
				before := s.arrivalsInZone("zone-a")
				s.checkServed()
				convey.So(s.arrivalsInZone("zone-a"), convey.ShouldEqual, before)
				s.undrain("zone-a")
				s.waitDrained("zone-a", false)
				s.eventually("the zone serves again", func() bool {
					s.checkServed()
					return s.arrivalsInZone("zone-a") > before
				})
			})
		})
	}
}

func TestStartWithoutDrainedZones(t *testing.T) {
	convey.Convey("A box that cannot read the drained zones asks other boxes before it serves", t, func() {
		s := newSite(t, 2, twoZoneEndpoints()...)
		// Boxes that watch for changes announce the drain only when it begins, before box-3
		// starts, so box-3 has to ask for it.
		s.eventually("both boxes wait for changes", func() bool { return s.store.Watching("evacuations") == 2 })
		s.drain("zone-a")
		s.waitDrained("zone-a", true)
		door := s.store.NewDoor()
		door.SetFault(standin.Silent, "evacuations")
		b := s.startAt("box-3", door.Address())
		early := s.send(b, http.MethodGet, "/safe/x", "", nil)
		convey.So(early.status, convey.ShouldEqual, http.StatusServiceUnavailable)
		s.eventually("the box serves", func() bool {
			early = s.send(b, http.MethodGet, "/safe/x", "", nil)
			return early.status != http.StatusServiceUnavailable
		})
		convey.So(early.status, convey.ShouldEqual, http.StatusOK)
		convey.So(b.knowsDrained("zone-a"), convey.ShouldBeTrue)
		s.eventually("the box is ready", b.Ready)
		s.checkServed()
		convey.So(s.arrivalsInZone("zone-a"), convey.ShouldEqual, 0)
	})
}

func TestAllZonesDrained(t *testing.T) {
	convey.Convey("With all zones drained requests are refused at once, and none has run", t, func() {
		s := newSite(t, 2, twoZoneEndpoints()...)
		s.drain("zone-a")
		s.drain("zone-b")
		s.waitDrained("zone-a", true)
		s.waitDrained("zone-b", true)
		for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"} {
			a := s.send(s.boxes[0], http.MethodPost, path, "prompt", nil)
			convey.So(a.status, convey.ShouldEqual, http.StatusServiceUnavailable)
			convey.So(a.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
			convey.So(s.runs(a.id), convey.ShouldEqual, 0)
		}
		convey.So(s.arrivalsInZone("zone-a")+s.arrivalsInZone("zone-b"), convey.ShouldEqual, 0)
		// The homes know of the drain too and keep no request queued.
		s.eventually("no request is under way", func() bool { return s.boxes[0].Active()+s.boxes[1].Active() == 0 })
	})
}

func TestDrainedZoneRunsOn(t *testing.T) {
	convey.Convey("A request that runs in a zone when its drain begins is completed", t, func() {
		s := newSite(t, 1, standin.EndpointConfig{
			ID: "dec1", Service: modelService, Zone: "zone-a", Stage: "decode", Events: 20, EventGap: 20 * time.Millisecond,
		})
		got := make(chan answer, 1)
		go func() { got <- s.send(s.boxes[0], http.MethodPost, "/stream/x", "prompt", nil) }()
		s.eventually("the stream runs", func() bool { return len(s.endpoints["dec1"].Runs()) == 1 })
		s.drain("zone-a")
		s.waitDrained("zone-a", true)
		a := <-got
		convey.So(a.complete, convey.ShouldBeTrue)
		convey.So(a.body, convey.ShouldEqual, streamBody(20))
	})
}

func TestQueueOfADrainedZone(t *testing.T) {
	const slots = 8
	hold := func(s *site) []net.Conn {
		for _, e := range s.endpoints {
			if e.Zone == "zone-a" {
				e.Behave(standin.Hanging)
			}
		}
		var busy []net.Conn
		for i := range 9 * slots {
			busy = append(busy, s.startRequest(s.boxes[0], "/long/x", fmt.Sprintf("busy-%d", i)))
		}
		s.eventually("all slots of the zone are taken", func() bool { return s.arrivalsInZone("zone-a") == 9*slots })
		return busy
	}
	convey.Convey("Requests queued in a zone are served by another as soon as it is drained", t, func() {
		s := newSite(t, 1, manyPlainEndpoints()...)
		// Waits until the box follows the platform itself, which a box without peers does only
		// after a while.
		s.drain("zone-b")
		s.waitDrained("zone-b", true)
		s.undrain("zone-b")
		s.waitDrained("zone-b", false)
		busy := hold(s)
		elsewhere := s.arrivalsInZone("zone-b")
		got := make(chan answer, 1)
		go func() { got <- s.send(s.boxes[0], http.MethodGet, "/long/x", "", nil) }()
		s.eventually("one waits", func() bool { return s.boxes[0].Active() == 9*slots+1 })
		s.drain("zone-a")
		a := <-got
		convey.So(a.status, convey.ShouldEqual, http.StatusOK)
		convey.So(s.arrivalsInZone("zone-a"), convey.ShouldEqual, 9*slots)
		convey.So(s.arrivalsInZone("zone-b"), convey.ShouldEqual, elsewhere+1)
		convey.So(strings.Count(s.logs.String(), "no_engine"), convey.ShouldBeGreaterThan, 0)
		for _, c := range busy {
			convey.So(c.Close(), convey.ShouldBeNil)
		}
	})
	convey.Convey("A box in a drained zone asks other zones' groups first", t, func() {
		s := newSite(t, 1, manyPlainEndpoints()...)
		s.drain("zone-a")
		s.waitDrained("zone-a", true)
		for range 10 {
			a := s.send(s.boxes[0], http.MethodGet, "/safe/x", "", nil)
			convey.So(a.status, convey.ShouldEqual, http.StatusOK)
		}
		convey.So(s.arrivalsInZone("zone-a"), convey.ShouldEqual, 0)
		convey.So(s.logs.String(), convey.ShouldNotContainSubstring, "ask_refused")
	})
}

func TestDrainedEnginesGetNoOrders(t *testing.T) {
	convey.Convey("Of three prefill engines only those outside a drained zone receive orders", t, func() {
		endpoints := threePrefills()
		endpoints[0].Zone = "zone-b"
		s := newSite(t, 0, endpoints...)
		s.drain("zone-b")
		for i := range 2 {
			b := s.start(fmt.Sprintf("box-%d", i+1))
			s.eventually("the box is ready", b.Ready)
		}
		s.eventually("an engine was ordered", func() bool {
			a := s.send(s.boxes[0], http.MethodPost, "/stream/x", "prompt", nil)
			convey.So(a.status, convey.ShouldEqual, http.StatusOK)
			return len(s.orderedEngines()) > 0
		})
		s.eventually("a while has passed", func() bool {
			s.send(s.boxes[0], http.MethodPost, "/stream/x", "prompt", nil)
			return s.endpoints["e3"].Sends()+s.endpoints["e2"].Sends()+s.endpoints["e1"].Sends() > 30
		})
		convey.So(s.orderedEngines(), convey.ShouldNotContain, "e0")
		convey.So(s.arrivalsInZone("zone-b"), convey.ShouldEqual, 0)
	})
}
