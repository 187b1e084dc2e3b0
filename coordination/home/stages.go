// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package home

import (
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/stages"
)

const (
	// planEvery is how often the stages of a group are planned.
	planEvery = time.Second
	// changeTimes is for how many times the usual change an engine that was
	// ordered is left out at most: an order without an answer may be carried out
	// seconds later.
	changeTimes = 3
)

// planStages plans the stages of the groups that this box is home of.
func (h *Homes) planStages(now time.Time) {
	if h.cfg.Stages == nil || h.leaving.Load() {
		return
	}
	part, planned := h.cfg.Stages.Part()
	if !planned {
		return
	}
	for key, g := range h.groups {
		s, _ := h.known.Table().Service(g.spec.Service)
		if s.Engine == nil || s.Engine.SwitchMS <= 0 {
			continue
		}
		engines, load := g.Stages(now)
		p := stages.Make(engines, load, stages.Config{Part: part})
		if p.None() {
			continue
		}
		h.logPlan(key, engines, load, p)
		lasts := changeTimes * time.Duration(s.Engine.SwitchMS) * time.Millisecond
		for _, name := range p.ToDecode {
			h.change(now, g, StageChange{Group: key, Service: s.Name, Engine: name}, lasts)
		}
		for _, name := range p.ToPrefill {
			h.change(now, g, StageChange{Group: key, Service: s.Name, Engine: name, Prefill: true}, lasts)
		}
	}
}

// change has an engine ordered to change, and leaves it out meanwhile.
func (h *Homes) change(now time.Time, g *running, c StageChange, lasts time.Duration) {
	if h.cfg.Stages.Offer(c) == ring.Full {
		// It is planned again in a second.
		return
	}
	g.Change(now, c.Engine, lasts)
}

func (h *Homes) logPlan(key string, engines []stages.Engine, load stages.Load, p stages.Plan) {
	prefills := 0
	for _, e := range engines {
		if e.Prefill {
			prefills++
		}
	}
	h.cfg.Log.WithFields(log.Fields{
		"group":             key,
		log.FieldGeneration: h.known.Table().Generation,
		"engines":           len(engines),
		"prefills":          prefills,
		"wanted":            p.Wanted,
		"to_decode":         len(p.ToDecode),
		"to_prefill":        len(p.ToPrefill),
		"mean_work_percent": int(load.Mean * percent),
		"peak_work_percent": int(load.Peak * percent),
		"observed_for_ms":   load.Seen.Milliseconds(),
	}).Info("stages_planned")
}

const percent = 100
