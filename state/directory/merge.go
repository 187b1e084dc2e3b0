// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"maps"
	"slices"

	"runridge.example/runridge/state/table"
)

// Initial estimates for engines of routed services, used until the boxes have
// measured the real times. They are those of a mid-size accelerator.
const (
	initialPrefillTokensPerSecond = 40_000
	initialStepBaseUS             = 1000
	initialStepPerRequestUS       = 20
	// decodeSlowdown is how many times slower an engine prefills while it decodes a batch.
	decodeSlowdown = 2
)

// Merge returns the table with the endpoints of its routed services added from the
// directory. A routed service with engine limits becomes a model service with a
// prefill and a decode pool, any other a plain service. The generation stays.
func Merge(t table.Table, d Directory) table.Table {
	services := slices.Clone(t.Services)
	out := t
	out.Services = services
	zones := make(map[string]int)
	for _, z := range t.Zones {
		zones[z.Name] = 1
	}
	var endpoints []table.Endpoint
	for i, s := range services {
		if s.Kind != table.KindRouted {
			continue
		}
		services[i] = withTargets(s, t.Routes)
		for _, w := range d.Statuses(s.Name) {
			if w.Gone || w.Replaced {
				continue
			}
			zones[w.Zone] = 1
			endpoints = append(endpoints, EndpointOf(s, w))
		}
	}
	out.Zones = zoneList(t.Zones, zones)
	out.Endpoints = append(slices.Clone(t.Endpoints), endpoints...)
	out.Pools = slices.Clone(t.Pools)
	out.Rows = slices.Clone(t.Rows)
	for _, s := range t.Services {
		if s.Kind != table.KindRouted {
			continue
		}
		for _, role := range poolRoles(s) {
			pool := PoolName(s.Name, role)
			out.Pools = append(out.Pools, table.Pool{Name: pool, Role: role})
			out.Rows = append(out.Rows, table.Row{Service: s.Name, Pool: pool, Weights: zones})
		}
	}
	return out
}

// zoneList returns the known zones and, sorted, those that only the names contain.
func zoneList(known []table.Zone, names map[string]int) []table.Zone {
	out := slices.Clone(known)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !slices.ContainsFunc(out, func(z table.Zone) bool { return z.Name == name }) {
			out = append(out, table.Zone{Name: name})
		}
	}
	return out
}

// poolRoles lists the roles of a routed service's pools.
func poolRoles(s table.Service) []string {
	if s.Engine == nil {
		return []string{table.RolePlain}
	}
	return []string{table.RolePrefill, table.RoleDecode}
}

// PoolName returns the name of the pool of a routed service's endpoints with one role.
func PoolName(service, role string) string { return service + "/" + role }

// withTargets returns a routed service with its kind and the longest targets of the
// routes that lead to it.
func withTargets(s table.Service, routes []table.Route) table.Service {
	s.Kind = table.KindPlain
	if s.Engine != nil {
		s.Kind = table.KindModel
	}
	for _, r := range routes {
		if !slices.ContainsFunc(r.Targets, func(t table.RouteTarget) bool { return t.Service == s.Name }) {
			continue
		}
		s.FirstTokenMS = max(s.FirstTokenMS, r.TargetMS)
		s.PerTokenMS = max(s.PerTokenMS, perTokenTarget(r, s.Engine))
	}
	return s
}

// perTokenTarget returns a route's target between two tokens, in milliseconds: the target
// between two events divided by the tokens per event.
func perTokenTarget(r table.Route, e *table.EngineLimits) int {
	if e == nil || e.TokensPerEvent <= 1 || r.GapMS == 0 {
		return r.GapMS
	}
	return max(r.GapMS/e.TokensPerEvent, 1)
}

// EndpointOf returns an endpoint of a routed service in the form of the table.
func EndpointOf(s table.Service, w Status) table.Endpoint {
	e := table.Endpoint{
		Name:    w.ID,
		Zone:    w.Zone,
		Address: w.Address,
		Slots:   w.Slots,
		Leaving: w.Draining || w.ZoneDrained,

		Software: w.Version,

		Pool: PoolName(s.Name, table.RolePlain),
	}
	if s.Engine == nil {
		return e
	}
	e.Pool = PoolName(s.Name, table.RoleDecode)
	if w.Stage == StagePrefill {
		e.Pool = PoolName(s.Name, table.RolePrefill)
	}
	if e.Slots == 0 {
		e.Slots = s.Engine.Slots
	}
	e.KVTokens = s.Engine.KVTokens
	e.KVBytesPerToken = s.Engine.KVBytesPerToken
	e.PrefillTokensPerSecond = initialPrefillTokensPerSecond
	if w.Stage == StageDecode {
		e.PrefillTokensPerSecond = initialPrefillTokensPerSecond / decodeSlowdown
	}
	e.StepBaseUS = initialStepBaseUS
	e.StepPerRequestUS = initialStepPerRequestUS
	return e
}
