// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package lifecycle is the life of one request as a pure state machine:
// events in, effects out, no clock and no I/O. The box that took the request
// drives it; the model in model/ checks the same rules.
package lifecycle

import (
	"fmt"
	"strconv"
	"strings"
)

// RequestID names a request in the whole system.
type RequestID struct {
	// Box and Incarnation name the process that owns the request.
	Box         string
	Incarnation uint64
	// Sequence counts the requests of that process.
	Sequence uint64
}

// SequenceBits is the room for a process's requests in the packed form; the
// dispatcher's count wraps there, long after the old request is over.
const SequenceBits = 23

// Packed is the sequence and what fits of the incarnation, for the wire: the
// box at the one end of a connection is known, and its process nearly so.
func (r RequestID) Packed() uint32 {
	return uint32(r.Incarnation<<SequenceBits) | uint32(r.Sequence&(1<<SequenceBits-1))
}

// Unpack reads the form that Packed gives for a request of the box's present
// process, or of an earlier one, which gets an incarnation that none has.
func Unpack(box string, incarnation uint64, packed uint32) RequestID {
	id := RequestID{Box: box, Incarnation: incarnation, Sequence: uint64(packed & (1<<SequenceBits - 1))}
	if id.Packed() != packed {
		id.Incarnation = 0
	}
	return id
}

// String gives the form that travels in headers and logs.
func (r RequestID) String() string {
	return r.Box + "~" + strconv.FormatUint(r.Incarnation, 36) + "~" + strconv.FormatUint(r.Sequence, 36)
}

// AttemptID names one attempt at a request. Engines echo it in every answer
// and keep what they hold under it.
type AttemptID struct {
	Request RequestID
	Number  uint32
}

// String gives the form that travels to engines.
func (a AttemptID) String() string {
	return a.Request.String() + "~" + strconv.FormatUint(uint64(a.Number), 10)
}

// attemptParts is the number of fields in an attempt's text form.
const attemptParts = 4

// ParseAttemptID reads the form that String gives.
func ParseAttemptID(s string) (AttemptID, error) {
	parts := strings.Split(s, "~")
	if len(parts) != attemptParts || parts[0] == "" {
		return AttemptID{}, fmt.Errorf("attempt id %q: allowed is box~incarnation~sequence~number", s)
	}
	incarnation, err := strconv.ParseUint(parts[1], 36, 64)
	if err != nil {
		return AttemptID{}, fmt.Errorf("attempt id %q: incarnation: %w", s, err)
	}
	sequence, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return AttemptID{}, fmt.Errorf("attempt id %q: sequence: %w", s, err)
	}
	number, err := strconv.ParseUint(parts[3], 10, 32)
	if err != nil {
		return AttemptID{}, fmt.Errorf("attempt id %q: number: %w", s, err)
	}
	id := RequestID{Box: parts[0], Incarnation: incarnation, Sequence: sequence}
	return AttemptID{Request: id, Number: uint32(number)}, nil
}

// Phase is where a request stands.
type Phase uint8

// The phases, in the order in which a request usually meets them.
const (
	Received Phase = iota
	Admitted
	Prefilling
	Prefilled
	Moving
	Recomputing
	SameEngine
	Decoding
	Finished
	Cancelled
	RefusedNotRun
	Unknown
	Failed
)

var phaseNames = [...]string{
	"received", "admitted", "prefilling", "prefilled", "moving", "recomputing", "same_engine",
	"decoding", "finished", "cancelled", "not_run", "unknown", "failed",
}

// String gives the phase's name as it stands in logs and refusals.
func (p Phase) String() string {
	if !p.Known() {
		return "phase_of_a_later_build"
	}
	return phaseNames[p]
}

// Known says whether this build has the phase: another box may run a later one.
func (p Phase) Known() bool { return int(p) < len(phaseNames) }

// Ended says whether the request has its final answer.
func (p Phase) Ended() bool {
	return p >= Finished
}

// Ran is what is known about whether any engine worked on a request.
type Ran uint8

const (
	// NotRun means: proved that no engine did.
	NotRun Ran = iota
	// MayHaveRun means: an order left and its fate is not known.
	MayHaveRun
	// DidRun means: an engine said so.
	DidRun
)

// Mode is how the decode engine comes to the prompt's KV cache.
type Mode uint8

const (
	// Move means: prefill on one engine, then move the result.
	Move Mode = iota
	// Recompute means: the decode engine computes the prefill itself.
	Recompute
)

// Plan is what the home of a group decided for one attempt.
type Plan struct {
	Mode Mode
	// Prefill is the engine that computes the prefill; empty for Recompute.
	Prefill string
	// Decode is the engine that generates; empty until SlotReady names it.
	Decode string
	// Reuse says that Prefill still keeps the result of an earlier attempt,
	// so that nothing has to be computed.
	Reuse bool
}

// Hold is something that an engine may keep in memory for an attempt.
type Hold struct {
	Engine  string
	Attempt uint32
}

// Reason says in one word why a request ended as it did.
type Reason string

// Reasons given to callers.
const (
	ReasonOverloaded   Reason = "overloaded"
	ReasonHopeless     Reason = "target_cannot_be_met"
	ReasonQueueFull    Reason = "queue_full"
	ReasonAccountLimit Reason = "account_limit"
	ReasonNoEngine     Reason = "no_engine"
	ReasonNoHome       Reason = "home_not_reachable"
	ReasonDeadline     Reason = "deadline_passed"
	ReasonEngine       Reason = "engine_failed"
	ReasonTransfer     Reason = "transfer_failed"
	ReasonCallerGone   Reason = "caller_gone"
	ReasonRouteRemoved Reason = "route_removed"
	ReasonStopping     Reason = "box_stopping"
	ReasonDuplicate    Reason = "duplicate"
	ReasonKeyConflict  Reason = "key_used_for_another_request"
	ReasonPoison       Reason = "poison_request"
	// ReasonMoved is between boxes only: the group has another home now.
	ReasonMoved Reason = "home_moved"
)

// Event is what happened. Exactly one of the types in this file.
type Event interface{ event() }

// Granted means: the home admitted the request with a plan.
type Granted struct{ Plan Plan }

// Refused means: the home, or the box itself, will not run the request.
type Refused struct {
	Reason       Reason
	RetryAfterMS int
}

// Started means: the first order of the attempt is about to leave.
type Started struct{ Attempt uint32 }

// PrefillDone means: the prefill engine holds the result.
type PrefillDone struct{ Attempt uint32 }

// SlotReady means: the home names the decode engine of a plan that left it open.
type SlotReady struct {
	Attempt uint32
	Decode  string
}

// MoveDone means: the decode engine holds the result.
type MoveDone struct{ Attempt uint32 }

// Token is one generated token.
type Token struct {
	Attempt uint32
	// Index counts from 0 over the whole answer.
	Index int
	Text  string
	// Last marks the end of the answer.
	Last bool
}

// StepFailed means: the order under way failed.
type StepFailed struct {
	Attempt uint32
	// Ran is what the failure proves about that order alone.
	Ran    Ran
	Reason Reason
	// Engine is the one to blame.
	Engine string
	// Gone says that the prefill result is not kept any more.
	Gone bool
	// Retry says that the retry budget allows another attempt.
	Retry bool
	// RetryAfterMS goes to the caller if the request ends here.
	RetryAfterMS int
}

// CallerGone means: the caller's connection is gone.
type CallerGone struct{}

// Stop ends the request from outside: deadline, removed route, forced stop.
type Stop struct {
	Reason       Reason
	RetryAfterMS int
}

// Released means: an engine acknowledged that it keeps nothing for a hold.
type Released struct{ Hold Hold }

func (Granted) event()     {}
func (Refused) event()     {}
func (Started) event()     {}
func (PrefillDone) event() {}
func (SlotReady) event()   {}
func (MoveDone) event()    {}
func (Token) event()       {}
func (StepFailed) event()  {}
func (CallerGone) event()  {}
func (Stop) event()        {}
func (Released) event()    {}

// Effect is what the driver must do. Exactly one of the types below.
type Effect interface{ effect() }

// AskHome asks the home for a plan for the next attempt.
type AskHome struct {
	// Emitted is how many tokens the caller already has.
	Emitted int
	// Avoid names the engines that earlier attempts failed on.
	Avoid []string
	// Kept is the engine that still keeps a prefill result, if one does.
	Kept string
}

// Withdraw takes back the question to the home.
type Withdraw struct{}

// ReportPrefilled tells the home that the prefill engine is done.
type ReportPrefilled struct{ Attempt uint32 }

// StartPrefill orders the prefill.
type StartPrefill struct {
	Attempt uint32
	Engine  string
}

// StartMove orders the decode engine to import the result.
type StartMove struct {
	Attempt  uint32
	From, To string
	// Source is the attempt that the result was computed under.
	Source uint32
}

// StartDecode orders generation from token Emitted on.
type StartDecode struct {
	Attempt uint32
	Engine  string
	Emitted int
	// Recompute asks the engine to compute the prefill itself.
	Recompute bool
}

// Deliver hands one token to the caller.
type Deliver struct{ Token Token }

// StopWork abandons the order under way, if there is one.
type StopWork struct{ Attempt uint32 }

// Release frees what an engine may hold, until it acknowledges.
type Release struct{ Hold Hold }

// ReturnGrant tells the home that the attempt is over.
type ReturnGrant struct {
	Attempt  uint32
	Finished bool
}

// Answer is the final word to the caller; it comes exactly once.
type Answer struct {
	Phase        Phase
	Reason       Reason
	RetryAfterMS int
}

func (AskHome) effect()         {}
func (Withdraw) effect()        {}
func (ReportPrefilled) effect() {}
func (StartPrefill) effect()    {}
func (StartMove) effect()       {}
func (StartDecode) effect()     {}
func (Deliver) effect()         {}
func (StopWork) effect()        {}
func (Release) effect()         {}
func (ReturnGrant) effect()     {}
func (Answer) effect()          {}
