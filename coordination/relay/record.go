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
	"runridge.example/runridge/state/table"
)

// recordEnd logs and counts the end of the request.
func (h *handler) recordEnd(outcome, reason string) {
	h.recordMetrics(outcome, reason)
	fields := log.Fields{
		log.FieldRequest: h.request.ID,
		"outcome":        outcome,
		log.FieldReason:  reason,
		"route":          h.route.Name,
		"service":        h.service.Name,
		"sends":          h.sends,
		"prefills":       h.prefills,
		"runs":           h.runs,
		"ms":             h.relay.cfg.Now().Sub(h.request.Arrived).Milliseconds(),
	}
	if h.via != "" {
		fields["via"] = h.via
	}
	h.addTable(fields)
	if h.account != nil {
		fields["account"] = h.account.Name
		fields["charged"] = h.charged
	}
	if h.request.Prompt.Tokens > 0 {
		fields["prompt_tokens"] = h.request.Prompt.Tokens
		fields["output_tokens"] = h.request.Prompt.Output
		fields["output_hint"] = h.request.Prompt.Hint
		fields["last_event"] = h.lastEvent
		fields["gap_ms"] = h.longestGap.Milliseconds()
		fields["gap_target_ms"] = h.route.GapMS
		fields["prefill"], fields["decode"] = h.plan.Prefill, h.plan.Decode
		fields["alone"] = h.selfPlaced
		fields["age_ms"] = h.age.Milliseconds()
		fields["late"] = h.late
	}
	if !h.firstByteAt.IsZero() {
		fields["first_ms"] = h.firstByteAt.Sub(h.request.Arrived).Milliseconds()
		fields["target_ms"] = h.route.TargetMS
	}
	h.relay.cfg.Log.WithFields(fields).Info("request_ended")
}

// addTable adds the table that the request was routed by. If another box has named a newer one, it
// adds that and the time since this one was last confirmed as the newest.
func (h *handler) addTable(fields log.Fields) {
	fields[log.FieldGeneration], fields["version"] = h.generation, h.version
	if h.route.Name == "" {
		fields["host"] = h.request.Host
	}
	if h.relay.cfg.Tables == nil {
		return
	}
	newest := h.relay.cfg.Tables.NewestNamed()
	if newest.NewerThan(table.Stamp{Version: h.version, Generation: h.generation}) {
		fields["newest_generation"], fields["newest_version"] = newest.Generation, newest.Version
		fields["table_age_ms"] = h.relay.cfg.Tables.Age().Milliseconds()
	}
}

// recordMetrics counts the end of the request.
func (h *handler) recordMetrics(outcome, reason string) {
	if h.relay.cfg.Metrics == nil {
		return
	}
	e := metric.RequestSummary{Service: h.service.Name, Outcome: outcome, Reason: reason, Attempts: int(h.attempt)}
	if !h.firstByteAt.IsZero() {
		e.FirstToken = h.firstByteAt.Sub(h.request.Arrived)
	}
	h.relay.cfg.Metrics.RequestEnded(e)
	h.relay.cfg.Metrics.EndpointRequests(h.service.Name, h.sends, h.prefills)
	if h.longestGap > 0 {
		h.relay.cfg.Metrics.StreamGap(h.service.Name, h.longestGap)
	}
}

// logPlaced logs where an attempt is sent, and the table generation and directory revision of
// the decision.
func (h *handler) logPlaced(a schedule.Ask, plan lifecycle.Plan) {
	d := h.relay.cfg.Directory.Directory()
	h.mutex.Lock()
	home := h.home
	h.mutex.Unlock()
	h.relay.cfg.Log.WithFields(log.Fields{
		log.FieldRequest:    h.request.ID,
		log.FieldAsk:        a.ID.String(),
		log.FieldGeneration: h.generation,
		"route":             h.route.Name,
		"service":           h.service.Name,
		"home":              home,
		"alone":             h.selfPlaced,
		"prefill":           plan.Prefill,
		"decode":            plan.Decode,
		"distance":          h.distance(d, plan).String(),
		"reuse":             plan.Reuse,
		"counted_prefill":   h.counted.Prefill,
		"counted_decode":    h.counted.Decode,
		"after_event":       h.lastEvent,
		"resumes":           h.request.Resumes,
		"software":          h.softwareOf(plan.Decode),
		"avoided":           len(a.Avoid),
		"directory":         d.Revision(),
		"ms":                h.relay.cfg.Now().Sub(h.request.Arrived).Milliseconds(),
	}).Info("attempt_placed")
}

// logFailed logs why an attempt failed. If an endpoint may have run the request, the event has
// its fingerprint, because a retry by the caller has a new ID.
func (h *handler) logFailed(a schedule.Ask, res result) {
	fields := log.Fields{
		log.FieldRequest: h.request.ID,
		log.FieldAsk:     a.ID.String(),
		log.FieldEngine:  res.endpoint,
		log.FieldReason:  res.reason,
		"prefill":        h.plan.Prefill,
		"decode":         h.plan.Decode,
		"alone":          h.selfPlaced,
		"ms":             h.relay.cfg.Now().Sub(h.request.Arrived).Milliseconds(),
	}
	if res.status != 0 {
		fields["status"] = res.status
	}
	if res.unreached {
		fields["others"], fields["known"] = res.others, res.known
	}
	if res.broke != adapter.BreakNone {
		fields["broke"] = res.broke
		fields["ran_ms"] = res.ran.Milliseconds()
		fields["fingerprint"] = h.suspect().Fingerprint().String()
		fields["parts"] = h.suspect().Parts()
	}
	h.relay.cfg.Log.WithFields(fields).Info("attempt_failed")
}

// distance returns the distance from this box to the endpoint that gives the answer, or to the
// prefill engine while the decode engine is open.
func (h *handler) distance(d directory.Directory, plan lifecycle.Plan) locality.Distance {
	id := plan.Decode
	if id == "" {
		id = plan.Prefill
	}
	w, known := d.Status(id)
	if !known {
		return locality.SameZone
	}
	return h.relay.cfg.Regions.Distance(h.relay.cfg.Zone, w.Zone)
}
