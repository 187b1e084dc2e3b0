// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/notice"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/streams"
)

// reasonNotCounted is why an order is not sent if no home has counted it for its engine.
const reasonNotCounted = "endpoint_not_counted"

// leaving returns why no order of a new attempt may be sent to an engine: it is leaving or resting. It
// returns an empty string if one may.
func (d *driver) leaving(engine string) string {
	if e, known := d.dispatcher.cfg.Tables.Table().Endpoint(engine); known && e.Leaving {
		return notice.ReasonLeaving
	}
	return d.dispatcher.cfg.Notices.Availability(engine).Reason()
}

// withSendCheck returns a context for the first order of an attempt to an engine, which is checked again
// once the connection is there.
func (d *driver) withSendCheck(ctx context.Context, engine string) context.Context {
	return adapter.WithSendCheck(ctx, func() string { return d.leaving(engine) })
}

// withholdPrefill returns why the prefill must not be sent to an engine now: the engine is
// leaving or resting, or it announces a limit and no home has counted the attempt for it. It
// returns an empty string if the prefill may be sent.
func (d *driver) withholdPrefill(engine string) string {
	if reason := d.leaving(engine); reason != "" {
		return reason
	}
	if d.prefillCounted(engine) {
		return ""
	}
	return reasonNotCounted
}

// prefillCounted reports whether the limits of the engine allow the prefill.
func (d *driver) prefillCounted(engine string) bool {
	return !d.counted.Prefill && !d.dispatcher.cfg.Notices.Limited(engine) || d.counted.PrefillAt(time.Now())
}

// withholdDecode is like withholdPrefill, for an order to the attempt's decode engine. Only the
// first order of an attempt counts toward the limits, so it records that the decode has
// started; later orders of the same attempt are allowed.
func (d *driver) withholdDecode(engine string) string {
	if e, known := d.dispatcher.cfg.Tables.Table().Endpoint(engine); known && !streams.Suits(d.software, e.Software) {
		return streams.ReasonOtherSoftware
	}
	if reason := d.leaving(engine); reason != "" && !d.decodeStarted {
		return reason
	}
	if d.decodeCounted(engine) {
		return ""
	}
	return reasonNotCounted
}

// decodeCounted reports whether the limits of the engine allow the order, and if so records
// that the decode has started.
func (d *driver) decodeCounted(engine string) bool {
	allowed := d.decodeStarted || !d.counted.Decode && !d.dispatcher.cfg.Notices.Limited(engine) || d.counted.DecodeAt(time.Now())
	d.decodeStarted = d.decodeStarted || allowed
	return allowed
}

// failWithheld logs and posts an order that was not sent. Another attempt may follow.
func (d *driver) failWithheld(number uint32, engine, reason string) {
	d.dispatcher.cfg.Log.WithFields(log.Fields{
		log.FieldRequest: d.call.ID.String(),
		log.FieldAttempt: number,
		log.FieldEngine:  engine,
		log.FieldReason:  reason,
	}).Info("order_failed")
	d.call.post(failureEvent{
		withheld: true,
		event: lifecycle.StepFailed{
			Attempt: number, Ran: lifecycle.NotRun, Reason: lifecycle.ReasonOverloaded, Engine: engine,
		},
	})
}
