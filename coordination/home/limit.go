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

// LimitedEndpoint describes an endpoint that names a limit, of a group that this box is
// home of.
type LimitedEndpoint struct {
	Group    string `json:"group"`
	Endpoint string `json:"endpoint"`
	// PerSecond is the limit that the endpoint names, and Rate the share of it that this
	// home grants, both in requests per second.
	PerSecond float64 `json:"per_second"`
	Rate      float64 `json:"rate"`
	// HeardMS is the age of the endpoint's last notice of the limit, in milliseconds.
	HeardMS int64 `json:"heard_ms"`
}

// LimitedEndpoints returns the endpoints of this box's groups that name a limit, as of the
// last report.
func (h *Homes) LimitedEndpoints() []LimitedEndpoint {
	if endpoints := h.limits.Load(); endpoints != nil {
		return *endpoints
	}
	return nil
}

// limitShare returns a function that gives the share of the limits of a group's endpoints
// that this home grants; nil means all of it.
func (h *Homes) limitShare(group string) func(now time.Time) float64 {
	if h.cfg.Standing == nil {
		return nil
	}
	return func(now time.Time) float64 { return pace.Share(h.standing(group, now)) }
}

// updateLimits passes the limits that a box knows to a group, and logs the changes.
func (h *Homes) updateLimits(now time.Time, c Command, g *runningGroup, limits []schedule.EngineLimit) {
	for _, change := range g.UpdateLimits(now, limits) {
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

// reportLimits updates the list of endpoints with limits that operators see.
func (h *Homes) reportLimits(now time.Time) {
	var endpoints []LimitedEndpoint
	for key, g := range h.groups {
		for _, e := range g.LimitedEngines(now) {
			endpoints = append(endpoints, LimitedEndpoint{
				Group: key, Endpoint: e.Engine, PerSecond: e.Limit.PerSecond, Rate: e.Rate, HeardMS: e.Since.Milliseconds(),
			})
		}
	}
	slices.SortFunc(endpoints, func(a, b LimitedEndpoint) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	h.limits.Store(&endpoints)
}
