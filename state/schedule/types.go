// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package schedule decides, for one group of engines that serve one service,
// which waiting request starts next, where its prefill runs, where its decode
// continues, whether the result is moved or recomputed, and what is refused.
// It does no I/O and takes the time as an argument; one goroutine owns a Group.
package schedule

import (
	"slices"
	"time"

	"runridge.example/runridge/state/health"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/pace"
)

// Policy chooses between the scheduler and the baselines it is measured
// against, and switches single decisions off to show what each is worth.
type Policy struct {
	// Name is one of the Policy constants; empty means PolicyRunridge.
	Name string `json:"name,omitempty"`
	// NoJoint starts a prefill without looking at decode slots.
	NoJoint bool `json:"no_joint,omitempty"`
	// NoPrefix ignores the prefix index.
	NoPrefix bool `json:"no_prefix,omitempty"`
	// NoOrder serves waiting requests first come first served.
	NoOrder bool `json:"no_order,omitempty"`
	// NoRecompute always moves.
	NoRecompute bool `json:"no_recompute,omitempty"`
	// NoEarlyRefusal lets hopeless requests wait and run.
	NoEarlyRefusal bool `json:"no_early_refusal,omitempty"`
	// NoEjection keeps sending work to sick engines.
	NoEjection bool `json:"no_ejection,omitempty"`
	// NoBatchTarget fills engines to their slots, whatever the step time.
	NoBatchTarget bool `json:"no_batch_target,omitempty"`
	// NoLearning keeps to the table's rates.
	NoLearning bool `json:"no_learning,omitempty"`
}

// Names of the policies.
const (
	PolicyRunridge         = "runridge"
	PolicyRoundRobin       = "round_robin"
	PolicyLeastOutstanding = "least_outstanding"
)

// Baseline says whether the policy is one of the two simple ones.
func (p Policy) Baseline() bool {
	return p.Name == PolicyRoundRobin || p.Name == PolicyLeastOutstanding
}

// EngineSpec is what the table says of an engine.
type EngineSpec struct {
	Name    string
	Zone    string
	Prefill bool
	Decode  bool
	// Slots is how many requests the engine may hold.
	Slots int
	// KVTokens is its memory for KV cache, in tokens.
	KVTokens int
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// StepBase and StepPer give a decode step's time: base + per request.
	StepBase, StepPer time.Duration
	// KVBytesPerToken is the size of a token's KV cache on a link.
	KVBytesPerToken int
	Leaving         bool
	// Weight is its zone's weight in the row; 0 counts as 1.
	Weight int
	// ColdUntil is until when the engine is cold; zero is not.
	ColdUntil time.Time
	// SharedBy is how many services share the engine, each with a home of its own; 0
	// counts as 1.
	SharedBy int
}

// Targets are a service's aims and bounds.
type Targets struct {
	FirstToken      time.Duration
	FirstTokenPer1K time.Duration
	PerToken        time.Duration
	// WasteWeight is 0 for goodput alone, 1 for wasted prefill above all.
	WasteWeight float64
}

// Config is all that a group needs to know.
type Config struct {
	Targets Targets
	Engines []EngineSpec
	// LinkRate gives bytes per second between two zones; 0 is no known limit.
	LinkRate func(from, to string) int64
	// AccountWeight gives an account's share; nil or 0 means 1.
	AccountWeight func(account string) int
	// AccountLimit bounds an account's grants at once; nil or 0 is no bound.
	AccountLimit func(account string) int
	// MaxWaiting bounds the queue.
	MaxWaiting int
	// PrefixMarks bounds the prefix index.
	PrefixMarks int
	Policy      Policy
	Health      health.Config
	// Seed makes jitter repeatable.
	Seed uint64
	// Growing says that a request's memory grows with its answer, whose length
	// is a guess, and that an engine that runs out puts requests back. Without
	// it an engine sets all of a request's memory aside when it begins.
	Growing bool
	// Plain says that a request has no prompt and no tokens: it holds a slot for a
	// time that is learnt, and its target is for the whole answer.
	Plain bool
	// ColdLimit is how many requests a cold engine may be granted in a span of
	// state/pace, at a time; nil is no bound.
	ColdLimit func(now time.Time) int
	// LimitShare is the part, 0 to 1, of the limits that engines name which this group may
	// grant at a time; nil is all.
	LimitShare func(now time.Time) float64
	// Paced is what cold engines were granted by groups of this home lately, by name.
	Paced map[string]pace.Window
	// Cautious is for a group that takes over from a home it knows nothing of:
	// an engine gets at most half its cap until it has reported once.
	Cautious bool
}

// Ask is one request for a plan.
type Ask struct {
	ID lifecycle.AttemptID
	// Box is where the answer goes.
	Box     string
	Account string
	// Priority: higher goes first.
	Priority int
	// PromptTokens is the estimated length of what has to be prefilled.
	PromptTokens int
	// OutputTokens is the most that may be generated.
	OutputTokens int
	// Marks and MarkTokens give the prompt's prefixes, the shortest first.
	Marks      []uint64
	MarkTokens []int
	// Waited is how long the request has been under way before this ask.
	Waited time.Duration
	// Deadline is the caller's own bound for the first token, from its
	// arrival; 0 means the service's target.
	Deadline time.Duration
	// Resume is true when part of the work is done: the caller has some of the
	// answer, or a prefill result is kept. Such a request is not refused for
	// being late.
	Resume bool
	// Avoid names engines that just failed this request.
	Avoid []string
	// Barred names engines that the asking box may not send to for now, whatever the
	// request; Leaving are those of them that told it that they leave.
	Barred, Leaving []string
	// Kept is the engine that still keeps the request's prefill result.
	Kept string
	// Patience is the longest wait that the caller accepts if it is refused
	// and told when to come again; 0 is not known.
	Patience time.Duration
	// Spill is true when the group that the request belongs to has refused it:
	// this one grants it at once, or refuses and books no time to come back.
	Spill bool
	// Late is true when the request cannot meet its target any more, whoever
	// serves it: it takes what is left by those that can, and is refused at once
	// if that will not be enough.
	Late bool
	// GiveUp is how long the caller of a late request waits for the first token,
	// from now on.
	GiveUp time.Duration
	// Travel is how long a message from the asking box to the group's region and its
	// answer take, where that is another region; 0 is the same one.
	Travel time.Duration
	// Limits are what the asking box knows of limits that engines of the group name.
	Limits []EngineLimit
}

// excludes says whether an engine must not be chosen for the ask.
func (a Ask) excludes(engine string) bool {
	return slices.Contains(a.Avoid, engine) || slices.Contains(a.Barred, engine)
}

// EngineLimit is what is known of the limit of an engine.
type EngineLimit struct {
	Engine string
	Limit  pace.Limit
	// Age is how long ago the engine said so.
	Age time.Duration
}

// Decision is what the group says about an ask. Exactly one of the types
// below.
type Decision interface{ decision() }

// Grant admits an ask.
type Grant struct {
	Ask  Ask
	Plan lifecycle.Plan
	// FirstToken is the estimate from now on.
	FirstToken time.Duration
	// Move is the estimate for the transfer alone, from when it may begin; 0
	// is not known.
	Move time.Duration
	// PacedPrefill and PacedDecode say that the engine is cold or names a limit and that
	// the request was counted for it: it is to be sent soon, or not at all.
	PacedPrefill, PacedDecode bool
	// Limits are those that the plan's engines name, and those of which the group knows
	// something newer than the ask told.
	Limits []EngineLimit
	// Held is how long the ask was here before it was granted.
	Held time.Duration
}

// Refuse turns an ask away; nothing ran.
type Refuse struct {
	Ask        Ask
	Reason     lifecycle.Reason
	RetryAfter time.Duration
	// Seen is what decided it.
	Seen Inputs
}

// Inputs are the figures behind a refusal, for the log.
type Inputs struct {
	// Waiting and Granted are the asks in the queue and under way.
	Waiting, Granted int
	// FreeSlots is the number of decode slots free.
	FreeSlots int
	// Idle is the time to the first token on an idle system and Wait the
	// expected time before the prefill begins.
	Idle, Wait time.Duration
	// Left is the time to the deadline.
	Left time.Duration
	// Paced is the number of engines left out since they were granted what they bear while
	// cold, or what they name as their limit; Limited are the latter.
	Paced, Limited int
}

// Slot names the decode engine of a grant that left it open.
type Slot struct {
	Ask    Ask
	Decode string
	// Move is the estimate for the transfer.
	Move time.Duration
	// Paced says that the request was counted for the engine, as PacedDecode does.
	Paced  bool
	Limits []EngineLimit
}

// Queued says that an ask waits; its decision follows.
type Queued struct {
	Ask Ask
}

// Asked is the ask that a decision is about.
func Asked(d Decision) Ask {
	switch d := d.(type) {
	case Grant:
		return d.Ask
	case Refuse:
		return d.Ask
	case Slot:
		return d.Ask
	case Queued:
		return d.Ask
	default:
		return Ask{}
	}
}

func (Queued) decision() {}
func (Grant) decision()  {}
func (Refuse) decision() {}
func (Slot) decision()   {}

// Adopted is a grant that an earlier home made, told by the box that has it.
type Adopted struct {
	Ask       Ask
	Plan      lifecycle.Plan
	Prefilled bool
}

// Report is what a box tells when an attempt is over.
type Report struct {
	ID       lifecycle.AttemptID
	Finished bool
	// Failed names the engine that failed, if one did.
	Failed string
	// Running says that the failed engine may work on the attempt still: its
	// answer was lost, or its connection broke.
	Running bool
	// Full says that the failed engine turned the attempt away for want of room.
	Full bool
	// Unreached says that the failed engine could not be connected to at all.
	Unreached bool
	// Answered says that the failed engine answered, with an error of its own.
	Answered bool
	// Steps and StepTime are the number of gaps between tokens and their sum.
	Steps    int
	StepTime time.Duration
	// MoveTime is how long the transfer took; 0 if there was none.
	MoveTime time.Duration
}

// Ejection tells that a sick engine gets no work for a while.
type Ejection struct {
	Engine string
	For    time.Duration
	// Unreached says that no connection to it could be made.
	Unreached bool
	// ResultsLost says that it only gets no prefills, as its results were lost.
	ResultsLost bool
	// OthersOut is how many of the Others of its role were out already.
	OthersOut, Others int
}

// Load is an engine's own, late word on what it holds.
type Load struct {
	Engine string
	// Held is the number of decode slots in use.
	Held int
	// KVTokens is the memory in use, in tokens.
	KVTokens int
}
