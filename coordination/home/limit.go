// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package home

import (
	"slices"
	"strings"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/state/schedule"
)

// LimitedEndpoint is an endpoint that names a limit, of a group that this box is home of.
type LimitedEndpoint struct {
	Group    string `json:"group"`
	Endpoint string `json:"endpoint"`
	// PerSecond is the limit that it names and Rate the part that this home grants, both
	// in requests a second.
	PerSecond float64 `json:"per_second"`
	Rate      float64 `json:"rate"`
	// HeardMS is how many milliseconds ago the endpoint was last heard to name it.
	HeardMS int64 `json:"heard_ms"`
}

// LimitedEndpoints are the endpoints of this box's groups that name a limit.
func (h *Homes) LimitedEndpoints() []LimitedEndpoint {
	if shown := h.limits.Load(); shown != nil {
		return *shown
	}
	return nil
}

// limitShare is the part of the limits of a group's endpoints that is granted here; nil is
// all.
func (h *Homes) limitShare(group string) func(now time.Time) float64 {
	if h.cfg.Standing == nil {
		return nil
	}
	return func(now time.Time) float64 { return pace.Share(h.standing(group, now)) }
}

// nameLimits has a group take in what a box knows of limits, and writes what that changes.
func (h *Homes) nameLimits(now time.Time, c Command, g *running, limits []schedule.EngineLimit) {
	for _, change := range g.NameLimits(now, limits) {
		h.cfg.Log.WithFields(log.Fields{
			log.FieldEngine: change.Engine,
			"group":         c.Group,
			"from":          c.From,
			"age_ms":        change.Age.Milliseconds(),
			"named":         change.After.Named,
			"per_second":    change.After.PerSecond,
			"named_before":  change.Before.Named,
			"before":        change.Before.PerSecond,
		}).Info("endpoint_limit_changed")
	}
}

// reportLimits shows operators which endpoints name a limit.
func (h *Homes) reportLimits(now time.Time) {
	var shown []LimitedEndpoint
	for key, g := range h.groups {
		for _, e := range g.LimitedEngines(now) {
			shown = append(shown, LimitedEndpoint{
				Group: key, Endpoint: e.Engine, PerSecond: e.Limit.PerSecond, Rate: e.Rate, HeardMS: e.Since.Milliseconds(),
			})
		}
	}
	slices.SortFunc(shown, func(a, b LimitedEndpoint) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	h.limits.Store(&shown)
}
