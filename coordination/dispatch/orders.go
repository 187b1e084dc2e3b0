// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/streams"
	"runridge.example/runridge/state/table"
)

// errStalled is the cause of canceling a decode that stopped sending tokens.
var errStalled = errors.New("no token within the step timeout")

// notInTable returns the error for an engine that was removed from the table before anything
// was sent to it.
func notInTable() error {
	return adapter.ErrNotRun.New("engine is not in the table any more")
}

// startPrefill orders the prefill of the prompt.
func (d *driver) startPrefill(e lifecycle.StartPrefill) {
	if d.stopIfPoison() {
		return
	}
	attempt, prompt := d.attempt(), d.prompt()
	engine, ok := d.endpoint(e.Engine)
	withheld := d.withholdPrefill(e.Engine)
	d.startOrder(func(ctx context.Context) {
		if withheld != "" {
			d.failWithheld(e.Attempt, e.Engine, withheld)
			return
		}
		if !ok {
			d.failOrder(e.Attempt, e.Engine, notInTable(), lifecycle.ReasonRouteRemoved)
			return
		}
		ctx, cancel := context.WithTimeout(d.withSendCheck(ctx, e.Engine), d.dispatcher.cfg.StepTimeout)
		defer cancel()
		p, err := d.dispatcher.cfg.Engine.Prefill(ctx, engine, attempt, prompt, d.request.Once)
		if err != nil {
			d.failOrder(e.Attempt, e.Engine, err, lifecycle.ReasonEngine)
			return
		}
		worked := time.Duration(p.ComputeUS) * time.Microsecond
		d.call.post(prefillEvent{
			report: home.Prefilled{ID: attempt, Computed: p.Computed, Worked: worked},
			event:  lifecycle.PrefillDone{Attempt: e.Attempt},
		})
	})
}

// prefillEvent carries the engine's report to the driver's goroutine.
type prefillEvent struct {
	lifecycle.Event
	report home.Prefilled
	event  lifecycle.PrefillDone
}

// moveEvent carries the duration of a transfer to the driver's goroutine.
type moveEvent struct {
	lifecycle.Event
	took  time.Duration
	event lifecycle.MoveDone
}

// startMove orders the decode engine to fetch the KV cache from the prefill engine.
func (d *driver) startMove(e lifecycle.StartMove) {
	attempt := d.attempt()
	from, known := d.endpoint(e.From)
	to, ok := d.endpoint(e.To)
	order := adapter.Import{
		Source:       lifecycle.AttemptID{Request: d.call.ID, Number: e.Source},
		OutputTokens: d.request.OutputTokens - d.machine.Emitted,
	}
	timeout := d.moveTimeout
	first := !d.decodeStarted
	withheld := d.withholdDecode(e.To)
	d.startOrder(func(ctx context.Context) {
		if withheld != "" {
			d.failWithheld(e.Attempt, e.To, withheld)
			return
		}
		if !ok || !known {
			d.failOrder(e.Attempt, e.To, notInTable(), lifecycle.ReasonRouteRemoved)
			return
		}
		if first {
			ctx = d.withSendCheck(ctx, e.To)
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		begin := time.Now()
		if err := d.dispatcher.cfg.Engine.Import(ctx, to, from, attempt, order); err != nil {
			d.failOrder(e.Attempt, e.To, err, lifecycle.ReasonTransfer)
			return
		}
		d.call.post(moveEvent{took: time.Since(begin), event: lifecycle.MoveDone{Attempt: e.Attempt}})
	})
}

// setMoveTimeout sets the timeout of the attempt's transfer from the estimate of its duration,
// so that a stalled transfer is abandoned while the answer can still be produced another way.
func (d *driver) setMoveTimeout(estimate time.Duration) {
	d.moveTimeout = d.dispatcher.cfg.StepTimeout / defaultMoveDivisor
	if estimate > 0 {
		d.moveTimeout = min(max(estimate*moveTimeoutFactor, minMoveTimeout), d.dispatcher.cfg.StepTimeout)
	}
}

const (
	// moveTimeoutFactor is the timeout of a transfer as a multiple of its estimate.
	moveTimeoutFactor = 4
	// minMoveTimeout is the minimum timeout of a transfer.
	minMoveTimeout = 150 * time.Millisecond
	// defaultMoveDivisor divides the step timeout to get the timeout of a transfer without an
	// estimate.
	defaultMoveDivisor = 5
)

// startDecode orders the decode of the answer, or forwards the call to a plain service.
func (d *driver) startDecode(e lifecycle.StartDecode) {
	if d.stopIfPoison() {
		return
	}
	attempt := d.attempt()
	engine, ok := d.endpoint(e.Engine)
	order := adapter.Decode{
		Emitted:      e.Emitted,
		Text:         d.emitted.String(),
		OutputTokens: d.request.OutputTokens,
		Priority:     d.request.Priority,
	}
	if e.Recompute {
		p := d.prompt()
		order.Recompute = &p
	}
	first := !d.decodeStarted
	withheld := d.withholdDecode(e.Engine)
	bound := d.software
	d.startOrder(func(ctx context.Context) {
		if withheld != "" {
			d.failWithheld(e.Attempt, e.Engine, withheld)
			return
		}
		if !ok {
			d.failOrder(e.Attempt, e.Engine, notInTable(), lifecycle.ReasonRouteRemoved)
			return
		}
		if first {
			ctx = d.withSendCheck(ctx, e.Engine)
		}
		if d.request.Forward != nil {
			d.forward(ctx, attempt, e, engine)
			return
		}
		d.decode(ctx, e, engine, bound, func(ctx context.Context, each func(adapter.Token) bool) error {
			return d.dispatcher.cfg.Engine.Decode(ctx, engine, attempt, order, d.request.Once, each)
		})
	})
}

// forward sends a call to a plain service. Its complete answer counts as the single token that
// ends the request.
func (d *driver) forward(ctx context.Context, attempt lifecycle.AttemptID, e lifecycle.StartDecode, endpoint table.Endpoint) {
	if err := d.request.Forward(ctx, attempt, endpoint); err != nil {
		d.failOrder(e.Attempt, e.Engine, err, lifecycle.ReasonEngine)
		return
	}
	d.call.post(lifecycle.Token{Attempt: e.Attempt, Index: 0, Last: true})
}

// decode posts the tokens of an answer and cancels the stream when none arrives within the step
// timeout. An answer that goes on is bound to the software version that began it; empty means any.
func (d *driver) decode(ctx context.Context, e lifecycle.StartDecode, engine table.Endpoint, bound string, stream func(context.Context, func(adapter.Token) bool) error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alarm := time.AfterFunc(d.dispatcher.cfg.StepTimeout, func() { cancel(errStalled) })
	defer alarm.Stop()
	want := lifecycle.AttemptID{Request: d.call.ID, Number: e.Attempt}.String()
	begun, complete, unsuited := false, false, false
	err := stream(ctx, func(t adapter.Token) bool {
		alarm.Reset(d.dispatcher.cfg.StepTimeout)
		if t.Attempt != want {
			// The stream belongs to another request, so none of its tokens count.
			return false
		}
		software := cmp.Or(t.Software, engine.Software)
		if !begun {
			d.dispatcher.software.note(engine.Name, t.Software)
		}
		if unsuited = !streams.Suits(bound, software); unsuited {
			return false
		}
		if !begun {
			begun = true
			d.call.post(softwareEvent{attempt: e.Attempt, software: software})
		}
		d.call.post(lifecycle.Token{Attempt: e.Attempt, Index: t.Index, Text: t.Text, Last: t.Last})
		complete = complete || t.Last
		return !t.Last
	})
	switch {
	case complete:
	case unsuited:
		d.failUnsuited(e.Attempt, engine.Name)
	case err == nil:
		d.failOrder(e.Attempt, engine.Name, adapter.ErrDidRun.New("answer ended before its last token"), lifecycle.ReasonEngine)
	default:
		d.failOrder(e.Attempt, engine.Name, err, lifecycle.ReasonEngine)
	}
}

// attempt returns the ID of the current attempt.
func (d *driver) attempt() lifecycle.AttemptID {
	return lifecycle.AttemptID{Request: d.call.ID, Number: d.machine.Attempt}
}

// prompt returns the prompt for an engine, with the text emitted so far.
func (d *driver) prompt() adapter.Prompt {
	p := adapter.Prompt{Text: d.request.Prompt, Emitted: d.emitted.String(), Priority: d.request.Priority}
	for _, m := range d.marks {
		p.Marks = append(p.Marks, m.Hash)
		p.MarkBytes = append(p.MarkBytes, m.Bytes)
	}
	return p
}

// startOrder runs an order in its own goroutine, with a context that cancelOrder cancels.
func (d *driver) startOrder(run func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(d.ctx)
	d.order = order{attempt: d.machine.Attempt, cancel: cancel, begun: time.Now()}
	if d.machine.Phase == lifecycle.Admitted {
		d.step(lifecycle.Started{Attempt: d.machine.Attempt})
	}
	go run(ctx)
}

func (d *driver) cancelOrder() {
	if d.order.cancel != nil {
		d.order.cancel()
	}
}

// failOrder logs and posts the failure of an order.
func (d *driver) failOrder(number uint32, engine string, err error, reason lifecycle.Reason) {
	if withheld := adapter.WithheldReason(err); withheld != "" {
		d.failWithheld(number, engine, withheld)
		return
	}
	ran, text := callError(err)
	d.dispatcher.cfg.Log.WithFields(log.Fields{
		log.FieldRequest: d.call.ID.String(),
		log.FieldAttempt: number,
		log.FieldEngine:  engine,
		log.FieldReason:  text,
	}).Info("order_failed")
	d.call.post(failureEvent{
		final: errorx.IsOfType(err, adapter.ErrFinal),
		broke: adapter.BreakOf(err),
		event: lifecycle.StepFailed{
			Attempt: number,
			Ran:     ran,
			Reason:  reason,
			Engine:  engine,
			Gone:    errorx.IsOfType(err, adapter.ErrGone),
		},
	})
}

// failureEvent carries a failed order to the driver's goroutine, which completes it in
// handleFailure.
type failureEvent struct {
	lifecycle.Event
	event lifecycle.StepFailed
	// final reports that another attempt cannot succeed either, and broke is how the exchange
	// was interrupted, if it was.
	final bool
	broke adapter.Break
	// withheld reports that nothing was sent and the engine is not to blame.
	withheld bool
	// checked reports that the engine was checked after the exchange broke off.
	checked bool
}

// endpoint returns an engine from the table in force and remembers it, because what it holds
// has to be released even if it is removed from the table.
func (d *driver) endpoint(name string) (table.Endpoint, bool) {
	e, ok := d.dispatcher.cfg.Tables.Table().Endpoint(name)
	if ok {
		d.used[name] = e
	}
	return e, ok
}
