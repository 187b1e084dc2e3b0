// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package home

import (
	"slices"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/stages"
)

const (
	// planEvery is how often the stages of a group are planned.
	planEvery = time.Second
	// changeTimeFactor times the usual duration of a change is the longest that an engine
	// with a pending order is left out: an order without an answer may be carried out
	// seconds later.
	changeTimeFactor = 3
)

// StagePlan summarizes the last plan of a home for one of its groups.
type StagePlan struct {
	Group   string `json:"group"`
	Engines int    `json:"engines"`
	// Prefills is the number of engines that prefill or have been ordered to, and Wanted
	// how many should.
	Prefills int `json:"prefills"`
	Wanted   int `json:"wanted"`
	// Changing is the number of engines that are unavailable because of a change.
	Changing int `json:"changing"`
	// MeanWork and PeakWork are the prompt work that was asked for, in engines: on average,
	// and in the busiest seconds of the last 20.
	MeanWork float64 `json:"mean_work"`
	PeakWork float64 `json:"peak_work"`
	// Fill is the used share of the memory of the engines that decode, 0 to 1.
	Fill float64 `json:"fill"`
	// ObservedMS is how long this box has observed the group, in milliseconds.
	ObservedMS int64 `json:"observed_ms"`
}

// Plans returns the last plans of this box's groups.
func (h *Homes) Plans() []StagePlan {
	if p := h.plans.Load(); p != nil {
		return *p
	}
	return nil
}

// summarizePlan returns the summary of a plan for operators.
func summarizePlan(key string, engines []stages.Engine, load stages.Load, p stages.Plan) StagePlan {
	out := StagePlan{
		Group: key, Engines: len(engines), Wanted: p.Wanted,
		MeanWork: load.Mean, PeakWork: load.Peak, Fill: load.Fill, ObservedMS: load.Seen.Milliseconds(),
	}
	for _, e := range engines {
		if e.Prefill {
			out.Prefills++
		}
		if e.Changing {
			out.Changing++
		}
	}
	return out
}

// planStages plans the stages of the groups that this box is home of, and orders the
// changes.
func (h *Homes) planStages(now time.Time) {
	if h.cfg.Stages == nil || h.leaving.Load() {
		return
	}
	part, planned := h.cfg.Stages.Part()
	if !planned {
		return
	}
	var plans []StagePlan
	defer func() { h.plans.Store(&plans) }()
	for key, g := range h.groups {
		if h.cfg.Answers.HomeOf(key) != h.cfg.Self {
			// The new home plans it.
			continue
		}
		s, _ := h.known.Table().Service(g.spec.Service)
		if s.Engine == nil || s.Engine.SwitchMS <= 0 {
			continue
		}
		engines, load := g.Stages(now)
		p := stages.Make(engines, load, stages.Config{Part: part})
		plan := summarizePlan(key, engines, load, p)
		plans = append(plans, plan)
		if p.None() {
			continue
		}
		h.logPlan(plan, p)
		h.orderChanges(now, key, g, engines, p)
	}
}

// maxChangeTime returns the longest time for which an engine that changes is left out.
func (h *Homes) maxChangeTime(g *runningGroup) time.Duration {
	s, _ := h.known.Table().Service(g.spec.Service)
	if s.Engine == nil {
		return 0
	}
	return changeTimeFactor * time.Duration(s.Engine.SwitchMS) * time.Millisecond
}

// orderChanges queues the orders of a plan, and leaves the engines out while they change.
func (h *Homes) orderChanges(now time.Time, key string, g *runningGroup, engines []stages.Engine, p stages.Plan) {
	c := StageChanges{Group: key, Wanted: p.Wanted, ToDecode: p.ToDecode, ToPrefill: p.ToPrefill}
	for _, e := range engines {
		if e.Prefill && !e.Changing {
			c.Prefills = append(c.Prefills, e.Name)
		}
	}
	if h.cfg.Stages.Offer(c) == ring.Full {
		// The next plan, a second later, repeats the order.
		return
	}
	for _, name := range slices.Concat(p.ToDecode, p.ToPrefill) {
		g.BeginStageChange(now, name, h.maxChangeTime(g))
	}
}

// logPlan logs a plan with the load that it is based on.
func (h *Homes) logPlan(s StagePlan, p stages.Plan) {
	h.cfg.Log.WithFields(log.Fields{
		"group":             s.Group,
		log.FieldGeneration: h.known.Table().Generation,
		"engines":           s.Engines,
		"prefills":          s.Prefills,
		"wanted":            s.Wanted,
		"to_decode":         len(p.ToDecode),
		"to_prefill":        len(p.ToPrefill),
		"mean_work_percent": int(s.MeanWork * percent),
		"peak_work_percent": int(s.PeakWork * percent),
		"fill_percent":      int(s.Fill * percent),
		"observed_for_ms":   s.ObservedMS,
	}).Info("stages_planned")
}

const percent = 100
