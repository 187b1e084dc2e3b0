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

// Metrics counts what cold endpoints, and those that name a limit, get.
type Metrics interface {
	// LimitGranted counts requests granted for endpoints of a service that name a limit.
	LimitGranted(service string, requests int)
	// LimitRefused counts a refusal while such endpoints were held back.
	LimitRefused(service string)
	// ColdGranted counts requests granted for cold endpoints of a service.
	ColdGranted(service string, requests int)
	// ColdRefused counts refusals while cold endpoints were held back.
	ColdRefused(service string)
}

// ColdEndpoint is a cold endpoint of a group that this box is home of.
type ColdEndpoint struct {
	Group    string `json:"group"`
	Endpoint string `json:"endpoint"`
	// WarmInMS is after how many milliseconds it is warm.
	WarmInMS int64 `json:"warm_in_ms"`
	// Pace is how many requests a second it bears.
	Pace float64 `json:"pace"`
	// Counted is what it was granted lately, and Limit the most that this home may
	// grant meanwhile, in requests.
	Counted int `json:"counted"`
	Limit   int `json:"limit"`
}

// coldDuty is what the duty keeps for cold endpoints.
type coldDuty struct {
	bound atomic.Pointer[pace.Bound]
	shown atomic.Pointer[[]ColdEndpoint]
	// ran is when the duty last did something, and resumed when it last went on after
	// it had stood still: another box may have become home meanwhile.
	ran, resumed time.Time
	// left is what cold endpoints were granted by groups that ended here, as of leftAt.
	left   map[string]pace.Window
	leftAt time.Time
}

// leftFor is for how long what an ended group granted may count.
const leftFor = pace.OpenFor + pace.Span

// keep keeps what a group that ends has granted to cold endpoints: it may be back in a
// moment, or its endpoints in another group of this box.
func (c *coldDuty) keep(now time.Time, granted map[string]pace.Window) {
	if c.left == nil || now.Sub(c.leftAt) > leftFor {
		c.left = make(map[string]pace.Window)
	}
	maps.Copy(c.left, granted)
	c.leftAt = now
}

// stillFor is after how long without a step the duty must have stood still: it ticks
// every idleEvery at least. Another box takes this one for dead after some 2.2 s.
const stillFor = 500 * time.Millisecond

// noteRuns takes in that the duty runs.
func (c *coldDuty) noteRuns(now time.Time) {
	if !c.ran.IsZero() && now.Sub(c.ran) > stillFor {
		c.resumed = now
	}
	c.ran = now
}

// SetColdBound replaces the bound on what cold endpoints get.
func (h *Homes) SetColdBound(b pace.Bound) { h.cold.bound.Store(&b) }

// ColdEndpoints are the cold endpoints of this box's groups.
func (h *Homes) ColdEndpoints() []ColdEndpoint {
	if shown := h.cold.shown.Load(); shown != nil {
		return *shown
	}
	return nil
}

// coldLimit is what a group may grant to each of its cold endpoints; nil is no bound.
func (h *Homes) coldLimit(group string, s table.Service) func(now time.Time) int {
	if h.cfg.Standing == nil || s.ColdPace <= 0 {
		return nil
	}
	return func(now time.Time) int {
		return h.cold.bound.Load().Limit(s.ColdPace, h.standing(group, now))
	}
}

// standing is this box's part in a group. One that stood still counts as having just
// become home: another box may have been it meanwhile.
func (h *Homes) standing(group string, now time.Time) pace.Standing {
	s := h.cfg.Standing(group)
	if !h.cold.resumed.IsZero() {
		s.For = min(s.For, now.Sub(h.cold.resumed))
	}
	return s
}

// reportCold shows operators which endpoints have become cold or warm.
func (h *Homes) reportCold(now time.Time) {
	var shown []ColdEndpoint
	for key, g := range h.groups {
		s, _ := h.known.Table().Service(g.spec.Service)
		for _, c := range g.ColdChanges(now) {
			h.logCold(key, s.ColdPace, c)
		}
		for _, e := range g.ColdEngines(now) {
			shown = append(shown, ColdEndpoint{
				Group: key, Endpoint: e.Engine, WarmInMS: e.Until.Sub(now).Milliseconds(),
				Pace: s.ColdPace, Counted: e.Counted, Limit: e.Limit,
			})
		}
	}
	slices.SortFunc(shown, func(a, b ColdEndpoint) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	h.cold.shown.Store(&shown)
}

// logCold writes that an endpoint has become cold or warm.
func (h *Homes) logCold(group string, paceOf float64, c schedule.ColdChange) {
	event := "endpoint_warm"
	if c.Cold {
		event = "endpoint_cold"
	}
	h.cfg.Log.WithFields(log.Fields{
		log.FieldEngine: c.Engine,
		"group":         group,
		"warm_in_ms":    c.For.Milliseconds(),
		"pace":          paceOf,
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

// countHeldBack counts a refusal while endpoints were held back.
func (h *Homes) countHeldBack(group string, r schedule.Refuse) {
	if h.cfg.Metrics == nil {
		return
	}
	if r.Seen.Limited > 0 {
		h.cfg.Metrics.LimitRefused(h.serviceOf(group))
	}
	if r.Seen.Paced > r.Seen.Limited {
		h.cfg.Metrics.ColdRefused(h.serviceOf(group))
	}
}

func (h *Homes) serviceOf(group string) string {
	if g, ok := h.groups[group]; ok {
		return g.spec.Service
	}
	return ""
}
