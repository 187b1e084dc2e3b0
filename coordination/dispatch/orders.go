// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/table"
)

// errStalled ends a decode whose tokens stopped coming.
var errStalled = errors.New("no token within the step timeout")

// notInTable is a failure before anything was sent.
func notInTable() error {
	return adapter.ErrNotRun.New("engine is not in the table any more")
}

func (v *driver) startPrefill(e lifecycle.StartPrefill) {
	if v.stopPoison() {
		return
	}
	attempt, prompt := v.attempt(), v.prompt()
	engine, ok := v.endpoint(e.Engine)
	withheld := v.withholdPrefill(e.Engine)
	v.order(func(ctx context.Context) {
		if withheld != "" {
			v.leaveOut(e.Attempt, e.Engine, withheld)
			return
		}
		if !ok {
			v.fail(e.Attempt, e.Engine, notInTable(), lifecycle.ReasonRouteRemoved)
			return
		}
		ctx, cancel := context.WithTimeout(ctx, v.d.cfg.StepTimeout)
		defer cancel()
		p, err := v.d.cfg.Engine.Prefill(ctx, engine, attempt, prompt, v.request.Once)
		if err != nil {
			v.fail(e.Attempt, e.Engine, err, lifecycle.ReasonEngine)
			return
		}
		worked := time.Duration(p.WorkedUS) * time.Microsecond
		v.call.post(prefilled{
			report: home.Prefilled{ID: attempt, Computed: p.Computed, Worked: worked},
			event:  lifecycle.PrefillDone{Attempt: e.Attempt},
		})
	})
}

// prefilled carries the engine's figures to the driver's own goroutine.
type prefilled struct {
	lifecycle.Event
	report home.Prefilled
	event  lifecycle.PrefillDone
}

// moved carries the time of a transfer to the driver's own goroutine.
type moved struct {
	lifecycle.Event
	took  time.Duration
	event lifecycle.MoveDone
}

func (v *driver) startMove(e lifecycle.StartMove) {
	attempt := v.attempt()
	from, known := v.endpoint(e.From)
	to, ok := v.endpoint(e.To)
	order := adapter.Import{
		Source:       lifecycle.AttemptID{Request: v.call.ID, Number: e.Source},
		OutputTokens: v.request.OutputTokens - v.machine.Emitted,
	}
	patience := v.moveTimeout
	withheld := v.withholdDecode(e.To)
	v.order(func(ctx context.Context) {
		if withheld != "" {
			v.leaveOut(e.Attempt, e.To, withheld)
			return
		}
		if !ok || !known {
			v.fail(e.Attempt, e.To, notInTable(), lifecycle.ReasonRouteRemoved)
			return
		}
		ctx, cancel := context.WithTimeout(ctx, patience)
		defer cancel()
		begin := time.Now()
		if err := v.d.cfg.Engine.Import(ctx, to, from, attempt, order); err != nil {
			v.fail(e.Attempt, e.To, err, lifecycle.ReasonTransfer)
			return
		}
		v.call.post(moved{took: time.Since(begin), event: lifecycle.MoveDone{Attempt: e.Attempt}})
	})
}

// expectMove sets how long the attempt's transfer may take, so that a stalled
// one is given up while the answer can still be had another way.
func (v *driver) expectMove(estimate time.Duration) {
	v.moveTimeout = v.d.cfg.StepTimeout / moveShare
	if estimate > 0 {
		v.moveTimeout = min(max(estimate*movePatience, leastMove), v.d.cfg.StepTimeout)
	}
}

const (
	// movePatience is how many times its estimate a transfer may take.
	movePatience = 4
	// leastMove is the least time that a transfer is given.
	leastMove = 150 * time.Millisecond
	// moveShare of the step timeout is used where there is no estimate.
	moveShare = 5
)

func (v *driver) startDecode(e lifecycle.StartDecode) {
	if v.stopPoison() {
		return
	}
	attempt := v.attempt()
	engine, ok := v.endpoint(e.Engine)
	order := adapter.Decode{
		Emitted:      e.Emitted,
		Text:         v.emitted.String(),
		OutputTokens: v.request.OutputTokens,
		Priority:     v.request.Priority,
	}
	if e.Recompute {
		p := v.prompt()
		order.Recompute = &p
	}
	withheld := v.withholdDecode(e.Engine)
	v.order(func(ctx context.Context) {
		if withheld != "" {
			v.leaveOut(e.Attempt, e.Engine, withheld)
			return
		}
		if !ok {
			v.fail(e.Attempt, e.Engine, notInTable(), lifecycle.ReasonRouteRemoved)
			return
		}
		if v.request.Forward != nil {
			v.forward(ctx, attempt, e, engine)
			return
		}
		v.decode(ctx, e, engine.Name, func(ctx context.Context, each func(adapter.Token) bool) error {
			return v.d.cfg.Engine.Decode(ctx, engine, attempt, order, v.request.Once, each)
		})
	})
}

// forward passes a call on to a plain service. Its whole answer stands for the
// one token that ends the request.
func (v *driver) forward(ctx context.Context, attempt lifecycle.AttemptID, e lifecycle.StartDecode, endpoint table.Endpoint) {
	if err := v.request.Forward(ctx, attempt, endpoint); err != nil {
		v.fail(e.Attempt, e.Engine, err, lifecycle.ReasonEngine)
		return
	}
	v.call.post(lifecycle.Token{Attempt: e.Attempt, Index: 0, Last: true})
}

// decode posts the tokens of an answer and notices when they stop coming.
func (v *driver) decode(ctx context.Context, e lifecycle.StartDecode, engine string, stream func(context.Context, func(adapter.Token) bool) error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alarm := time.AfterFunc(v.d.cfg.StepTimeout, func() { cancel(errStalled) })
	defer alarm.Stop()
	want := lifecycle.AttemptID{Request: v.call.ID, Number: e.Attempt}.String()
	complete := false
	err := stream(ctx, func(t adapter.Token) bool {
		alarm.Reset(v.d.cfg.StepTimeout)
		if t.Attempt != want {
			// Another request's answer on this stream: nothing here counts.
			return false
		}
		v.call.post(lifecycle.Token{Attempt: e.Attempt, Index: t.Index, Text: t.Text, Last: t.Last})
		complete = complete || t.Last
		return !t.Last
	})
	if complete {
		return
	}
	if err == nil {
		err = adapter.ErrDidRun.New("answer ended before its last token")
	}
	v.fail(e.Attempt, engine, err, lifecycle.ReasonEngine)
}

func (v *driver) attempt() lifecycle.AttemptID {
	return lifecycle.AttemptID{Request: v.call.ID, Number: v.machine.Attempt}
}

func (v *driver) prompt() adapter.Prompt {
	p := adapter.Prompt{Text: v.request.Prompt, Emitted: v.emitted.String(), Priority: v.request.Priority}
	for _, m := range v.marks {
		p.Marks = append(p.Marks, m.Hash)
		p.MarkBytes = append(p.MarkBytes, m.Bytes)
	}
	return p
}

// order runs one order in a goroutine of its own under a timeout.
func (v *driver) order(run func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(v.ctx)
	v.work = work{attempt: v.machine.Attempt, cancel: cancel, begun: time.Now()}
	if v.machine.Phase == lifecycle.Admitted {
		v.step(lifecycle.Started{Attempt: v.machine.Attempt})
	}
	go run(ctx)
}

func (v *driver) stopWork() {
	if v.work.cancel != nil {
		v.work.cancel()
	}
}

// fail posts a failed order.
func (v *driver) fail(number uint32, engine string, err error, reason lifecycle.Reason) {
	ran, text := callError(err)
	v.d.cfg.Log.WithFields(log.Fields{
		log.FieldRequest: v.call.ID.String(),
		log.FieldAttempt: number,
		log.FieldEngine:  engine,
		log.FieldReason:  text,
	}).Info("order_failed")
	v.call.post(failure{
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

// failure carries a failed order to the driver's own goroutine, which adds
// what only it knows.
type failure struct {
	lifecycle.Event
	event lifecycle.StepFailed
	// final says that no other attempt can take this one's place, and broke how the
	// exchange broke off, if it did.
	final bool
	broke adapter.Break
	// withheld says that nothing was sent, and the engine is not to blame.
	withheld bool
}

// endpoint finds an engine in the table in force, and remembers it: what it
// holds has to be freed even when the table has lost it by then.
func (v *driver) endpoint(name string) (table.Endpoint, bool) {
	e, ok := v.d.cfg.Tables.Table().Endpoint(name)
	if ok {
		v.used[name] = e
	}
	return e, ok
}
