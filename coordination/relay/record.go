// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/metric"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/schedule"
)

// ended counts a request that ends and writes its line.
func (v *run) ended(outcome, reason string) {
	v.measure(outcome, reason)
	fields := log.Fields{
		log.FieldRequest: v.q.ID,
		"outcome":        outcome,
		log.FieldReason:  reason,
		"route":          v.route.Name,
		"service":        v.service.Name,
		"sends":          v.sends,
		"prefills":       v.prefills,
		"runs":           v.runs,
		"ms":             v.r.cfg.Now().Sub(v.q.Arrived).Milliseconds(),
	}
	if v.account != nil {
		fields["account"] = v.account.Name
		fields["charged"] = v.charged
	}
	if v.q.Prompt.Tokens > 0 {
		fields["prompt_tokens"] = v.q.Prompt.Tokens
		fields["output_tokens"] = v.q.Prompt.Output
		fields["output_hint"] = v.q.Prompt.Hint
		fields["last_event"] = v.lastEvent
		fields["gap_ms"] = v.longestGap.Milliseconds()
		fields["gap_target_ms"] = v.route.GapMS
		fields["prefill"], fields["decode"] = v.plan.Prefill, v.plan.Decode
		fields["alone"] = v.alone
		fields["age_ms"] = v.age.Milliseconds()
		fields["late"] = v.late
	}
	if !v.firstAt.IsZero() {
		fields["first_ms"] = v.firstAt.Sub(v.q.Arrived).Milliseconds()
		fields["target_ms"] = v.route.TargetMS
	}
	v.r.cfg.Log.WithFields(fields).Info("request_ended")
}

// measure counts the request that ends.
func (v *run) measure(outcome, reason string) {
	if v.r.cfg.Metrics == nil {
		return
	}
	e := metric.Ended{Service: v.service.Name, Outcome: outcome, Reason: reason, Attempts: int(v.attempt)}
	if !v.firstAt.IsZero() {
		e.FirstToken = v.firstAt.Sub(v.q.Arrived)
	}
	v.r.cfg.Metrics.RequestEnded(e)
	v.r.cfg.Metrics.Sent(v.service.Name, v.sends, v.prefills)
	if v.longestGap > 0 {
		v.r.cfg.Metrics.Gap(v.service.Name, v.longestGap)
	}
}

// logPlaced writes where an attempt goes and what that was decided by.
func (v *run) logPlaced(a schedule.Ask, plan lifecycle.Plan) {
	d := v.r.cfg.Directory.Directory()
	v.mutex.Lock()
	home := v.home
	v.mutex.Unlock()
	v.r.cfg.Log.WithFields(log.Fields{
		log.FieldRequest:    v.q.ID,
		log.FieldAsk:        a.ID.String(),
		log.FieldGeneration: v.generation,
		"route":             v.route.Name,
		"service":           v.service.Name,
		"home":              home,
		"alone":             v.alone,
		"prefill":           plan.Prefill,
		"decode":            plan.Decode,
		"distance":          v.distance(d, plan).String(),
		"reuse":             plan.Reuse,
		"counted_prefill":   v.counted.Prefill,
		"counted_decode":    v.counted.Decode,
		"after_event":       v.lastEvent,
		"avoided":           len(a.Avoid),
		"directory":         d.Revision(),
		"ms":                v.r.cfg.Now().Sub(v.q.Arrived).Milliseconds(),
	}).Info("attempt_placed")
}

// logFailed writes how an attempt failed. Where an endpoint may have run the
// request the line names it by its fingerprint: a request that comes again has a
// new id.
func (v *run) logFailed(a schedule.Ask, res result) {
	fields := log.Fields{
		log.FieldRequest: v.q.ID,
		log.FieldAsk:     a.ID.String(),
		log.FieldEngine:  res.endpoint,
		log.FieldReason:  res.reason,
		"prefill":        v.plan.Prefill,
		"decode":         v.plan.Decode,
		"alone":          v.alone,
		"ms":             v.r.cfg.Now().Sub(v.q.Arrived).Milliseconds(),
	}
	if res.broke != adapter.BreakNone {
		fields["broke"] = res.broke
		fields["ran_ms"] = res.ran.Milliseconds()
		fields["fingerprint"] = v.suspect().Fingerprint().String()
	}
	v.r.cfg.Log.WithFields(fields).Info("attempt_failed")
}

// distance is how far from this box the endpoint is that gives the answer, or the one
// that reads the prompt while that is open.
func (v *run) distance(d directory.Directory, plan lifecycle.Plan) locality.Distance {
	id := plan.Decode
	if id == "" {
		id = plan.Prefill
	}
	w, known := d.Status(id)
	if !known {
		return locality.SameZone
	}
	return v.r.cfg.Regions.Distance(v.r.cfg.Zone, w.Zone)
}
