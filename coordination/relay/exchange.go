// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"slices"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/schedule"
)

// mayArrive says whether the request may arrive at an endpoint once more. Its first
// arrival is free; any other is paid for from the budget before it is known whether
// it counts.
func (v *run) mayArrive() bool {
	if v.arrivals == 0 || v.paid > 0 {
		return true
	}
	if !v.r.mayRepeat(v.service.Name) {
		return false
	}
	v.paid++
	return true
}

// noteArrival counts an arrival. A prefill that an engine takes up first counts as
// none; one that is turned away does, or the arrivals after all boxes were killed would
// pass the budget.
func (v *run) noteArrival() {
	if v.arrivals > 0 {
		v.paid--
	}
	v.arrivals++
}

// carryOut makes the exchanges of one grant.
func (v *run) carryOut(ctx context.Context, a schedule.Ask, plan lifecycle.Plan) result {
	if plan.Prefill == "" || plan.Mode == lifecycle.Recompute {
		return v.send(ctx, plan.Decode, "")
	}
	if !plan.Reuse || v.kept == nil {
		v.free()
		if res := v.prefill(ctx, plan.Prefill, a); res.kind != delivered {
			return res
		}
	}
	decode, ok := plan.Decode, true
	if decode == "" {
		decode, ok = v.awaitSlot(ctx, a.ID, v.keptFor()*7/10)
	}
	if !ok {
		return result{kind: refused, reason: string(lifecycle.ReasonHopeless), retryAfter: noSlotRetry}
	}
	res := v.send(ctx, decode, v.kept.source())
	switch {
	case res.silent:
		// The engine may never have got the request, and what it fetches for an
		// exchange that has ended is of no use.
		v.free()
	case res.kind == delivered || res.kind == failed:
		// The engine has fetched it; one that turned the request away has not.
		v.kept = nil
	}
	return res
}

// noSlotRetry is when to come again after a prefill that found no slot.
const noSlotRetry = 500 * time.Millisecond

// prefillPatience is how many times the target a prefill may take.
const prefillPatience = 1.5

// barredNow is why the request may go to no endpoint any more; empty is that it may.
// What was true when it came may have changed while it waited.
func (v *run) barredNow() string {
	switch {
	case v.withdrawn():
		return reasonKeyWithdrawn
	case v.suspect().Poisonous():
		return reasonPoison
	default:
		return ""
	}
}

// prefill has the prompt read and tells the home.
func (v *run) prefill(ctx context.Context, id string, a schedule.Ask) result {
	if reason := v.barredNow(); reason != "" {
		return result{kind: refused, reason: reason}
	}
	engine, reason := v.endpoint(id)
	if reason != "" {
		return result{kind: unsent, endpoint: id, reason: reason}
	}
	if !v.mayPrefill(id) {
		return result{kind: unsent, endpoint: id, reason: reasonNotCounted}
	}
	if !v.mayArrive() {
		return result{kind: refused, reason: "retry_budget", retryAfter: leastRetry}
	}
	v.prefills++
	call := v.call(engine)
	call.Prefill = true
	call.LastEvent = ""
	bounded, cancel := context.WithTimeout(ctx, time.Duration(float64(v.route.Target())*prefillPatience))
	defer cancel()
	begin := v.r.cfg.Now()
	v.sentAt = begin
	answer, err := v.r.cfg.Endpoints.Send(bounded, call)
	if err != nil {
		unreached := adapter.RanOf(err) == lifecycle.NotRun
		if !unreached {
			v.noteArrival()
		}
		return v.brokeOff(ctx, err, result{kind: turnedAway, endpoint: engine.ID, unreached: unreached, reason: "prefill_unanswered"})
	}
	if answer.NotRun || !answer.Success() {
		v.noteArrival()
		v.noteLeft(answer, engine)
		_ = answer.Discard()
		return result{kind: turnedAway, endpoint: engine.ID, full: answer.NotRun && !answer.OtherHere, reason: "prefill_refused"}
	}
	if v.takenUp {
		v.noteArrival()
	}
	v.takenUp = true
	handle, tokens, err := readHandle(answer, v.r.cfg.ParsePrefill)
	if err != nil {
		return result{kind: turnedAway, endpoint: engine.ID, reason: "prefill_garbled"}
	}
	v.mutex.Lock()
	v.adopted.Prefilled = true
	v.mutex.Unlock()
	v.counted.Prefilled = v.r.cfg.Now()
	v.tell(home.Prefilled{ID: a.ID, Computed: tokens, Worked: v.r.cfg.Now().Sub(begin)})
	v.kept = &keptResult{engine: engine, handle: handle, made: v.r.cfg.Now()}
	v.r.cfg.Log.WithFields(log.Fields{
		log.FieldRequest: v.q.ID,
		log.FieldAsk:     a.ID.String(),
		log.FieldEngine:  engine.ID,
		"tokens":         tokens,
		"took_ms":        v.r.cfg.Now().Sub(begin).Milliseconds(),
	}).Info("prefilled")
	return result{}
}

// noteLeft tells the directory of an address that another endpoint has now.
func (v *run) noteLeft(a *Answer, e Endpoint) {
	if a.OtherHere {
		v.r.cfg.Directory.Left(e.ID)
	}
}

// call is the request as it goes to an endpoint.
func (v *run) call(e Endpoint) Call {
	return Call{
		Endpoint:  e,
		Method:    v.q.Method,
		Target:    v.q.Target,
		Host:      v.q.Host,
		RequestID: v.q.ID,
		Header:    v.header(),
		Body:      v.q.Body,
		HasBody:   v.q.HasBody,
		Left:      time.Until(v.deadline),
		LastEvent: v.lastEvent,
		Account:   v.accountName(),
	}
}

// header are the fields that travel with the request. What the caller showed for
// itself is among them only where no table of this box ever had accounts.
func (v *run) header() []Field {
	v.r.mutex.Lock()
	keyed := v.r.keyed
	v.r.mutex.Unlock()
	if keyed || len(v.q.Credential.Opaque) == 0 {
		return v.q.Header
	}
	return slices.Concat(v.q.Header, v.q.Credential.Opaque)
}

// send sends the request to an endpoint and passes its answer on.
func (v *run) send(ctx context.Context, id, source string) result {
	if reason := v.barredNow(); reason != "" {
		return result{kind: refused, reason: reason}
	}
	e, reason := v.endpoint(id)
	if reason != "" {
		return result{kind: unsent, endpoint: id, reason: reason}
	}
	if !v.mayDecode(id) {
		return result{kind: unsent, endpoint: id, reason: reasonNotCounted}
	}
	if !v.mayArrive() {
		return result{kind: refused, reason: "retry_budget", retryAfter: leastRetry}
	}
	v.sends++
	call := v.call(e)
	call.Source = source
	v.sentAt = v.r.cfg.Now()
	answer, err := v.r.cfg.Endpoints.Send(ctx, call)
	unreached := err != nil && adapter.RanOf(err) == lifecycle.NotRun
	if !unreached {
		v.noteArrival()
	}
	if err != nil {
		if unreached {
			return v.brokeOff(ctx, err, result{kind: turnedAway, endpoint: id, unreached: true, reason: "endpoint_unreached"})
		}
		v.runs++
		return v.brokeOff(ctx, err, result{kind: failed, endpoint: id, silent: true, reason: "endpoint_unanswered"})
	}
	if answer.NotRun {
		v.noteLeft(answer, e)
		_ = answer.Discard()
		return result{kind: turnedAway, endpoint: id, full: !answer.OtherHere, reason: "endpoint_turned_away"}
	}
	v.runs++
	if !answer.Signed || answer.Encoded {
		_ = answer.Body.Close()
		return result{kind: failed, endpoint: id, reason: "answer_not_signed"}
	}
	if v.route.Stream() && answer.Success() {
		return v.stream(ctx, id, answer)
	}
	return v.take(ctx, id, answer)
}

// brokeOff adds to the result of an exchange how it broke off. The endpoint is not to
// blame where the request itself was ended.
func (v *run) brokeOff(ctx context.Context, err error, res result) result {
	res.broke, res.ran = adapter.BreakOf(err), v.r.cfg.Now().Sub(v.sentAt)
	if ctx.Err() != nil {
		res.broke, res.endpoint = adapter.BreakOwn, ""
	}
	if v.r.cfg.Metrics != nil {
		v.r.cfg.Metrics.BrokeOff(v.service.Name, string(res.broke))
	}
	if !res.unreached {
		v.suspect().BrokeOff(res.endpoint, res.broke, res.ran)
	}
	return res
}
