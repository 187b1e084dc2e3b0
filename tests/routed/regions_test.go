// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform/standin"
	"runridge.example/runridge/transport/operatorhttp"
)

// threeZoneEndpoints returns a plain endpoint and an engine of each stage in each of three zones of two regions.
func threeZoneEndpoints() []standin.EndpointConfig {
	out := twoZoneEndpoints()
	for _, e := range twoZoneEndpoints()[3:] {
		e.ID, e.Zone = e.ID[:len(e.ID)-1]+"c", "zone-c"
		out = append(out, e)
	}
	return out
}

// manyThreeZoneEndpoints returns enough plain endpoints that each of three zones forms a group of its own.
func manyThreeZoneEndpoints() []standin.EndpointConfig {
	var out []standin.EndpointConfig
	for i := range 21 {
		zone := []string{"zone-a", "zone-b", "zone-c"}[i%3]
		out = append(out, standin.EndpointConfig{ID: fmt.Sprintf("p%02d", i), Service: plainService, Zone: zone})
	}
	return out
}

// configurationWithRegions returns the configuration with allowed regions for all routes and for the account.
func configurationWithRegions(version int, route, account []string) map[string]any {
	c := configurationWithAccounts(version, accountEntry("desk", map[string]any{"allowed_regions": account}, keyDesk))
	for _, r := range c["routes"].([]any) {
		r.(map[string]any)["allowed_regions"] = route
	}
	return c
}

// zonesReached returns the zones whose endpoints received a request, including prefills and
// rejected attempts.
func (s *site) zonesReached(id string) []string {
	var out []string
	for _, e := range s.endpoints {
		for _, h := range e.Headers() {
			if h.Get("X-Request-Id") == id {
				out = append(out, e.Zone)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// setManner makes the endpoints of a stage in the given zones behave in a manner.
func (s *site) setManner(m standin.AnswerMode, stage string, zones ...string) {
	for _, e := range s.endpoints {
		if e.Stage == stage && slices.Contains(zones, e.Zone) {
			e.Behave(m)
		}
	}
}

func TestAllowedRegions(t *testing.T) {
	all := []string{"/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"}
	cases := map[string]struct {
		route, account []string
		endpoints      []standin.EndpointConfig
		paths          []string
		// fault, if set, causes a fault before the requests are sent.
		fault func(s *site)
		// zones are all that may receive a request; without any it must be refused.
		zones []string
		// fails is set if requests may fail.
		fails bool
	}{
		"of the account, all kinds":  {account: []string{"south"}, endpoints: threeZoneEndpoints(), paths: all, zones: []string{"zone-c"}},
		"of the route, all kinds":    {route: []string{"south"}, endpoints: threeZoneEndpoints(), paths: all, zones: []string{"zone-c"}},
		"both bind":                  {route: []string{"north", "south"}, account: []string{"south", "west"}, endpoints: threeZoneEndpoints(), paths: all, zones: []string{"zone-c"}},
		"a group for each zone":      {account: []string{"south"}, endpoints: manyThreeZoneEndpoints(), paths: all[:2], zones: []string{"zone-c"}},
		"nothing in common":          {route: []string{"north"}, account: []string{"south"}, endpoints: threeZoneEndpoints(), paths: all},
		"no endpoint in the region":  {account: []string{"west"}, endpoints: threeZoneEndpoints(), paths: all},
		"groups without the region":  {account: []string{"west"}, endpoints: manyThreeZoneEndpoints(), paths: all[:2]},
		"the only zone is drained":   {account: []string{"south"}, endpoints: threeZoneEndpoints(), paths: all, fault: func(s *site) { s.drain("zone-c"); s.waitDrained("zone-c", true) }},
		"one of two zones drained":   {account: []string{"north"}, endpoints: threeZoneEndpoints(), paths: all, zones: []string{"zone-b"}, fault: func(s *site) { s.drain("zone-a"); s.waitDrained("zone-a", true) }},
		"answers are lost there":     {account: []string{"south"}, endpoints: threeZoneEndpoints(), paths: all[:2], zones: []string{"zone-c"}, fails: true, fault: func(s *site) { s.setManner(standin.Lost, "", "zone-c") }},
		"prefills are turned away":   {account: []string{"south"}, endpoints: threeZoneEndpoints(), paths: all[2:], zones: []string{"zone-c"}, fails: true, fault: func(s *site) { s.setManner(standin.Full, "prefill", "zone-c") }},
		"decodes are turned away":    {account: []string{"south"}, endpoints: threeZoneEndpoints(), paths: all[2:], zones: []string{"zone-c"}, fails: true, fault: func(s *site) { s.setManner(standin.Full, "decode", "zone-c") }},
		"streams are cut and resume": {account: []string{"north"}, endpoints: threeZoneEndpoints(), paths: all[3:], zones: []string{"zone-a", "zone-b"}, fails: true, fault: func(s *site) { s.setManner(standin.Cut, "decode", "zone-a") }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				s := newSite(t, 2, c.endpoints...)
				s.configure(configurationWithRegions(2, c.route, c.account))
				for _, b := range s.boxes {
					shown := 0
					for _, bound := range b.Status().Restrictions {
						if bound.Of == operatorhttp.RestrictionOfAccount {
							shown++
						}
					}
					convey.So(shown == 1, convey.ShouldEqual, len(c.account) > 0)
				}
				if c.fault != nil {
					c.fault(s)
				}
				for _, b := range s.boxes {
					for _, path := range slices.Concat(c.paths, c.paths) {
						a := s.send(b, http.MethodPost, path, "prompt", bearer(keyDesk))
						for _, zone := range s.zonesReached(a.id) {
							convey.So(c.zones, convey.ShouldContain, zone)
						}
						switch {
						case len(c.zones) == 0:
							convey.So(a.status, convey.ShouldEqual, http.StatusServiceUnavailable)
							convey.So(a.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
							convey.So(s.zonesReached(a.id), convey.ShouldBeEmpty)
						case !c.fails:
							convey.So(a.status, convey.ShouldEqual, http.StatusOK)
						}
					}
				}
			})
		})
	}
}

func TestAllowedRegionsChange(t *testing.T) {
	convey.Convey("Regions that are allowed no more get nothing from the moment that a box knows", t, func() {
		s := newSite(t, 2, threeZoneEndpoints()...)
		for i, region := range []string{"north", "south", "north"} {
			s.configure(configurationWithRegions(i+2, nil, []string{region}))
			for _, b := range s.boxes {
				for _, path := range []string{"/safe/x", "/stream/x"} {
					a := s.send(b, http.MethodPost, path, "prompt", bearer(keyDesk))
					convey.So(a.status, convey.ShouldEqual, http.StatusOK)
					for _, zone := range s.zonesReached(a.id) {
						convey.So(regions[zone], convey.ShouldEqual, region)
					}
				}
			}
		}
	})
}
