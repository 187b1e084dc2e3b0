// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lifecycle

import "slices"

// Machine is the state of one request. It is an immutable value: Step returns
// the next state and does not modify its receiver.
type Machine struct {
	// Once marks a request that must not be repeated: it runs at most once.
	Once bool
	// MaxAttempts is the maximum number of attempts; values below 1 mean 1.
	MaxAttempts uint32

	Phase   Phase
	Attempt uint32
	Plan    Plan
	// Emitted is the number of tokens delivered to the caller.
	Emitted int
	// Ran is what is known about all attempts together.
	Ran Ran
	// Holds lists the memory that engines may still keep for the request. A hold
	// is added before the order that creates it is sent.
	Holds []Hold
	// Kept is the hold of a finished prefill whose result can still be used; its
	// Engine is empty if there is none.
	Kept Hold
	// Avoid lists the engines on which attempts failed.
	Avoid []string
	// granted is true while the home counts a grant for Attempt.
	granted bool
}

// New returns the state of a new request and its first effects, which ask the
// home for a plan.
func New(once bool, maxAttempts uint32) (Machine, []Effect) {
	return Machine{Once: once, MaxAttempts: maxAttempts}, []Effect{AskHome{}}
}

// Step returns the state after an event and the effects that the driver must
// carry out. Events of other attempts and events that do not fit the phase
// change nothing, so late and reordered answers are dropped here.
func (m Machine) Step(e Event) (Machine, []Effect) {
	if r, ok := e.(Released); ok {
		return m.withoutHold(r.Hold), nil
	}
	if m.Phase.Ended() {
		return m.afterEnd(e)
	}
	switch ev := e.(type) {
	case Granted:
		return m.grantReceived(ev)
	case Refused:
		return m.refused(ev)
	case Started:
		return m.started(ev)
	case PrefillDone:
		return m.prefillDone(ev)
	case SlotReady:
		return m.slotReady(ev)
	case MoveDone:
		return m.moveDone(ev)
	case Token:
		return m.token(ev)
	case StepFailed:
		return m.stepFailed(ev)
	case CallerDisconnected:
		return m.end(Cancelled, ReasonCallerGone, 0)
	case Stop:
		return m.end(m.provenEnd(), ev.Reason, ev.RetryAfterMS)
	}
	return m, nil
}

// afterEnd returns a grant that arrives after the request has ended.
func (m Machine) afterEnd(e Event) (Machine, []Effect) {
	if _, late := e.(Granted); late && !m.granted {
		return m, []Effect{ReturnGrant{Attempt: m.Attempt + 1}}
	}
	return m, nil
}

func (m Machine) grantReceived(ev Granted) (Machine, []Effect) {
	if m.Phase != Received {
		return m, nil
	}
	m.Phase = Admitted
	m.Attempt++
	m.Plan = ev.Plan
	m.granted = true
	if ev.Plan.Reuse {
		return m.reuse()
	}
	m, effects := m.dropKept()
	if ev.Plan.Mode == Recompute {
		m = m.withHold(ev.Plan.Decode)
		return m, append(effects, m.decodeOrder())
	}
	m = m.withHold(ev.Plan.Prefill)
	return m, append(effects, StartPrefill{Attempt: m.Attempt, Engine: ev.Plan.Prefill})
}

// reuse starts with the transfer of a kept result, without a prefill.
func (m Machine) reuse() (Machine, []Effect) {
	if m.Kept.Engine != m.Plan.Prefill || m.Plan.Decode == "" {
		// The home's plan does not match the kept result; no order was sent.
		failed := StepFailed{Attempt: m.Attempt, Ran: NotRun, Reason: ReasonEngine, Gone: true, Retry: true}
		return m.stepFailed(failed)
	}
	m = m.withHold(m.Plan.Decode)
	return m, []Effect{m.moveOrder()}
}

func (m Machine) moveOrder() StartMove {
	return StartMove{Attempt: m.Attempt, From: m.Plan.Prefill, To: m.Plan.Decode, Source: m.Kept.Attempt}
}

// dropKept releases a kept result that the new plan does not use.
func (m Machine) dropKept() (Machine, []Effect) {
	if m.Kept.Engine == "" {
		return m, nil
	}
	release := Release{Hold: m.Kept}
	m.Kept = Hold{}
	return m, []Effect{release}
}

func (m Machine) refused(ev Refused) (Machine, []Effect) {
	if m.Phase != Received {
		return m, nil
	}
	return m.end(m.provenEnd(), ev.Reason, ev.RetryAfterMS)
}

// started records that the attempt may run, before the first byte of its order
// is sent.
func (m Machine) started(ev Started) (Machine, []Effect) {
	if ev.Attempt != m.Attempt || m.Phase != Admitted {
		return m, nil
	}
	switch {
	case m.Plan.Reuse:
		m.Phase = Moving
	case m.Plan.Mode == Recompute:
		m.Phase = Recomputing
	default:
		m.Phase = Prefilling
	}
	return m, nil
}

func (m Machine) prefillDone(ev PrefillDone) (Machine, []Effect) {
	if ev.Attempt != m.Attempt || m.Phase != Prefilling {
		return m, nil
	}
	m.Ran = DidRun
	m.Phase = Prefilled
	m.Kept = Hold{Engine: m.Plan.Prefill, Attempt: m.Attempt}
	report := ReportPrefilled{Attempt: m.Attempt}
	if m.Plan.Decode == "" {
		return m, []Effect{report}
	}
	m, effects := m.continueOnDecode()
	return m, append([]Effect{report}, effects...)
}

// slotReady sets the plan's decode engine. The event may arrive before the
// prefill ends.
func (m Machine) slotReady(ev SlotReady) (Machine, []Effect) {
	open := m.Phase == Admitted || m.Phase == Prefilling || m.Phase == Prefilled
	if ev.Attempt != m.Attempt || m.Plan.Decode != "" || !open {
		return m, nil
	}
	m.Plan.Decode = ev.Decode
	if m.Phase != Prefilled {
		return m, nil
	}
	return m.continueOnDecode()
}

// continueOnDecode starts the step after a finished prefill: the transfer to the
// decode engine, or generation if it is the same engine.
func (m Machine) continueOnDecode() (Machine, []Effect) {
	if m.Plan.Prefill == m.Plan.Decode {
		m.Phase = SameEngine
		return m, []Effect{m.decodeOrder()}
	}
	m.Phase = Moving
	m = m.withHold(m.Plan.Decode)
	return m, []Effect{m.moveOrder()}
}

func (m Machine) moveDone(ev MoveDone) (Machine, []Effect) {
	if ev.Attempt != m.Attempt || m.Phase != Moving {
		return m, nil
	}
	m.Phase = Decoding
	// The prefill engine's copy stays until the request ends or the copy expires:
	// if the decode engine dies, another one continues from the copy and no
	// prefill is repeated.
	return m, []Effect{m.decodeOrder()}
}

func (m Machine) decodeOrder() StartDecode {
	return StartDecode{
		Attempt:   m.Attempt,
		Engine:    m.Plan.Decode,
		Emitted:   m.Emitted,
		Recompute: m.Plan.Mode == Recompute,
	}
}

func (m Machine) token(ev Token) (Machine, []Effect) {
	generating := m.Phase == Decoding || m.Phase == Recomputing || m.Phase == SameEngine
	if ev.Attempt != m.Attempt || !generating || ev.Index < m.Emitted {
		return m, nil
	}
	if ev.Index > m.Emitted {
		// A token is missing, so the answer would be incomplete.
		failed := StepFailed{Attempt: m.Attempt, Ran: DidRun, Reason: ReasonEngine, Engine: m.Plan.Decode, Retry: true}
		return m.stepFailed(failed)
	}
	m.Phase = Decoding
	m.Ran = DidRun
	m.Emitted++
	effects := []Effect{Deliver{Token: ev}}
	if !ev.Last {
		return m, effects
	}
	// The engine freed the slot when it sent the last token.
	m = m.withoutHold(Hold{Engine: m.Plan.Decode, Attempt: m.Attempt})
	next, ending := m.end(Finished, "", 0)
	return next, append(effects, ending...)
}

func (m Machine) stepFailed(ev StepFailed) (Machine, []Effect) {
	working := m.Phase > Received && m.Phase < Finished
	if ev.Attempt != m.Attempt || !working {
		return m, nil
	}
	m.Ran = max(m.Ran, ev.Ran)
	retry := ev.Retry && m.Attempt < max(m.MaxAttempts, 1)
	if m.Once && m.Ran != NotRun {
		retry = false
	}
	if !retry {
		return m.end(m.provenEnd(), ev.Reason, ev.RetryAfterMS)
	}
	if ev.Engine != "" && !slices.Contains(m.Avoid, ev.Engine) {
		m.Avoid = append(slices.Clone(m.Avoid), ev.Engine)
	}
	if ev.Gone || ev.Engine == m.Kept.Engine {
		m.Kept = Hold{}
	}
	effects := m.cleanupEffects(false)
	m.granted = false
	m.Phase = Received
	return m, append(effects, AskHome{Emitted: m.Emitted, Avoid: m.Avoid, Kept: m.Kept.Engine})
}

// provenEnd returns the final phase of an unfinished request: it claims no more
// than is known about whether the request ran.
func (m Machine) provenEnd() Phase {
	// An order in flight may run even if no answer to it was received.
	inFlight := m.Phase > Admitted && m.Phase < Finished
	switch {
	case m.Ran == DidRun:
		return Failed
	case m.Ran == MayHaveRun || inFlight:
		return Unknown
	default:
		return RefusedNotRun
	}
}

// end answers the caller with a final phase and releases everything.
func (m Machine) end(p Phase, reason Reason, retryAfterMS int) (Machine, []Effect) {
	m.Kept = Hold{}
	effects := m.cleanupEffects(p == Finished)
	m.granted = false
	m.Phase = p
	return m, append(effects, Answer{Phase: p, Reason: reason, RetryAfterMS: retryAfterMS})
}

// cleanupEffects returns the effects that undo what an attempt left behind.
func (m Machine) cleanupEffects(finished bool) []Effect {
	var effects []Effect
	if m.Phase == Received {
		effects = append(effects, Withdraw{})
	}
	if m.granted && !finished {
		effects = append(effects, StopWork{Attempt: m.Attempt})
	}
	for _, h := range m.Holds {
		if h != m.Kept {
			effects = append(effects, Release{Hold: h})
		}
	}
	if m.granted {
		effects = append(effects, ReturnGrant{Attempt: m.Attempt, Finished: finished})
	}
	return effects
}

func (m Machine) withHold(engine string) Machine {
	h := Hold{Engine: engine, Attempt: m.Attempt}
	m.Holds = append(slices.Clone(m.Holds), h)
	return m
}

func (m Machine) withoutHold(h Hold) Machine {
	i := slices.Index(m.Holds, h)
	if i < 0 {
		return m
	}
	m.Holds = slices.Delete(slices.Clone(m.Holds), i, i+1)
	return m
}
