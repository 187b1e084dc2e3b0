// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"slices"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/coordination/quarantine"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/schedule"
	records "runridge.example/runridge/state/streams"
)

// allowArrival reports whether the request may be sent to an endpoint once more. The first
// arrival is free; any other is taken from the retry budget before it is known whether it
// counts.
func (h *handler) allowArrival() bool {
	if h.arrivals == 0 || h.prepaid > 0 {
		return true
	}
	if !h.relay.spendRetry(h.service.Name) {
		return false
	}
	h.prepaid++
	return true
}

// noteArrival counts an arrival. The first accepted prefill does not count. A rejected prefill
// does: otherwise the arrivals after all boxes were killed would exceed the budget.
func (h *handler) noteArrival() {
	if h.arrivals > 0 {
		h.prepaid--
	}
	h.arrivals++
}

// execute makes the exchanges of one grant.
func (h *handler) execute(ctx context.Context, a schedule.Ask, plan lifecycle.Plan) result {
	if w, known := h.relay.cfg.Directory.Directory().Status(plan.Decode); known && !h.softwareSuits(w) {
		// Homes of earlier builds don't know of versions.
		return result{kind: unsent, endpoint: plan.Decode, reason: records.ReasonOtherSoftware}
	}
	if plan.Prefill == "" || plan.Mode == lifecycle.Recompute {
		return h.send(ctx, plan.Decode, "")
	}
	if !plan.Reuse || h.kept == nil {
		h.freeKept()
		if res := h.prefill(ctx, plan.Prefill, a); res.kind != delivered {
			return res
		}
	}
	decode, ok := plan.Decode, true
	if decode == "" {
		decode, ok = h.awaitSlot(ctx, a.ID, h.keptTTL()*7/10)
	}
	if !ok {
		return result{kind: refused, reason: string(lifecycle.ReasonTargetUnreachable), retryAfter: noSlotRetry}
	}
	res := h.send(ctx, decode, h.kept.source())
	switch {
	case res.silent:
		// The engine may not have received the request, and a result that it fetches for an
		// interrupted exchange is of no use.
		h.freeKept()
	case res.kind == delivered || res.kind == failed:
		// The engine has fetched the result; an engine that rejected the request has not.
		h.kept = nil
	}
	return res
}

// noSlotRetry is the retry delay after a prefill for which no decode engine was assigned.
const noSlotRetry = 500 * time.Millisecond

// prefillTimeoutFactor is the timeout of a prefill as a multiple of the route's target.
const prefillTimeoutFactor = 1.5

// stopReason returns why the request may not be sent to any endpoint any more, or an empty
// string. The key and the quarantine may have changed while the request waited.
func (h *handler) stopReason() string {
	switch {
	case h.keyWithdrawn():
		return reasonKeyWithdrawn
	case h.suspect().Poisonous():
		return reasonPoison
	default:
		return ""
	}
}

// sendable returns an endpoint if the request may be sent to it now, or else the result of the attempt.
// counted reports whether the limits of the endpoint allow it.
func (h *handler) sendable(id string, counted func(id string) bool) (Endpoint, *result) {
	if reason := h.stopReason(); reason != "" {
		return Endpoint{}, &result{kind: refused, reason: reason}
	}
	e, reason := h.endpoint(id)
	if reason != "" {
		return Endpoint{}, &result{kind: unsent, endpoint: id, reason: reason}
	}
	if !counted(id) {
		return Endpoint{}, &result{kind: unsent, endpoint: id, reason: reasonNotCounted}
	}
	return e, nil
}

// answerable is sendable for the request for the answer.
func (h *handler) answerable(id string) (Endpoint, *result) {
	e, withheld := h.sendable(id, h.mayDecode)
	if w, known := h.relay.cfg.Directory.Directory().Status(id); withheld == nil && known && !h.softwareSuits(w) {
		withheld = &result{kind: unsent, endpoint: id, reason: records.ReasonOtherSoftware}
	}
	return e, withheld
}

// prefillable is sendable for the prompt.
func (h *handler) prefillable(id string) (Endpoint, *result) { return h.sendable(id, h.mayPrefill) }

// exchange sends a call to an endpoint. It checks again once a connection is there, since making one takes
// time, and returns the result of the attempt if the call must not be sent any more.
func (h *handler) exchange(ctx context.Context, call Call, check func(id string) (Endpoint, *result)) (*Answer, *result, error) {
	var withheld *result
	call.MaySend = func() bool {
		_, withheld = check(call.Endpoint.ID)
		return withheld == nil
	}
	h.sentAt = h.relay.cfg.Now()
	answer, err := h.relay.cfg.Endpoints.Send(ctx, call)
	if withheld != nil {
		return nil, withheld, nil
	}
	return answer, nil, err
}

// prefill sends the prompt to a prefill engine, stores the result in h.kept and notifies the
// home.
func (h *handler) prefill(ctx context.Context, id string, a schedule.Ask) result {
	engine, withheld := h.prefillable(id)
	if withheld != nil {
		return *withheld
	}
	if !h.allowArrival() {
		return result{kind: refused, reason: "retry_budget", retryAfter: minRetryAfter}
	}
	h.prefills++
	call := h.newCall(engine)
	call.Prefill, call.Repeatable = true, true
	call.LastEvent = ""
	bounded, cancel := context.WithTimeout(ctx, time.Duration(float64(h.route.Target())*prefillTimeoutFactor))
	defer cancel()
	begin := h.relay.cfg.Now()
	answer, withheld, err := h.exchange(bounded, call, h.prefillable)
	if withheld != nil {
		return *withheld
	}
	if err != nil {
		unreached := adapter.RanOf(err) == lifecycle.NotRun
		if !unreached {
			h.noteArrival()
		}
		return h.noteBreak(ctx, err, result{kind: turnedAway, endpoint: engine.ID, unreached: unreached, reason: "prefill_unanswered"})
	}
	if answer.NotRun || !answer.Success() {
		h.noteArrival()
		h.noteAddressTaken(answer, engine)
		_ = answer.Discard()
		return result{kind: turnedAway, endpoint: engine.ID, full: answer.NotRun && !answer.AddressTaken, reason: "prefill_refused"}
	}
	if h.prefillAccepted {
		h.noteArrival()
	}
	h.prefillAccepted = true
	handle, tokens, err := readHandle(answer, h.relay.cfg.ParsePrefill)
	if err != nil {
		return result{kind: turnedAway, endpoint: engine.ID, reason: "prefill_garbled"}
	}
	h.mutex.Lock()
	h.adopted.Prefilled = true
	h.mutex.Unlock()
	h.counted.Prefilled = h.relay.cfg.Now()
	h.notifyHome(home.Prefilled{ID: a.ID, Computed: tokens, Worked: h.relay.cfg.Now().Sub(begin)})
	h.kept = &keptResult{engine: engine, handle: handle, createdAt: h.relay.cfg.Now()}
	h.relay.cfg.Log.WithFields(log.Fields{
		log.FieldRequest: h.request.ID,
		log.FieldAsk:     a.ID.String(),
		log.FieldEngine:  engine.ID,
		"tokens":         tokens,
		"took_ms":        h.relay.cfg.Now().Sub(begin).Milliseconds(),
	}).Info("prefilled")
	return result{}
}

// noteAddressTaken informs the directory if another endpoint now has the address of e.
func (h *handler) noteAddressTaken(a *Answer, e Endpoint) {
	if a.AddressTaken {
		h.relay.cfg.Directory.MarkReplaced(e.ID, e.Address)
	}
}

// newCall returns the request as it is sent to an endpoint.
func (h *handler) newCall(e Endpoint) Call {
	return Call{
		Endpoint:  e,
		Method:    h.request.Method,
		Target:    h.request.Target,
		Host:      h.request.Host,
		RequestID: h.request.ID,
		Header:    h.requestHeader(),
		Body:      h.request.Body,
		HasBody:   h.request.HasBody,
		Remaining: time.Until(h.deadline),
		LastEvent: h.lastEvent,
		Account:   h.accountName(),
		Allowed:   h.allowed,
	}
}

// requestHeader returns the header fields that are forwarded. The caller's credentials are
// among them only if no table of this process ever had accounts.
func (h *handler) requestHeader() []HeaderField {
	h.relay.mutex.Lock()
	keyed := h.relay.hadAccounts
	h.relay.mutex.Unlock()
	if keyed || len(h.request.Credential.Opaque) == 0 {
		return h.request.Header
	}
	return slices.Concat(h.request.Header, h.request.Credential.Opaque)
}

// send sends the request to an endpoint and relays its answer.
func (h *handler) send(ctx context.Context, id, source string) result {
	e, withheld := h.answerable(id)
	if withheld != nil {
		return *withheld
	}
	if !h.allowArrival() {
		return result{kind: refused, reason: "retry_budget", retryAfter: minRetryAfter}
	}
	h.noteTakenUp()
	h.sends++
	call := h.newCall(e)
	call.Source, call.Repeatable = source, h.route.Idempotent()
	answer, withheld, err := h.exchange(ctx, call, h.answerable)
	if withheld != nil {
		return *withheld
	}
	unreached := err != nil && adapter.RanOf(err) == lifecycle.NotRun
	if !unreached {
		h.noteArrival()
	}
	if err != nil {
		if unreached {
			return h.noteBreak(ctx, err, result{kind: turnedAway, endpoint: id, unreached: true, reason: "endpoint_unreached"})
		}
		h.runs++
		return h.noteBreak(ctx, err, result{kind: failed, endpoint: id, silent: true, reason: "endpoint_unanswered"})
	}
	h.via = answer.Via
	if answer.NotRun {
		h.noteAddressTaken(answer, e)
		_ = answer.Discard()
		return result{kind: turnedAway, endpoint: id, full: !answer.AddressTaken, reason: "endpoint_turned_away"}
	}
	h.runs++
	if !answer.Signed || answer.Encoded {
		_ = answer.Body.Close()
		return result{kind: failed, endpoint: id, reason: "answer_not_signed"}
	}
	if h.reply != nil && !h.reply.continuedBy(answer) {
		return h.rejectContinuation(id, answer)
	}
	if h.route.Stream() && answer.Success() {
		return h.relayStream(ctx, id, answer)
	}
	return h.bufferAnswer(ctx, id, answer)
}

// reasonNoConnection is the reason why a request was not sent to an endpoint to which this box may open no
// further connection.
const reasonNoConnection = "no_connection_left"

// noteBreak adds the cause of an interrupted exchange to its result and reports it to the
// metrics and the quarantine. The endpoint is not blamed if the request itself was canceled or
// timed out.
func (h *handler) noteBreak(ctx context.Context, err error, res result) result {
	res.broke, res.ran = adapter.BreakOf(err), h.relay.cfg.Now().Sub(h.sentAt)
	if unreached := adapter.UnreachedOf(err); unreached != nil {
		res.others, res.known = unreached.Others, unreached.Known
	}
	if res.broke == adapter.BreakShare {
		res.unreached, res.reason = false, reasonNoConnection
		return res
	}
	if ctx.Err() != nil {
		res.broke, res.endpoint = adapter.BreakOwn, ""
	}
	if h.relay.cfg.Metrics != nil {
		h.relay.cfg.Metrics.ExchangeBroken(h.service.Name, string(res.broke))
	}
	if !res.unreached {
		if checked := h.suspect().BrokeOff(res.endpoint, res.broke, res.ran); checked != nil {
			quarantine.AwaitCheck(checked, ctx.Done())
		}
	}
	return res
}
