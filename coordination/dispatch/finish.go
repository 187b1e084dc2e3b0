// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"runridge.example/runridge/coordination/cleanup"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/metric"
	"runridge.example/runridge/state/lifecycle"
)

// release frees what an engine holds for an attempt.
func (d *driver) release(h lifecycle.Hold) {
	e, ok := d.used[h.Engine]
	if !ok || d.request.Forward != nil {
		// No order was sent to the engine, or it holds nothing that can be released.
		return
	}
	id := lifecycle.AttemptID{Request: d.call.ID, Number: h.Attempt}
	_ = d.dispatcher.cfg.Releaser.Release(cleanup.Hold{Endpoint: e, Attempt: id.String()})
}

// returnGrant reports the end of an attempt to its home.
func (d *driver) returnGrant(e lifecycle.ReturnGrant) {
	r := d.report
	r.ID = lifecycle.AttemptID{Request: d.call.ID, Number: e.Attempt}
	r.Finished = e.Finished
	r.StepTime = d.attemptLastAt.Sub(d.attemptFirstAt)
	if d.call.ID.Sequence%stepSampleInterval != 0 {
		// Homes learn enough from a sample, and leaving out the rest saves bandwidth.
		r.Steps, r.StepTime = 0, 0
	}
	d.notifyHome(r)
}

// stepSampleInterval is the number of requests for each one that reports its steps.
const stepSampleInterval = 4

// deliver records a token and sends it to the caller.
func (d *driver) deliver(t lifecycle.Token) {
	now := time.Now()
	if d.firstTokenAt.IsZero() {
		d.firstTokenAt = now
	}
	if d.attemptFirstAt.IsZero() {
		d.attemptFirstAt = now
	} else {
		d.report.Steps++
	}
	d.attemptLastAt = now
	d.emitted.WriteString(t.Text)
	d.sendToken(t.Text)
}

// sendToken passes the text of a token to the caller's goroutine. A caller that does not read
// is treated as disconnected.
func (d *driver) sendToken(text string) {
	if d.request.Key != "" {
		d.dispatcher.transcripts.add(d.call.ID, text)
	}
	select {
	case d.call.tokens <- text:
	default:
		d.call.CallerGone()
	}
}

// answer ends the request with the outcome of the state machine.
func (d *driver) answer(a lifecycle.Answer) {
	d.finish(Answer{
		Phase:      a.Phase,
		Reason:     a.Reason,
		Ran:        d.machine.Ran,
		RetryAfter: time.Duration(a.RetryAfterMS) * time.Millisecond,
		Tokens:     d.machine.Emitted,
	})
}

// finish records the final outcome of the request. It must be called once.
func (d *driver) finish(a Answer) {
	d.answered = true
	d.call.answer = a
	if a.Phase == lifecycle.Finished {
		d.suspect.Answered()
	}
	if d.request.Key != "" {
		d.dispatcher.transcripts.end(d.call.ID, a)
	}
	d.recordMetrics(a)
	d.dispatcher.cfg.Log.WithFields(log.Fields{
		log.FieldRequest: d.call.ID.String(),
		"outcome":        a.Phase.String(),
		log.FieldReason:  string(a.Reason),
		"tokens":         a.Tokens,
		"attempts":       d.machine.Attempt,
		"ms":             time.Since(d.started).Milliseconds(),
	}).Info("request_ended")
}

// recordMetrics counts the end of the request.
func (d *driver) recordMetrics(a Answer) {
	if d.dispatcher.cfg.Metrics == nil {
		return
	}
	e := metric.RequestSummary{
		Service:  d.request.Service,
		Outcome:  a.Phase.String(),
		Reason:   string(a.Reason),
		Attempts: int(d.machine.Attempt),
	}
	if !d.firstTokenAt.IsZero() {
		e.FirstToken = d.firstTokenAt.Sub(d.started)
	}
	if d.report.Steps > 0 {
		e.PerToken = d.attemptLastAt.Sub(d.attemptFirstAt) / time.Duration(d.report.Steps)
	}
	d.dispatcher.cfg.Metrics.RequestEnded(e)
}
