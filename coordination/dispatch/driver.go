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

// work is the order under way.
type work struct {
	attempt uint32
	cancel  context.CancelFunc
	begun   time.Time
}

// driver runs one request: one goroutine that owns the life cycle, and one
// for the order under way.
type driver struct {
	d       *Dispatcher
	call    *Call
	request Request
	// suspect is the request as the quarantine sees it.
	suspect *quarantine.Request
	machine lifecycle.Machine
	ctx     context.Context
	started time.Time
	group   string
	// home is where the current ask or grant lives.
	home    string
	marks   []prefix.Mark
	emitted strings.Builder
	work    work
	// used are the engines that orders were sent to.
	used map[string]table.Endpoint
	// asked is the ask under way; askTimer asks it again.
	asked    schedule.Ask
	askTimer *time.Timer
	// rank is which of the group's boxes is asked, 0 for its home; queued is
	// true when that box has said that the ask waits there.
	rank     int
	queued   bool
	askUntil time.Time
	// askedAt is when each box was first asked the question under way: one that answers a
	// repeat of it counts from the first.
	askedAt map[string]time.Time
	// counted is what the home has counted of the attempt, and reached says that its
	// decode engine has been sent an order.
	counted pace.Counted
	reached bool
	report  schedule.Report
	// prefilledBy is what the prefill engine said of its work.
	prefilledBy home.Prefilled
	// moveTimeout bounds the transfer of the attempt.
	moveTimeout time.Duration
	// began is the first token of the whole answer; first and last are those
	// of the attempt.
	began    time.Time
	first    time.Time
	last     time.Time
	answered bool
}

func newDriver(d *Dispatcher, c *Call, r Request) *driver {
	return &driver{
		d:        d,
		call:     c,
		request:  r,
		suspect:  d.cfg.Quarantine.Request(c.ID.String(), r.Service, r.Asks),
		started:  time.Now(),
		marks:    prefix.Marks([]byte(r.Prompt)),
		askTimer: time.NewTimer(time.Hour),
		used:     make(map[string]table.Endpoint),
	}
}

// run is the driver's goroutine.
func (v *driver) run(ctx context.Context) {
	v.ctx = ctx
	defer v.askTimer.Stop()
	defer v.d.forget(v.call.ID)
	defer close(v.call.done)
	defer close(v.call.tokens)
	if v.request.Key != "" {
		v.d.transcripts.begin(v.call.ID)
		if !v.settleKey() {
			return
		}
	}
	m, effects := lifecycle.New(v.request.Once, v.d.cfg.MaxAttempts)
	v.machine = m
	v.perform(effects)
	for !v.answered {
		v.wait()
	}
}

// wait takes the next thing that happens.
func (v *driver) wait() {
	select {
	case e := <-v.call.events:
		v.take(e)
	case <-v.call.gone:
		v.step(lifecycle.CallerGone{})
	case <-v.askTimer.C:
		v.askAgain()
	case <-v.call.rehome:
		v.rehome()
	}
}

// take unpacks decisions and drops those for another attempt.
func (v *driver) take(e lifecycle.Event) {
	switch ev := e.(type) {
	case grantFrom:
		if ev.id.Number != v.machine.Attempt+1 || v.machine.Phase != lifecycle.Received {
			v.refuseGrant(ev)
			return
		}
		v.askTimer.Stop()
		v.home = ev.home
		v.counted = pace.Counted{Prefill: ev.prefill, Decode: ev.decode, Granted: v.askedAt[ev.home].Add(ev.held)}
		v.reached = false
		v.expectMove(ev.move)
		v.step(ev.event)
	case slotFrom:
		if ev.event.Attempt == v.machine.Attempt {
			v.expectMove(ev.move)
			v.counted.Decode, v.counted.Prefilled = ev.counted, time.Now()
		}
		v.step(ev.event)
	case refusal:
		v.takeRefusal(ev)
	case queuedBy:
		if ev.home == v.home && ev.id == v.asked.ID && v.machine.Phase == lifecycle.Received {
			v.queued = true
			v.askTimer.Reset(v.d.cfg.AskAgain)
		}
	case prefilled:
		v.prefilledBy = ev.report
		v.counted.Prefilled = time.Now()
		v.step(ev.event)
	case failure:
		v.takeFailure(ev)
	case moved:
		if ev.event.Attempt == v.machine.Attempt {
			v.report.MoveTime = ev.took
		}
		v.step(ev.event)
	default:
		v.step(e)
	}
}

// takeFailure adds to a failed order what only the driver knows: whether the
// engine is to blame and whether the retry budget allows another attempt.
func (v *driver) takeFailure(f failure) {
	if f.event.Attempt != v.machine.Attempt || v.machine.Phase.Ended() {
		return
	}
	if f.event.Ran != lifecycle.NotRun {
		v.suspect.BrokeOff(f.event.Engine, f.broke, time.Since(v.work.begun))
	}
	if !f.event.Gone && !f.withheld {
		v.report.Failed = f.event.Engine
	}
	f.event.Retry = !f.final && v.machine.Attempt < v.d.cfg.MaxAttempts && v.d.mayRetry()
	f.event.RetryAfterMS = noEngineRetryMS
	v.step(f.event)
}

// step feeds the life cycle and does what follows.
func (v *driver) step(e lifecycle.Event) {
	m, effects := v.machine.Step(e)
	v.machine = m
	v.perform(effects)
}

func (v *driver) perform(effects []lifecycle.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case lifecycle.AskHome:
			v.ask(e)
		case lifecycle.Withdraw:
			v.tell(home.Withdrawn{ID: v.asked.ID})
		case lifecycle.StartPrefill:
			v.startPrefill(e)
		case lifecycle.ReportPrefilled:
			v.tell(v.prefilledBy)
		case lifecycle.StartMove:
			v.startMove(e)
		case lifecycle.StartDecode:
			v.startDecode(e)
		case lifecycle.Deliver:
			v.deliver(e.Token)
		case lifecycle.StopWork:
			v.stopWork()
		case lifecycle.Release:
			v.release(e.Hold)
		case lifecycle.ReturnGrant:
			v.returnGrant(e)
		case lifecycle.Answer:
			v.answer(e)
		}
	}
}
