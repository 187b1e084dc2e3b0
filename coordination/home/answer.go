// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package home

import (
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/schedule"
)

// unknownGroup answers an ask for a group that this box does not know with ReasonHomeMoved, so
// that the asking box tries another box. A starting box has the table before the endpoints.
// When such asks were refused to the caller instead, 26 of the first 600 requests after all
// boxes of a fleet had been killed were told to retry after a second.
func (h *Homes) unknownGroup(c Command) {
	a, ok := c.Body.(schedule.Ask)
	if !ok {
		return
	}
	h.cfg.Answers.Answer(a.Box, c.Group, schedule.Refusal{
		Ask:        a,
		Reason:     lifecycle.ReasonHomeMoved,
		RetryAfter: time.Second,
	})
}

// answer logs and counts decisions, and sends each to the box that asked.
func (h *Homes) answer(group string, decisions []schedule.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case schedule.Refusal:
			h.logRefusal(group, d)
			h.countRefused(group, d)
		case schedule.Grant:
			h.countGranted(group, d)
		}
		h.cfg.Answers.Answer(schedule.Asked(d).Box, group, d)
	}
}

// logEjections logs the engines that a group has ejected.
func (h *Homes) logEjections(group string, g *runningGroup) {
	for _, e := range g.Ejections() {
		otherAnswered := int64(-1)
		if e.OtherAnswered >= 0 {
			otherAnswered = e.OtherAnswered.Milliseconds()
		}
		h.cfg.Log.WithFields(log.Fields{
			log.FieldEngine: e.Engine,
			"group":         group,
			"reported_by":   e.Box,
			"other_ms_ago":  otherAnswered,
			"for_ms":        e.For.Milliseconds(),
			"unreached":     e.Unreachable,
			"results_lost":  e.ResultsLost,
			"others_out":    e.OthersEjected,
			"others":        e.Others,
		}).Info("engine_ejected")
	}
}

// logRefusal logs a refusal with the state that it was decided on.
func (h *Homes) logRefusal(group string, r schedule.Refusal) {
	h.cfg.Log.WithFields(log.Fields{
		log.FieldAsk:        r.Ask.ID.String(),
		log.FieldReason:     string(r.Reason),
		log.FieldGeneration: h.known.Table().Generation,
		"group":             group,
		"waiting":           r.Inputs.Waiting,
		"granted":           r.Inputs.Granted,
		"free_slots":        r.Inputs.FreeSlots,
		"paced_engines":     r.Inputs.Paced,
		"limited_engines":   r.Inputs.Limited,
		"idle_ms":           r.Inputs.IdleLatency.Milliseconds(),
		"wait_ms":           r.Inputs.Wait.Milliseconds(),
		"learned_ms_ago":    r.Inputs.SinceLearned.Milliseconds(),
		"left_ms":           r.Inputs.Remaining.Milliseconds(),
		"retry_ms":          r.RetryAfter.Milliseconds(),
		"spill":             r.Ask.Spill,
		"late":              r.Ask.Late,
		"age_ms":            r.Ask.Elapsed.Milliseconds(),
	}).Info("home_refused")
}
