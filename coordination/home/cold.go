// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package home

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// Metrics counts grants and refusals for endpoints that are cold or name a limit.
type Metrics interface {
	// LimitGranted counts requests granted for endpoints of a service that name a limit.
	LimitGranted(service string, requests int)
	// LimitRefused counts a refusal while such endpoints were held back by their limit.
	LimitRefused(service string)
	// ColdGranted counts requests granted for cold endpoints of a service.
	ColdGranted(service string, requests int)
	// ColdRefused counts a refusal while cold endpoints of a service were held back.
	ColdRefused(service string)
}

// ColdEndpoint describes a cold endpoint of a group that this box is home of.
type ColdEndpoint struct {
	Group    string `json:"group"`
	Endpoint string `json:"endpoint"`
	// WarmInMS is the time until the endpoint counts as warm, in milliseconds.
	WarmInMS int64 `json:"warm_in_ms"`
	// Pace is the rate that the endpoint can take, in requests per second.
	Pace float64 `json:"pace"`
	// Counted is the number of requests granted to it within the current span, and Limit
	// the most that this home may grant within that span.
	Counted int `json:"counted"`
	Limit   int `json:"limit"`
}

// coldState is the state that Homes keeps about cold endpoints.
type coldState struct {
	bound    atomic.Pointer[pace.Bound]
	snapshot atomic.Pointer[[]ColdEndpoint]
	// lastStep is the time of the last step of the run loop, and resumed the time of the
	// first step after the last pause: another box may have become home during a pause.
	lastStep, resumed time.Time
	// endedGrants are the recent grants to cold endpoints of groups that ended here, as of
	// endedAt.
	endedGrants map[string]pace.Window
	endedAt     time.Time
}

// endedGrantsTTL is how long the grants of an ended group may still count.
const endedGrantsTTL = pace.OpenTimeout + pace.Span

// keepGrants keeps the grants of a group that ends: the group may start again shortly, or
// its endpoints may join another group of this box.
func (c *coldState) keepGrants(now time.Time, granted map[string]pace.Window) {
	if c.endedGrants == nil || now.Sub(c.endedAt) > endedGrantsTTL {
		c.endedGrants = make(map[string]pace.Window)
	}
	maps.Copy(c.endedGrants, granted)
	c.endedAt = now
}

// pauseThreshold is the gap between two steps of the run loop that counts as a pause. The
// loop runs at least every idleEvery. Other boxes declare this one dead after some 2.2 s.
const pauseThreshold = 500 * time.Millisecond

// noteStep records a step of the run loop and detects a pause before it.
func (c *coldState) noteStep(now time.Time) {
	if !c.lastStep.IsZero() && now.Sub(c.lastStep) > pauseThreshold {
		c.resumed = now
	}
	c.lastStep = now
}

// SetColdBound replaces the bound on grants to cold endpoints.
func (h *Homes) SetColdBound(b pace.Bound) { h.cold.bound.Store(&b) }

// ColdEndpoints returns the cold endpoints of this box's groups, as of the last report.
func (h *Homes) ColdEndpoints() []ColdEndpoint {
	if endpoints := h.cold.snapshot.Load(); endpoints != nil {
		return *endpoints
	}
	return nil
}

// coldLimit returns a function that gives the number of requests that a group may grant to
// each of its cold endpoints; nil means no bound.
func (h *Homes) coldLimit(group string, s table.Service) func(now time.Time) int {
	if h.cfg.Standing == nil || s.ColdPace <= 0 {
		return nil
	}
	return func(now time.Time) int {
		return h.cold.bound.Load().Limit(s.ColdPace, h.standing(group, now))
	}
}

// standing returns this box's standing in a group. After a pause the box counts as having
// just become home, since another box may have been home meanwhile.
func (h *Homes) standing(group string, now time.Time) pace.Standing {
	s := h.cfg.Standing(group)
	if !h.cold.resumed.IsZero() {
		s.For = min(s.For, now.Sub(h.cold.resumed))
	}
	return s
}

// reportCold logs the endpoints that have become cold or warm, and updates the list that
// operators see.
func (h *Homes) reportCold(now time.Time) {
	var endpoints []ColdEndpoint
	for key, g := range h.groups {
		s, _ := h.known.Table().Service(g.spec.Service)
		for _, c := range g.ColdChanges(now) {
			h.logCold(key, s.ColdPace, c)
		}
		for _, e := range g.ColdEngines(now) {
			endpoints = append(endpoints, ColdEndpoint{
				Group: key, Endpoint: e.Engine, WarmInMS: e.Until.Sub(now).Milliseconds(),
				Pace: s.ColdPace, Counted: e.Counted, Limit: e.Limit,
			})
		}
	}
	slices.SortFunc(endpoints, func(a, b ColdEndpoint) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	h.cold.snapshot.Store(&endpoints)
}

// logCold logs that an endpoint has become cold or warm.
func (h *Homes) logCold(group string, rate float64, c schedule.ColdChange) {
	event := "endpoint_warm"
	if c.Cold {
		event = "endpoint_cold"
	}
	h.cfg.Log.WithFields(log.Fields{
		log.FieldEngine: c.Engine,
		"group":         group,
		"warm_in_ms":    c.For.Milliseconds(),
		"pace":          rate,
	}).Info(event)
}

// countGranted counts the requests of a grant that go to endpoints which are cold or name a
// limit.
func (h *Homes) countGranted(group string, d schedule.Grant) {
	if h.cfg.Metrics == nil || !d.PacedPrefill && !d.PacedDecode {
		return
	}
	cold, limited := 0, 0
	count := func(paced bool, engine string) {
		switch {
		case !paced:
		case slices.ContainsFunc(d.Limits, func(l schedule.EngineLimit) bool { return l.Engine == engine && l.Limit.Named }):
			limited++
		default:
			cold++
		}
	}
	count(d.PacedPrefill, d.Plan.Prefill)
	count(d.PacedDecode, d.Plan.Decode)
	if cold > 0 {
		h.cfg.Metrics.ColdGranted(h.serviceOf(group), cold)
	}
	if limited > 0 {
		h.cfg.Metrics.LimitGranted(h.serviceOf(group), limited)
	}
}

// countRefused counts a refusal while endpoints were held back because they are cold or at
// their limit.
func (h *Homes) countRefused(group string, r schedule.Refusal) {
	if h.cfg.Metrics == nil {
		return
	}
	if r.Inputs.Limited > 0 {
		h.cfg.Metrics.LimitRefused(h.serviceOf(group))
	}
	if r.Inputs.Paced > r.Inputs.Limited {
		h.cfg.Metrics.ColdRefused(h.serviceOf(group))
	}
}

// serviceOf returns the service of a group that runs here, or "".
func (h *Homes) serviceOf(group string) string {
	if g, ok := h.groups[group]; ok {
		return g.spec.Service
	}
	return ""
}
