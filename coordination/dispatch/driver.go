// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"strings"
	"time"

	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/coordination/quarantine"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/state/prefix"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// order is the order to an engine that is in flight.
type order struct {
	attempt uint32
	cancel  context.CancelFunc
	begun   time.Time
}

// driver handles one request: one goroutine owns the lifecycle state machine, and another one
// runs the order in flight.
type driver struct {
	dispatcher *Dispatcher
	call       *Call
	request    Request
	// suspect is the request as the quarantine tracks it.
	suspect *quarantine.Request
	machine lifecycle.Machine
	ctx     context.Context
	started time.Time
	group   string
	// home is the box that has the current ask or grant.
	home    string
	marks   []prefix.Mark
	emitted strings.Builder
	// software is the software version of the engine that began the answer; empty if the answer has
	// not begun or the version is not known.
	software string
	order    order
	// used holds the engines that orders were sent to.
	used map[string]table.Endpoint
	// currentAsk is the ask in flight, and askTimer fires when it has to be repeated.
	currentAsk schedule.Ask
	askTimer   *time.Timer
	// rank is the index of the box that is asked, 0 for the group's home; queued reports
	// whether that box has queued the ask.
	rank        int
	queued      bool
	askDeadline time.Time
	// askedAt maps each box to the time when it was first asked the same question. For a box
	// that answers a repeated ask, the first one counts.
	askedAt map[string]time.Time
	// counted holds what the home has counted of the attempt toward the limits of its engines,
	// and decodeStarted reports whether an order has been sent to the decode engine.
	counted       pace.Counted
	decodeStarted bool
	report        schedule.Report
	// prefillReport is the prefill engine's report on its work.
	prefillReport home.Prefilled
	// moveTimeout limits the transfer of the attempt's KV cache.
	moveTimeout time.Duration
	// firstTokenAt is the time of the first token of the whole answer; attemptFirstAt and
	// attemptLastAt are the times of the first and last token of the attempt.
	firstTokenAt   time.Time
	attemptFirstAt time.Time
	attemptLastAt  time.Time
	answered       bool
}

func newDriver(d *Dispatcher, c *Call, r Request) *driver {
	marks := prefix.Marks([]byte(r.Prompt))
	r.PoisonIdentity.Parts = partsOf(marks)
	return &driver{
		dispatcher: d,
		call:       c,
		request:    r,
		suspect:    d.cfg.Quarantine.Request(c.ID.String(), r.Service, r.PoisonIdentity),
		started:    time.Now(),
		marks:      marks,
		askTimer:   time.NewTimer(time.Hour),
		used:       make(map[string]table.Endpoint),
	}
}

// run is the driver's main loop. It returns when the request has ended.
func (d *driver) run(ctx context.Context) {
	d.ctx = ctx
	defer d.askTimer.Stop()
	defer d.dispatcher.removeCall(d.call.ID)
	defer close(d.call.done)
	defer close(d.call.tokens)
	if d.request.Key != "" {
		d.dispatcher.transcripts.begin(d.call.ID)
		if !d.claimKey() {
			return
		}
	}
	m, effects := lifecycle.New(d.request.Once, d.dispatcher.cfg.MaxAttempts)
	d.machine = m
	d.perform(effects)
	for !d.answered {
		d.handleNext()
	}
}

// handleNext waits for the next event and handles it.
func (d *driver) handleNext() {
	select {
	case e := <-d.call.events:
		d.handleEvent(e)
	case <-d.call.gone:
		d.step(lifecycle.CallerDisconnected{})
	case <-d.askTimer.C:
		d.retryAsk()
	case <-d.call.rehome:
		d.rehome()
	}
}

// handleEvent records what an event carries for the driver and passes it to the state machine.
// Decisions on other attempts are discarded, and their grants returned.
func (d *driver) handleEvent(e lifecycle.Event) {
	switch ev := e.(type) {
	case grantEvent:
		if ev.id.Number != d.machine.Attempt+1 || d.machine.Phase != lifecycle.Received {
			d.returnSecondGrant(ev)
			return
		}
		d.askTimer.Stop()
		d.home = ev.home
		d.counted = pace.Counted{Prefill: ev.prefillCounted, Decode: ev.decodeCounted, Granted: d.askedAt[ev.home].Add(ev.waited)}
		d.decodeStarted = false
		d.setMoveTimeout(ev.move)
		d.step(ev.event)
	case slotEvent:
		if ev.event.Attempt == d.machine.Attempt {
			d.setMoveTimeout(ev.move)
			d.counted.Decode, d.counted.Prefilled = ev.counted, time.Now()
		}
		d.step(ev.event)
	case refusalEvent:
		d.handleRefusal(ev)
	case queuedEvent:
		if ev.home == d.home && ev.id == d.currentAsk.ID && d.machine.Phase == lifecycle.Received {
			d.queued = true
			d.askTimer.Reset(d.dispatcher.cfg.QueuedRetry)
		}
	case prefillEvent:
		d.prefillReport = ev.report
		d.counted.Prefilled = time.Now()
		d.step(ev.event)
	case failureEvent:
		d.handleFailure(ev)
	case softwareEvent:
		if ev.attempt == d.machine.Attempt && d.machine.Emitted == 0 {
			d.software = ev.software
		}
	case moveEvent:
		if ev.event.Attempt == d.machine.Attempt {
			d.report.MoveTime = ev.took
		}
		d.step(ev.event)
	default:
		d.step(e)
	}
}

// handleFailure completes a failed order with what only the driver knows: whether the engine is
// to blame and whether the retry budget allows another attempt.
func (d *driver) handleFailure(f failureEvent) {
	if f.event.Attempt != d.machine.Attempt || d.machine.Phase.Ended() {
		return
	}
	if f.event.Ran != lifecycle.NotRun && !f.checked {
		f.checked = true
		if checked := d.suspect.BrokeOff(f.event.Engine, f.broke, time.Since(d.order.begun)); checked != nil {
			go d.postChecked(f, checked)
			return
		}
	}
	if !f.event.Gone && !f.withheld {
		d.report.Failed = f.event.Engine
	}
	f.event.Retry = !f.final && d.machine.Attempt < d.dispatcher.cfg.MaxAttempts && d.dispatcher.spendRetry()
	f.event.RetryAfterMS = noEngineRetryMS
	d.step(f.event)
}

// postChecked passes a failure on again once it is known whether its engine has ended, or a little later.
func (d *driver) postChecked(f failureEvent, checked <-chan struct{}) {
	quarantine.AwaitCheck(checked, d.call.done)
	d.call.post(f)
}

// step passes an event to the state machine and performs the resulting effects.
func (d *driver) step(e lifecycle.Event) {
	m, effects := d.machine.Step(e)
	d.machine = m
	d.perform(effects)
}

func (d *driver) perform(effects []lifecycle.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case lifecycle.AskHome:
			d.ask(e)
		case lifecycle.Withdraw:
			d.notifyHome(home.Withdrawn{ID: d.currentAsk.ID})
		case lifecycle.StartPrefill:
			d.startPrefill(e)
		case lifecycle.ReportPrefilled:
			d.notifyHome(d.prefillReport)
		case lifecycle.StartMove:
			d.startMove(e)
		case lifecycle.StartDecode:
			d.startDecode(e)
		case lifecycle.Deliver:
			d.deliver(e.Token)
		case lifecycle.StopWork:
			d.cancelOrder()
		case lifecycle.Release:
			d.release(e.Hold)
		case lifecycle.ReturnGrant:
			d.returnGrant(e)
		case lifecycle.Answer:
			d.answer(e)
		}
	}
}
