// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"fmt"
	"time"

	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/schedule"
)

// Attempt is the id of an attempt on the wire. It leaves out the box that owns the
// attempt, because that box is one end of the connection.
type Attempt struct {
	Request uint32
	Number  uint32
}

// FromAttempt converts the id of an attempt to its form on the wire.
func FromAttempt(id lifecycle.AttemptID) Attempt {
	return Attempt{Request: id.Request.Packed(), Number: id.Number}
}

// Owner is the process that attempts belong to; it is one end of the connection.
type Owner struct {
	Box         string
	Incarnation uint64
}

// ID returns the id of the attempt, which belongs to o.
func (a Attempt) ID(o Owner) lifecycle.AttemptID {
	return lifecycle.AttemptID{Request: lifecycle.Unpack(o.Box, o.Incarnation, a.Request), Number: a.Number}
}

// About identifies the attempt and the group that a message is about. Messages embed
// it, so that its fields are encoded as fields of the message itself.
type About struct {
	Group   Ref
	Request uint32
	Number  uint32
}

// NewAbout returns the About of an attempt and its group.
func NewAbout(group string, id lifecycle.AttemptID) About {
	return About{Group: RefOf(group), Request: id.Request.Packed(), Number: id.Number}
}

// ID returns the id of the attempt, which belongs to o.
func (a About) ID(o Owner) lifecycle.AttemptID {
	return Attempt{Request: a.Request, Number: a.Number}.ID(o)
}

// Ask asks the home of a group for a plan. Its fields are those of schedule.Ask, with
// names as refs and durations in milliseconds.
type Ask struct {
	About
	Account      Ref
	Priority     int
	PromptTokens int
	OutputTokens int
	Marks        []uint32
	// MarkTokens is the length of the shortest marked prefix; each next one is
	// twice as long.
	MarkTokens int
	WaitedMS   int64
	DeadlineMS int64
	Resume     bool
	Avoid      []Ref
	Kept       Ref
	PatienceMS int64
	Spill      bool
	Late       bool
	GiveUpMS   int64
	TravelMS   int64
	Limits     []Limit
	Barred     []Ref
	Leaving    []Ref
	Software   string
}

// Refuse refuses an ask.
type Refuse struct {
	About
	Reason       string
	RetryAfterMS int
}

// Slot names the decode engine of a grant that was made without one.
type Slot struct {
	About
	Decode Ref
	MoveMS int64
	Paced  bool
	Limits []Limit
}

// Queued acknowledges an ask that waits in the queue; its decision follows.
type Queued struct {
	About
}

// Prefilled reports to the home that a prefill is done.
type Prefilled struct {
	About
	Computed int
	WorkedMS int64
}

// Done reports to the home that an attempt is over; its fields are those of schedule.Report.
type Done struct {
	About
	Finished   bool
	Failed     Ref
	Steps      int
	StepTimeMS int64
	MoveTimeMS int64
	Unreached  bool
	Running    bool
	Full       bool
	Answered   bool
	// Others is the number of other boxes that did not reach the failed engine either.
	Others int
}

// Withdraw cancels an ask.
type Withdraw struct {
	About
}

// Adopt informs the new home of a group of a grant that the old home made.
type Adopt struct {
	Ask       Ask
	Mode      uint8
	Prefill   Ref
	Decode    Ref
	Prefilled bool
}

// Check asks the owner of attempts which of them it no longer has. The answer is one
// Done for each of these.
type Check struct {
	Group Ref
	// Engine is the engine that holds memory for the attempts; 0 if there is none.
	Engine Ref
	IDs    []Attempt
}

// Kind returns KindAsk.
func (*Ask) Kind() Kind { return KindAsk }

// Kind returns KindRefuse.
func (*Refuse) Kind() Kind { return KindRefuse }

// Kind returns KindSlot.
func (*Slot) Kind() Kind { return KindSlot }

// Kind returns KindQueued.
func (*Queued) Kind() Kind { return KindQueued }

// Kind returns KindPrefilled.
func (*Prefilled) Kind() Kind { return KindPrefilled }

// Kind returns KindDone.
func (*Done) Kind() Kind { return KindDone }

// Kind returns KindWithdraw.
func (*Withdraw) Kind() Kind { return KindWithdraw }

// Kind returns KindAdopt.
func (*Adopt) Kind() Kind { return KindAdopt }

// Kind returns KindCheck.
func (*Check) Kind() Kind { return KindCheck }

// FromAsk converts an ask to its message.
func FromAsk(group string, a schedule.Ask) *Ask {
	m := &Ask{
		About:        NewAbout(group, a.ID),
		Account:      RefOf(a.Account),
		Priority:     a.Priority,
		PromptTokens: a.PromptTokens,
		OutputTokens: a.OutputTokens,
		WaitedMS:     a.Elapsed.Milliseconds(),
		DeadlineMS:   a.Deadline.Milliseconds(),
		Resume:       a.Resume,
		Avoid:        refsOf(a.Avoid),
		Kept:         RefOf(a.KeptBy),
		PatienceMS:   a.Patience.Milliseconds(),
		Spill:        a.Spill,
		Late:         a.Late,
		GiveUpMS:     a.RemainingPatience.Milliseconds(),
		TravelMS:     a.RegionRoundTrip.Milliseconds(),
		Limits:       fromLimits(a.Limits),
		Barred:       refsOf(a.Excluded),
		Leaving:      refsOf(a.Leaving),
		Software:     a.Software,
	}
	for _, hash := range a.Marks {
		m.Marks = append(m.Marks, uint32(hash))
	}
	if len(a.MarkTokens) > 0 {
		m.MarkTokens = a.MarkTokens[0]
	}
	return m
}

// Ask converts the message back; the owner is the sender. It reports false if an engine in
// Avoid or Kept is not in this box's table.
func (a *Ask) Ask(n *Names, o Owner) (schedule.Ask, bool) {
	avoid, avoidKnown := n.lookUpAll(a.Avoid)
	kept, keptKnown := n.Name(a.Kept)
	account, accountKnown := n.Name(a.Account)
	if !accountKnown {
		// A table without accounts serves any account; the hash keeps them distinct.
		account = fmt.Sprintf("#%08x", uint32(a.Account))
	}
	out := schedule.Ask{
		ID:                a.ID(o),
		Box:               o.Box,
		Account:           account,
		Priority:          a.Priority,
		PromptTokens:      a.PromptTokens,
		OutputTokens:      a.OutputTokens,
		Elapsed:           time.Duration(a.WaitedMS) * time.Millisecond,
		Deadline:          time.Duration(a.DeadlineMS) * time.Millisecond,
		Resume:            a.Resume,
		Avoid:             avoid,
		KeptBy:            kept,
		Patience:          time.Duration(a.PatienceMS) * time.Millisecond,
		Spill:             a.Spill,
		Late:              a.Late,
		RemainingPatience: time.Duration(a.GiveUpMS) * time.Millisecond,
		RegionRoundTrip:   time.Duration(a.TravelMS) * time.Millisecond,
		Limits:            limitsOf(n, a.Limits),
		Excluded:          n.lookUpKnown(a.Barred),
		Leaving:           n.lookUpKnown(a.Leaving),
		Software:          a.Software,
	}
	for i, hash := range a.Marks {
		out.Marks = append(out.Marks, uint64(hash))
		out.MarkTokens = append(out.MarkTokens, a.MarkTokens<<min(i, maxDoublings))
	}
	return out, avoidKnown && keptKnown
}

// maxDoublings keeps the length of a marked prefix from overflowing an int.
const maxDoublings = 16

// FromDecision converts a decision to its message.
func FromDecision(group string, d schedule.Decision) Message {
	switch d := d.(type) {
	case schedule.Grant:
		return fromGrant(group, d)
	case schedule.Refusal:
		return &Refuse{
			About:        NewAbout(group, d.Ask.ID),
			Reason:       string(d.Reason),
			RetryAfterMS: int(d.RetryAfter.Milliseconds()),
		}
	case schedule.DecodeAssignment:
		return &Slot{
			About: NewAbout(group, d.Ask.ID), Decode: RefOf(d.Decode), MoveMS: d.Move.Milliseconds(),
			Paced: d.Paced, Limits: fromLimits(d.Limits),
		}
	case schedule.Queued:
		return &Queued{About: NewAbout(group, d.Ask.ID)}
	default:
		panic(fmt.Sprintf("decision of type %T", d))
	}
}

// Decision converts the message back; the owner is this box. The result is always true.
func (r *Refuse) Decision(_ *Names, o Owner) (schedule.Decision, bool) {
	return schedule.Refusal{
		Ask:        schedule.Ask{ID: r.ID(o)},
		Reason:     lifecycle.Reason(r.Reason),
		RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond,
	}, true
}

// Decision converts the message back; the owner is this box. It reports false if the engine
// is not in this box's table.
func (s *Slot) Decision(n *Names, o Owner) (schedule.Decision, bool) {
	decode, known := n.Name(s.Decode)
	return schedule.DecodeAssignment{
		Ask:    schedule.Ask{ID: s.ID(o)},
		Decode: decode,
		Move:   time.Duration(s.MoveMS) * time.Millisecond,
		Paced:  s.Paced,
		Limits: limitsOf(n, s.Limits),
	}, known
}

// Decision converts the message back; the owner is this box. The result is always true.
func (q *Queued) Decision(_ *Names, o Owner) (schedule.Decision, bool) {
	return schedule.Queued{Ask: schedule.Ask{ID: q.ID(o)}}, true
}

// GroupOf returns the group that the decision is about.
func (r *Refuse) GroupOf() Ref { return r.Group }

// GroupOf returns the group that the decision is about.
func (s *Slot) GroupOf() Ref { return s.Group }

// GroupOf returns the group that the decision is about.
func (q *Queued) GroupOf() Ref { return q.Group }

// DecisionMessage is a message that carries a decision.
type DecisionMessage interface {
	Message
	GroupOf() Ref
	Decision(n *Names, o Owner) (schedule.Decision, bool)
}

// FromReport converts a report to its message.
func FromReport(group string, r schedule.Report) *Done {
	return &Done{
		About:      NewAbout(group, r.ID),
		Finished:   r.Finished,
		Failed:     RefOf(r.Failed),
		Steps:      r.Steps,
		StepTimeMS: r.StepTime.Milliseconds(),
		MoveTimeMS: r.MoveTime.Milliseconds(),
		Unreached:  r.Unreachable,
		Running:    r.MayBeRunning,
		Full:       r.Full,
		Answered:   r.Answered,
		Others:     r.OthersUnreached,
	}
}

// Report converts the message back; the owner is the sender.
func (d *Done) Report(n *Names, o Owner) schedule.Report {
	// An engine that is not in this box's table can't be ejected here, so its name is dropped.
	failed, _ := n.Name(d.Failed)
	return schedule.Report{
		ID:          d.ID(o),
		Finished:    d.Finished,
		Failed:      failed,
		Steps:       d.Steps,
		StepTime:    time.Duration(d.StepTimeMS) * time.Millisecond,
		Unreachable: d.Unreached,

		OthersUnreached: d.Others,

		MayBeRunning: d.Running,
		Full:         d.Full,
		Answered:     d.Answered,
		MoveTime:     time.Duration(d.MoveTimeMS) * time.Millisecond,
	}
}

// FromAdopted converts an adopted grant to its message.
func FromAdopted(group string, a schedule.Adopted) *Adopt {
	return &Adopt{
		Ask:       *FromAsk(group, a.Ask),
		Mode:      uint8(a.Plan.Mode),
		Prefill:   RefOf(a.Plan.Prefill),
		Decode:    RefOf(a.Plan.Decode),
		Prefilled: a.Prefilled,
	}
}

// Adopted converts the message back; the owner is the sender. It reports false if the ask or
// one of the engines names something that is not in this box's table.
func (a *Adopt) Adopted(n *Names, o Owner) (schedule.Adopted, bool) {
	ask, askKnown := a.Ask.Ask(n, o)
	prefill, prefillKnown := n.Name(a.Prefill)
	decode, decodeKnown := n.Name(a.Decode)
	return schedule.Adopted{
		Ask:       ask,
		Plan:      lifecycle.Plan{Mode: lifecycle.Mode(a.Mode), Prefill: prefill, Decode: decode},
		Prefilled: a.Prefilled,
	}, askKnown && prefillKnown && decodeKnown
}

// FromCheck returns the message that asks about attempts of a group; engine is empty if no
// memory is held for them.
func FromCheck(group, engine string, ids []lifecycle.AttemptID) *Check {
	c := &Check{Group: RefOf(group), Engine: RefOf(engine)}
	for _, id := range ids {
		c.IDs = append(c.IDs, FromAttempt(id))
	}
	return c
}

// Attempts returns the ids of the attempts in the message; the owner is this box.
func (c *Check) Attempts(o Owner) []lifecycle.AttemptID {
	out := make([]lifecycle.AttemptID, 0, len(c.IDs))
	for _, id := range c.IDs {
		out = append(out, id.ID(o))
	}
	return out
}
