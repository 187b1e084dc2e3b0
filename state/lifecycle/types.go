// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package lifecycle implements the life of one request as a pure state machine:
// events in, effects out, no clock and no I/O. The box that received the request
// drives it. The model in model/ checks the same rules.
package lifecycle

import (
	"fmt"
	"strconv"
	"strings"
)

// RequestID identifies a request across the whole system.
type RequestID struct {
	// Box and Incarnation identify the process that owns the request.
	Box         string
	Incarnation uint64
	// Sequence is the request's number within that process.
	Sequence uint64
}

// SequenceBits is the number of bits of the sequence in the packed form. The
// dispatcher's counter wraps around at this size, long after the earlier request
// with the same number has ended.
const SequenceBits = 23

// Packed returns the sequence and the low bits of the incarnation, for the wire:
// the receiver knows the box from the connection and needs these bits only to
// tell its present process from an earlier one.
func (r RequestID) Packed() uint32 {
	return uint32(r.Incarnation<<SequenceBits) | uint32(r.Sequence&(1<<SequenceBits-1))
}

// Unpack returns the ID that Packed encoded. incarnation is that of the box's
// present process; a request of an earlier process gets incarnation 0, which no
// process has.
func Unpack(box string, incarnation uint64, packed uint32) RequestID {
	id := RequestID{Box: box, Incarnation: incarnation, Sequence: uint64(packed & (1<<SequenceBits - 1))}
	if id.Packed() != packed {
		id.Incarnation = 0
	}
	return id
}

// String returns the form used in headers and logs.
func (r RequestID) String() string {
	return r.Box + "~" + strconv.FormatUint(r.Incarnation, 36) + "~" + strconv.FormatUint(r.Sequence, 36)
}

// AttemptID identifies one attempt of a request. Engines echo it in every answer
// and use it as the key of the memory that they hold for the attempt.
type AttemptID struct {
	Request RequestID
	Number  uint32
}

// String returns the form that is sent to engines.
func (a AttemptID) String() string {
	return a.Request.String() + "~" + strconv.FormatUint(uint64(a.Number), 10)
}

// attemptParts is the number of fields in an attempt's text form.
const attemptParts = 4

// ParseAttemptID parses the form that String returns. It returns an error if a
// part is missing or is not a number.
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

// Phase is the stage that a request has reached.
type Phase uint8

// The phases, in the order in which a request usually passes them.
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

// String returns the phase's name as used in logs and refusals.
func (p Phase) String() string {
	if !p.Known() {
		return "phase_of_a_later_build"
	}
	return phaseNames[p]
}

// Known reports whether this build has the phase: another box may run a later build.
func (p Phase) Known() bool { return int(p) < len(phaseNames) }

// Ended reports whether the request has its final answer.
func (p Phase) Ended() bool {
	return p >= Finished
}

// Ran is what is known about whether any engine worked on a request.
type Ran uint8

const (
	// NotRun means that provably no engine worked on it.
	NotRun Ran = iota
	// MayHaveRun means that an order was sent and its outcome is unknown.
	MayHaveRun
	// DidRun means that an engine confirmed it.
	DidRun
)

// Mode is how the decode engine gets the prompt's KV cache.
type Mode uint8

const (
	// Move computes the prefill on one engine and transfers the result.
	Move Mode = iota
	// Recompute lets the decode engine compute the prefill itself.
	Recompute
)

// Plan is the decision of a group's home for one attempt.
type Plan struct {
	Mode Mode
	// Prefill is the engine that computes the prefill; empty for Recompute.
	Prefill string
	// Decode is the engine that generates; empty until SlotReady names it.
	Decode string
	// Reuse means that Prefill still keeps the result of an earlier attempt, so
	// no prefill is needed.
	Reuse bool
}

// Hold identifies engine memory that may be kept for an attempt.
type Hold struct {
	Engine  string
	Attempt uint32
}

// Reason is a short code for why a request ended.
type Reason string

// Reasons given to callers.
const (
	ReasonOverloaded        Reason = "overloaded"
	ReasonTargetUnreachable Reason = "target_cannot_be_met"
	ReasonQueueFull         Reason = "queue_full"
	ReasonAccountLimit      Reason = "account_limit"
	ReasonNoEngine          Reason = "no_engine"
	ReasonNoHome            Reason = "home_not_reachable"
	ReasonDeadline          Reason = "deadline_passed"
	ReasonEngine            Reason = "engine_failed"
	ReasonTransfer          Reason = "transfer_failed"
	ReasonCallerGone        Reason = "caller_gone"
	ReasonRouteRemoved      Reason = "route_removed"
	ReasonStopping          Reason = "box_stopping"
	ReasonDuplicate         Reason = "duplicate"
	ReasonKeyConflict       Reason = "key_used_for_another_request"
	ReasonPoison            Reason = "poison_request"
	// ReasonHomeMoved is used only between boxes: the group has another home now.
	ReasonHomeMoved Reason = "home_moved"
)

// Event is an input of Machine.Step. It is one of the types below that have an
// event method.
type Event interface{ event() }

// Granted reports that the home admitted the request with a plan.
type Granted struct{ Plan Plan }

// Refused reports that the home, or the box itself, will not run the request.
type Refused struct {
	Reason       Reason
	RetryAfterMS int
}

// Started reports that the first order of the attempt is about to be sent.
type Started struct{ Attempt uint32 }

// PrefillDone reports that the prefill engine holds the result.
type PrefillDone struct{ Attempt uint32 }

// SlotReady carries the decode engine that the home chose for a plan that came
// without one.
type SlotReady struct {
	Attempt uint32
	Decode  string
}

// MoveDone reports that the decode engine holds the result.
type MoveDone struct{ Attempt uint32 }

// Token is one generated token.
type Token struct {
	Attempt uint32
	// Index is the token's position in the whole answer, from 0.
	Index int
	Text  string
	// Last marks the final token of the answer.
	Last bool
}

// StepFailed reports that the order in flight failed.
type StepFailed struct {
	Attempt uint32
	// Ran is what the failure proves about that order alone.
	Ran    Ran
	Reason Reason
	// Engine is the engine that caused the failure; later attempts avoid it.
	Engine string
	// Gone means that the prefill result is no longer kept.
	Gone bool
	// Retry means that the retry budget allows another attempt.
	Retry bool
	// RetryAfterMS is sent to the caller if the request ends here.
	RetryAfterMS int
}

// CallerDisconnected reports that the caller's connection was closed.
type CallerDisconnected struct{}

// Stop ends the request for an external reason: its deadline, a removed route or
// a forced stop.
type Stop struct {
	Reason       Reason
	RetryAfterMS int
}

// Released reports that an engine acknowledged the release of a hold.
type Released struct{ Hold Hold }

func (Granted) event()            {}
func (Refused) event()            {}
func (Started) event()            {}
func (PrefillDone) event()        {}
func (SlotReady) event()          {}
func (MoveDone) event()           {}
func (Token) event()              {}
func (StepFailed) event()         {}
func (CallerDisconnected) event() {}
func (Stop) event()               {}
func (Released) event()           {}

// Effect is an action that the driver must carry out. It is one of the types
// below.
type Effect interface{ effect() }

// AskHome asks the home for a plan for the next attempt.
type AskHome struct {
	// Emitted is the number of tokens that the caller already has.
	Emitted int
	// Avoid lists the engines on which earlier attempts failed.
	Avoid []string
	// Kept is the engine that still keeps a prefill result; empty if none does.
	Kept string
}

// Withdraw cancels the pending request to the home for a plan.
type Withdraw struct{}

// ReportPrefilled notifies the home that the prefill engine has finished.
type ReportPrefilled struct{ Attempt uint32 }

// StartPrefill orders an engine to compute the prefill.
type StartPrefill struct {
	Attempt uint32
	Engine  string
}

// StartMove orders the decode engine to import the result.
type StartMove struct {
	Attempt  uint32
	From, To string
	// Source is the attempt in which the result was computed.
	Source uint32
}

// StartDecode orders an engine to generate, starting at token Emitted.
type StartDecode struct {
	Attempt uint32
	Engine  string
	Emitted int
	// Recompute makes the engine compute the prefill itself.
	Recompute bool
}

// Deliver sends one token to the caller.
type Deliver struct{ Token Token }

// StopWork cancels the order in flight, if there is one.
type StopWork struct{ Attempt uint32 }

// Release asks an engine to free a hold, repeatedly until it acknowledges.
type Release struct{ Hold Hold }

// ReturnGrant notifies the home that the attempt has ended.
type ReturnGrant struct {
	Attempt  uint32
	Finished bool
}

// Answer is the final answer to the caller; each request has exactly one.
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
