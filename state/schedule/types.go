// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package schedule decides, for one group of engines that serve one service, which waiting
// request starts next, on which engines its prefill and decode run, whether the prefill result
// is transferred or recomputed, and which requests are refused. It does no I/O and takes the
// time as an argument; a Group must be used by a single goroutine.
package schedule

import (
	"slices"
	"time"

	"runridge.example/runridge/state/health"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/state/streams"
)

// Policy selects the scheduler or one of the baselines that it is compared with, and disables
// single decisions to measure what each contributes.
type Policy struct {
	// Name is one of the Policy constants; empty means PolicyRunridge.
	Name string `json:"name,omitempty"`
	// NoJoint starts a prefill without checking for a decode slot.
	NoJoint bool `json:"no_joint,omitempty"`
	// NoPrefix ignores the prefix index.
	NoPrefix bool `json:"no_prefix,omitempty"`
	// NoOrder serves waiting requests in the order of arrival.
	NoOrder bool `json:"no_order,omitempty"`
	// NoRecompute always transfers the prefill result and never prefills on a decode engine.
	NoRecompute bool `json:"no_recompute,omitempty"`
	// NoEarlyRefusal queues and runs requests that will miss their deadline.
	NoEarlyRefusal bool `json:"no_early_refusal,omitempty"`
	// NoEjection keeps sending requests to failing engines.
	NoEjection bool `json:"no_ejection,omitempty"`
	// NoBatchTarget fills engines up to their slots, regardless of the step time.
	NoBatchTarget bool `json:"no_batch_target,omitempty"`
	// NoLearning uses the rates of the table and ignores measured ones.
	NoLearning bool `json:"no_learning,omitempty"`
}

// Names of the policies.
const (
	PolicyRunridge         = "runridge"
	PolicyRoundRobin       = "round_robin"
	PolicyLeastOutstanding = "least_outstanding"
)

// Baseline reports whether the policy is one of the two baselines.
func (p Policy) Baseline() bool {
	return p.Name == PolicyRoundRobin || p.Name == PolicyLeastOutstanding
}

// EngineSpec is the table's description of an engine.
type EngineSpec struct {
	Name    string
	Zone    string
	Prefill bool
	Decode  bool
	// Slots is the maximum number of requests on the engine.
	Slots int
	// KVTokens is the engine's memory for KV cache, in tokens.
	KVTokens int
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// StepBase and StepPerRequest give the time of a decode step: base plus per request in the
	// batch.
	StepBase, StepPerRequest time.Duration
	// KVBytesPerToken is the number of bytes transferred for the KV cache of one token.
	KVBytesPerToken int
	Leaving         bool
	// Weight is the weight of the engine's zone in the row; 0 means 1.
	Weight int
	// ColdUntil is the time until which the engine is cold; the zero time means it is not.
	ColdUntil time.Time
	// SharedBy is the number of services that share the engine, each with a home of its own; 0
	// means 1.
	SharedBy int
	// Software is the version of the engine's software; empty means unknown.
	Software string
}

// Targets are the latency targets of a service, and how it weighs wasted prefill.
type Targets struct {
	FirstToken      time.Duration
	FirstTokenPer1K time.Duration
	PerToken        time.Duration
	// WasteWeight is between 0 (only goodput counts) and 1 (avoid wasted prefill first of all).
	WasteWeight float64
}

// Config configures a group.
type Config struct {
	Targets Targets
	Engines []EngineSpec
	// LinkRate returns the bytes per second between two zones; 0 means no known limit.
	LinkRate func(from, to string) int64
	// AccountWeight returns an account's weight in fair sharing; nil or 0 means 1.
	AccountWeight func(account string) int
	// AccountLimit returns the maximum number of concurrent grants of an account; nil or 0
	// means no limit.
	AccountLimit func(account string) int
	// MaxWaiting is the maximum length of the queue; 0 means the default.
	MaxWaiting int
	// PrefixMarks is the maximum size of the prefix index; 0 means the default.
	PrefixMarks int
	Policy      Policy
	Health      health.Config
	// Seed seeds the random jitter, so that runs are repeatable.
	Seed uint64
	// GrowingMemory is true if the memory of a request grows with its answer, whose length can only
	// be estimated, and an engine that runs out of memory puts requests back. Otherwise an
	// engine reserves all memory of a request when it starts.
	GrowingMemory bool
	// Plain is true if requests have no prompt and no tokens: each holds a slot for a time that
	// is learned, and its target covers the whole answer.
	Plain bool
	// ColdLimit returns the maximum number of requests that a cold engine may be granted in one
	// pace.Span; nil means no limit.
	ColdLimit func(now time.Time) int
	// LimitShare returns the share, 0 to 1, that this group may grant of the limits that
	// engines announce; nil means all.
	LimitShare func(now time.Time) float64
	// PacedWindows has what groups of this home granted to cold engines recently, by engine name.
	PacedWindows map[string]pace.Window
	// Cautious is set for a group that takes over from a home whose grants are unknown: an
	// engine gets at most half its maximum batch until its first load report.
	Cautious bool
}

// Ask is a box's request for a plan for one attempt.
type Ask struct {
	ID lifecycle.AttemptID
	// Box is the box that receives the decision.
	Box     string
	Account string
	// Priority puts requests with a higher value first.
	Priority int
	// PromptTokens is the estimated number of tokens to prefill.
	PromptTokens int
	// OutputTokens is the maximum number of tokens to generate.
	OutputTokens int
	// Marks are the hashes of the prompt's prefixes and MarkTokens their lengths in tokens,
	// shortest first.
	Marks      []uint64
	MarkTokens []int
	// Elapsed is the time since the request arrived, when this ask was sent.
	Elapsed time.Duration
	// Deadline is the caller's own limit for the first token, counted from the arrival of the
	// request; 0 means the service's target.
	Deadline time.Duration
	// Resume is true if part of the work is done: the caller has received part of the answer,
	// or a prefill result is kept. Such a request is not refused for being late.
	Resume bool
	// Avoid names engines on which this request just failed.
	Avoid []string
	// Excluded names engines to which the asking box must not send any request for now. Leaving
	// names those of them that have announced to it that they are leaving.
	Excluded, Leaving []string
	// KeptBy is the engine that keeps the request's prefill result; empty if there is none.
	KeptBy string
	// Patience is the longest Retry-After time that the caller accepts if it is refused; 0
	// means unknown.
	Patience time.Duration
	// Spill is true if the request's own group refused it: this group grants it at once or
	// refuses it, and reserves no time to retry.
	Spill bool
	// Late is true if the request can no longer meet its target on any engine. It only gets
	// capacity that requests in time leave free, and is refused at once if that will not be
	// enough.
	Late bool
	// RemainingPatience is how much longer the caller of a late or resumed request waits for the
	// next token.
	RemainingPatience time.Duration
	// RegionRoundTrip is the round-trip time between the asking box and the region of the group,
	// if that is another region; 0 means the same region.
	RegionRoundTrip time.Duration
	// Limits are the limits of engines of this group that the asking box knows of.
	Limits []EngineLimit
	// Software is the software version at which the stream has to go on, since what two versions
	// write does not fit together; empty means any. Only the engine that decodes is bound by it.
	Software string
}

// mayDecodeOn reports whether an engine's software version suits the ask. If the group does not know
// the version, the asking box decides.
func (a Ask) mayDecodeOn(e EngineSpec) bool {
	return streams.Suits(a.Software, e.Software)
}

// excludes reports whether the engine must not be chosen for the ask.
func (a Ask) excludes(engine string) bool {
	return slices.Contains(a.Avoid, engine) || slices.Contains(a.Excluded, engine)
}

// EngineLimit is a limit that an engine announced.
type EngineLimit struct {
	Engine string
	Limit  pace.Limit
	// Age is the time since the engine announced the limit.
	Age time.Duration
}

// Decision is the group's answer to an ask: a Grant, Refusal, DecodeAssignment or Queued.
type Decision interface{ decision() }

// Grant admits a request with a plan.
type Grant struct {
	Ask  Ask
	Plan lifecycle.Plan
	// FirstToken is the estimated time from the grant to the first token.
	FirstToken time.Duration
	// Move is the estimated time of the transfer alone, from when it can begin; 0 means
	// unknown.
	Move time.Duration
	// PacedPrefill and PacedDecode report that the engine is cold or has a limit, and that the
	// request counts against it: it has to be sent soon or not at all.
	PacedPrefill, PacedDecode bool
	// Limits are the limits of the plan's engines, and those for which the group has newer
	// information than the ask.
	Limits []EngineLimit
	// QueueTime is the time from the ask to the grant.
	QueueTime time.Duration
}

// Refusal rejects a request of which nothing ran.
type Refusal struct {
	Ask        Ask
	Reason     lifecycle.Reason
	RetryAfter time.Duration
	// Inputs has the figures on which the refusal is based.
	Inputs Inputs
}

// Inputs are the figures behind a refusal, for the log.
type Inputs struct {
	// Waiting is the number of requests in the queue and Granted the number in flight.
	Waiting, Granted int
	// FreeSlots is the number of free decode slots.
	FreeSlots int
	// IdleLatency is the time to the first token on an idle group, and Wait the expected wait
	// before the prefill begins.
	IdleLatency, Wait time.Duration
	// SinceLearned is the time since a request of the group last ended well.
	SinceLearned time.Duration
	// Remaining is the time remaining until the deadline.
	Remaining time.Duration
	// Paced is the number of engines left out because they have reached their limit, either as
	// cold engines or the limit that they announce. Limited counts only the latter.
	Paced, Limited int
}

// DecodeAssignment assigns the decode engine of a grant that was made without one.
type DecodeAssignment struct {
	Ask    Ask
	Decode string
	// Move is the estimated time of the transfer.
	Move time.Duration
	// Paced reports that the request counts against the engine's limit, as in
	// Grant.PacedDecode.
	Paced  bool
	Limits []EngineLimit
}

// Queued reports that the request waits; a Grant or Refusal follows.
type Queued struct {
	Ask Ask
}

// Asked returns the ask that a decision answers.
func Asked(d Decision) Ask {
	switch d := d.(type) {
	case Grant:
		return d.Ask
	case Refusal:
		return d.Ask
	case DecodeAssignment:
		return d.Ask
	case Queued:
		return d.Ask
	default:
		return Ask{}
	}
}

func (Queued) decision()           {}
func (Grant) decision()            {}
func (Refusal) decision()          {}
func (DecodeAssignment) decision() {}

// Adopted is a grant of an earlier home, as reported by the box that runs it.
type Adopted struct {
	Ask       Ask
	Plan      lifecycle.Plan
	Prefilled bool
}

// Report is a box's report on a finished or failed attempt.
type Report struct {
	ID       lifecycle.AttemptID
	Finished bool
	// Failed is the engine that failed, or empty.
	Failed string
	// MayBeRunning is true if the failed engine may still be working on the attempt: its answer was
	// lost or its connection broke.
	MayBeRunning bool
	// Full is true if the failed engine rejected the attempt for lack of capacity.
	Full bool
	// Unreachable is true if no connection to the failed engine could be made, also through other
	// boxes, and OthersUnreached how many of these did not reach it either.
	Unreachable     bool
	OthersUnreached int
	// Answered is true if the failed engine answered with an error of its own.
	Answered bool
	// Steps is the number of gaps between tokens, and StepTime their sum.
	Steps    int
	StepTime time.Duration
	// MoveTime is the time of the transfer; 0 if there was none.
	MoveTime time.Duration
}

// Ejection reports that a failing engine gets no requests for a while.
type Ejection struct {
	Engine string
	For    time.Duration
	// Unreachable is true if no connection to the engine could be made.
	Unreachable bool
	// Box is the box whose report ejected the engine, and OtherAnswered how long ago a request of
	// another box last ended well there; -1 if none did.
	Box           string
	OtherAnswered time.Duration
	// ResultsLost is true if the engine only gets no prefills, because its results were lost.
	ResultsLost bool
	// OthersEjected is how many of the Others, the other engines of its role, were ejected already.
	OthersEjected, Others int
}

// LoadReport is an engine's own report of its load; it arrives with a delay.
type LoadReport struct {
	Engine string
	// Held is the number of decode slots in use.
	Held int
	// KVTokens is the memory in use for KV cache, in tokens.
	KVTokens int
}
