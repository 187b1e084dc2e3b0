// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package table

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/agnivade/levenshtein"

	"runridge.example/runridge/modules/invalid"
)

// checker collects the problems of a table.
type checker struct {
	table    Table
	problems invalid.FieldErrors
}

// Check validates the whole table and returns all problems found.
func (t Table) Check() invalid.FieldErrors {
	c := &checker{table: t}
	c.checkZones()
	c.checkServices()
	c.checkPools()
	c.checkEndpoints()
	c.checkRows()
	c.checkLinks()
	c.checkAccounts()
	c.checkRoutes()
	c.checkCoverage()
	return c.problems
}

func (c *checker) add(row, cell string, value any, allowed string) {
	c.problems = c.problems.With(row+": "+cell, value, allowed)
}

// checkUnique adds a problem for each name that is empty or occurs twice.
func (c *checker) checkUnique(kind string, names []string) {
	seen := make(map[string]bool, len(names))
	for _, n := range names {
		if n == "" {
			c.add(kind, "name", n, "a name")
			continue
		}
		if seen[n] {
			c.add(kind+" "+n, "name", n, "a name that stands once")
		}
		seen[n] = true
	}
}

func (c *checker) checkZones() {
	c.checkUnique("zone", namesOf(c.table.Zones, func(z Zone) string { return z.Name }))
}

func (c *checker) checkServices() {
	c.checkUnique("service", namesOf(c.table.Services, func(s Service) string { return s.Name }))
	for _, s := range c.table.Services {
		row := "service " + s.Name
		switch s.Kind {
		case KindModel:
			c.checkPositive(row, "first_token_ms", s.FirstTokenMS)
			c.checkPositive(row, "per_token_ms", s.PerTokenMS)
			c.checkPositive(row, "max_prompt_tokens", s.MaxPromptTokens)
			c.checkPositive(row, "max_output_tokens", s.MaxOutputTokens)
		case KindPlain:
			if !strings.HasPrefix(s.Route, "/") || len(s.Route) < 2 || strings.HasPrefix(s.Route, "/v1") {
				c.add(row, "route", s.Route, `a path that starts with "/", longer than "/", not under /v1`)
			}
		case KindRouted:
			c.checkEngineLimits(row, s.Engine)
		default:
			c.add(row, "kind", s.Kind, "model, plain, routed")
		}
		if s.WasteWeight < 0 || s.WasteWeight > 1 {
			c.add(row, "waste_weight", s.WasteWeight, "0 to 1")
		}
	}
}

// checkPositive adds a problem if a value is not above 0.
func (c *checker) checkPositive(row, cell string, v int) {
	if v <= 0 {
		c.add(row, cell, v, "a whole number above 0")
	}
}

func (c *checker) checkPools() {
	c.checkUnique("pool", namesOf(c.table.Pools, func(p Pool) string { return p.Name }))
	for _, p := range c.table.Pools {
		switch p.Role {
		case RolePrefill, RoleDecode, RolePlain:
		default:
			c.add("pool "+p.Name, "role", p.Role, "prefill, decode, plain")
		}
	}
}

func (c *checker) checkEndpoints() {
	c.checkUnique("endpoint", namesOf(c.table.Endpoints, func(e Endpoint) string { return e.Name }))
	for _, e := range c.table.Endpoints {
		row := "endpoint " + e.Name
		p, ok := c.table.Pool(e.Pool)
		if !ok {
			c.add(row, "pool", e.Pool, c.nearest(e.Pool, namesOf(c.table.Pools, func(p Pool) string { return p.Name })))
		}
		c.checkZoneName(row, "zone", e.Zone)
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			c.add(row, "address", e.Address, "an IP number and port, such as 10.0.0.7:8080")
		}
		c.checkPositive(row, "slots", e.Slots)
		if ok && p.Role != RolePlain {
			c.checkPositive(row, "kv_tokens", e.KVTokens)
			c.checkPositive(row, "prefill_tokens_per_second", e.PrefillTokensPerSecond)
			c.checkPositive(row, "kv_bytes_per_token", e.KVBytesPerToken)
		}
		if ok && p.Role == RoleDecode {
			c.checkPositive(row, "step_base_us", e.StepBaseUS)
		}
	}
}

func (c *checker) checkZoneName(row, cell, name string) {
	names := namesOf(c.table.Zones, func(z Zone) string { return z.Name })
	for _, n := range names {
		if n == name {
			return
		}
	}
	c.add(row, cell, name, c.nearest(name, names))
}

func (c *checker) checkRows() {
	for _, r := range c.table.Rows {
		row := "row " + r.Service + "/" + r.Pool
		s, ok := c.table.Service(r.Service)
		if !ok {
			c.add(row, "service", r.Service, c.nearest(r.Service, namesOf(c.table.Services, func(s Service) string { return s.Name })))
		}
		p, found := c.table.Pool(r.Pool)
		if !found {
			c.add(row, "pool", r.Pool, c.nearest(r.Pool, namesOf(c.table.Pools, func(p Pool) string { return p.Name })))
		}
		if ok && found && (s.Kind == KindPlain) != (p.Role == RolePlain) {
			c.add(row, "pool", r.Pool, "a pool whose role fits the service's kind "+s.Kind)
		}
		c.checkWeights(row, r)
		c.checkHolds(row, r)
	}
}

func (c *checker) checkWeights(row string, r Row) {
	sum := 0
	for z, w := range r.Weights {
		c.checkZoneName(row, "weights", z)
		if w < 0 {
			c.add(row, "weights."+z, w, "0 or more")
		}
		sum += w
	}
	if sum <= 0 {
		c.add(row, "weights", sum, "weights that add up to more than 0")
	}
}

func (c *checker) checkHolds(row string, r Row) {
	if r.HoldsPerEngine < 0 {
		c.add(row, "holds_per_engine", r.HoldsPerEngine, "0 or more")
	}
	for _, e := range c.table.Endpoints {
		if e.Pool == r.Pool && r.HoldsPerEngine > e.Slots {
			c.add(row, "holds_per_engine", r.HoldsPerEngine, fmt.Sprintf("at most %d, the slots of endpoint %s", e.Slots, e.Name))
		}
	}
}

func (c *checker) checkLinks() {
	for _, l := range c.table.Links {
		row := "link " + l.From + "-" + l.To
		c.checkZoneName(row, "from", l.From)
		c.checkZoneName(row, "to", l.To)
		if l.BytesPerSecond <= 0 {
			c.add(row, "bytes_per_second", l.BytesPerSecond, "a whole number above 0")
		}
	}
}

func (c *checker) checkEngineLimits(row string, e *EngineLimits) {
	if e == nil {
		return
	}
	c.checkPositive(row, "engine.slots", e.Slots)
	c.checkPositive(row, "engine.kv_tokens", e.KVTokens)
}

func (c *checker) checkRoutes() {
	services := make(map[string]Service, len(c.table.Services))
	for _, s := range c.table.Services {
		services[s.Name] = s
	}
	seen := make(map[string]bool, len(c.table.Routes))
	for _, r := range c.table.Routes {
		row := "route " + r.key()
		if seen[r.key()] {
			c.add(row, "prefix", r.Prefix, "a prefix that stands once for its host")
		}
		seen[r.key()] = true
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			c.add(row, "prefix", r.Prefix, `a path that begins and ends with "/"`)
		}
		switch r.Repeat {
		case RepeatSafe, RepeatUnsafe, RepeatStream:
		default:
			c.add(row, "repeat", r.Repeat, "safe, unsafe, stream")
		}
		c.checkPositive(row, "timeout_ms", r.TimeoutMS)
		c.checkPositive(row, "max_attempts", r.MaxAttempts)
		c.checkRouteTargets(row, r, services)
	}
}

func (c *checker) checkRouteTargets(row string, r Route, services map[string]Service) {
	sum := 0
	for _, t := range r.Targets {
		if s, known := services[t.Service]; !known || s.Kind != KindRouted {
			c.add(row, "targets", t.Service, "a service of kind routed")
		}
		if t.Weight < 0 {
			c.add(row, "targets."+t.Service, t.Weight, "0 or more")
		}
		sum += t.Weight
	}
	if sum <= 0 {
		c.add(row, "targets", sum, "weights that add up to more than 0")
	}
}

// checkCoverage checks that each service has the pools that its kind needs.
func (c *checker) checkCoverage() {
	for _, s := range c.table.Services {
		if s.Kind == KindRouted {
			continue
		}
		roles := make(map[string]bool)
		for _, r := range c.table.Rows {
			if r.Service != s.Name {
				continue
			}
			if p, ok := c.table.Pool(r.Pool); ok {
				roles[p.Role] = true
			}
		}
		required := RoleDecode
		if s.Kind == KindPlain {
			required = RolePlain
		}
		if !roles[required] {
			c.add("service "+s.Name, "rows", "none", "at least one row with a "+required+" pool")
		}
	}
}

// nearest lists the allowed names and, if one is similar to the given name, which it is.
func (c *checker) nearest(name string, allowed []string) string {
	text := strings.Join(allowed, ", ")
	if text == "" {
		return "none is defined yet"
	}
	best, distance := "", len(name)/2+2
	for _, a := range allowed {
		if d := levenshtein.ComputeDistance(name, a); d < distance {
			best, distance = a, d
		}
	}
	if best != "" {
		return text + " (nearest: " + best + ")"
	}
	return text
}

func namesOf[T any](items []T, name func(T) string) []string {
	out := make([]string, 0, len(items))
	for _, item := range items {
		out = append(out, name(item))
	}
	return out
}
