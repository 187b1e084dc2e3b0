// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"fmt"
	"time"

	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/schedule"
)

// Attempt is an attempt's id on the wire. The box that owns it is one end of
// the connection, so its name is left out.
type Attempt struct {
	Request uint32
	Number  uint32
}

// FromAttempt converts an attempt's id to its form on the wire.
func FromAttempt(id lifecycle.AttemptID) Attempt {
	return Attempt{Request: id.Request.Packed(), Number: id.Number}
}

// Owner is the process that attempts belong to: one end of the connection.
type Owner struct {
	Box         string
	Incarnation uint64
}

// ID converts an attempt back.
func (a Attempt) ID(o Owner) lifecycle.AttemptID {
	return lifecycle.AttemptID{Request: lifecycle.Unpack(o.Box, o.Incarnation, a.Request), Number: a.Number}
}

// About says which attempt of which group a message is about. It is embedded,
// so that its fields go on the wire without a frame of their own.
type About struct {
	Group   Ref
	Request uint32
	Number  uint32
}

// NewAbout names an attempt of a group.
func NewAbout(group string, id lifecycle.AttemptID) About {
	return About{Group: RefOf(group), Request: id.Request.Packed(), Number: id.Number}
}

// ID converts the attempt back.
func (a About) ID(o Owner) lifecycle.AttemptID {
	return Attempt{Request: a.Request, Number: a.Number}.ID(o)
}

// Ask asks the home of a group for a plan.
type Ask struct {
	About
	Account      Ref
	Priority     int
	PromptTokens int
	OutputTokens int
	Marks        []uint32
	// MarkTokens is the length of the shortest marked prefix; each further one
	// is twice as long.
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
}

// Refuse turns an ask away.
type Refuse struct {
	About
	Reason       string
	RetryAfterMS int
}

// Slot names the decode engine of a grant.
type Slot struct {
	About
	Decode Ref
	MoveMS int64
	Paced  bool
	Limits []Limit
}

// Queued tells that an ask waits.
type Queued struct {
	About
}

// Prefilled tells the home that a prefill is done.
type Prefilled struct {
	About
	Computed int
	WorkedMS int64
}

// Done tells the home that an attempt is over.
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
}

// Withdraw takes an ask back.
type Withdraw struct {
	About
}

// Adopt tells a group's new home of a grant that the old one made.
type Adopt struct {
	Ask       Ask
	Mode      uint8
	Prefill   Ref
	Decode    Ref
	Prefilled bool
}

// Check asks the owner of attempts which of them it does not have any more.
// The answer is one Done for each.
type Check struct {
	Group Ref
	// Engine, if there is one, is where memory is held for the attempts.
	Engine Ref
	IDs    []Attempt
}

// Kind is KindAsk.
func (*Ask) Kind() Kind { return KindAsk }

// Kind is KindRefuse.
func (*Refuse) Kind() Kind { return KindRefuse }

// Kind is KindSlot.
func (*Slot) Kind() Kind { return KindSlot }

// Kind is KindQueued.
func (*Queued) Kind() Kind { return KindQueued }

// Kind is KindPrefilled.
func (*Prefilled) Kind() Kind { return KindPrefilled }

// Kind is KindDone.
func (*Done) Kind() Kind { return KindDone }

// Kind is KindWithdraw.
func (*Withdraw) Kind() Kind { return KindWithdraw }

// Kind is KindAdopt.
func (*Adopt) Kind() Kind { return KindAdopt }

// Kind is KindCheck.
func (*Check) Kind() Kind { return KindCheck }

// FromAsk converts an ask to its message.
func FromAsk(group string, a schedule.Ask) *Ask {
	m := &Ask{
		About:        NewAbout(group, a.ID),
		Account:      RefOf(a.Account),
		Priority:     a.Priority,
		PromptTokens: a.PromptTokens,
		OutputTokens: a.OutputTokens,
		WaitedMS:     a.Waited.Milliseconds(),
		DeadlineMS:   a.Deadline.Milliseconds(),
		Resume:       a.Resume,
		Avoid:        refsOf(a.Avoid),
		Kept:         RefOf(a.Kept),
		PatienceMS:   a.Patience.Milliseconds(),
		Spill:        a.Spill,
		Late:         a.Late,
		GiveUpMS:     a.GiveUp.Milliseconds(),
		TravelMS:     a.Travel.Milliseconds(),
		Limits:       fromLimits(a.Limits),
		Barred:       refsOf(a.Barred),
		Leaving:      refsOf(a.Leaving),
	}
	for _, hash := range a.Marks {
		m.Marks = append(m.Marks, uint32(hash))
	}
	if len(a.MarkTokens) > 0 {
		m.MarkTokens = a.MarkTokens[0]
	}
	return m
}

// Ask converts the message back; the owner is who sent it. It reports false when the
// message names something that this box's table does not have.
func (a *Ask) Ask(n *Names, o Owner) (schedule.Ask, bool) {
	avoid, known := n.names(a.Avoid)
	kept, found := n.Name(a.Kept)
	account, listed := n.Name(a.Account)
	if !listed {
		// A table without accounts serves any; the hash tells them apart.
		account = fmt.Sprintf("#%08x", uint32(a.Account))
	}
	out := schedule.Ask{
		ID:           a.ID(o),
		Box:          o.Box,
		Account:      account,
		Priority:     a.Priority,
		PromptTokens: a.PromptTokens,
		OutputTokens: a.OutputTokens,
		Waited:       time.Duration(a.WaitedMS) * time.Millisecond,
		Deadline:     time.Duration(a.DeadlineMS) * time.Millisecond,
		Resume:       a.Resume,
		Avoid:        avoid,
		Kept:         kept,
		Patience:     time.Duration(a.PatienceMS) * time.Millisecond,
		Spill:        a.Spill,
		Late:         a.Late,
		GiveUp:       time.Duration(a.GiveUpMS) * time.Millisecond,
		Travel:       time.Duration(a.TravelMS) * time.Millisecond,
		Limits:       limitsOf(n, a.Limits),
		Barred:       n.known(a.Barred),
		Leaving:      n.known(a.Leaving),
	}
	for i, hash := range a.Marks {
		out.Marks = append(out.Marks, uint64(hash))
		out.MarkTokens = append(out.MarkTokens, a.MarkTokens<<min(i, maxDoublings))
	}
	return out, known && found
}

// maxDoublings keeps a mark's length within an int.
const maxDoublings = 16

// FromDecision converts a decision to its message.
func FromDecision(group string, d schedule.Decision) Message {
	switch d := d.(type) {
	case schedule.Grant:
		return fromGrant(group, d)
	case schedule.Refuse:
		return &Refuse{
			About:        NewAbout(group, d.Ask.ID),
			Reason:       string(d.Reason),
			RetryAfterMS: int(d.RetryAfter.Milliseconds()),
		}
	case schedule.Slot:
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

// Decision converts the message back.
func (r *Refuse) Decision(_ *Names, o Owner) (schedule.Decision, bool) {
	return schedule.Refuse{
		Ask:        schedule.Ask{ID: r.ID(o)},
		Reason:     lifecycle.Reason(r.Reason),
		RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond,
	}, true
}

// Decision converts the message back.
func (s *Slot) Decision(n *Names, o Owner) (schedule.Decision, bool) {
	decode, known := n.Name(s.Decode)
	return schedule.Slot{
		Ask:    schedule.Ask{ID: s.ID(o)},
		Decode: decode,
		Move:   time.Duration(s.MoveMS) * time.Millisecond,
		Paced:  s.Paced,
		Limits: limitsOf(n, s.Limits),
	}, known
}

// Decision converts the message back.
func (q *Queued) Decision(_ *Names, o Owner) (schedule.Decision, bool) {
	return schedule.Queued{Ask: schedule.Ask{ID: q.ID(o)}}, true
}

// GroupOf is the group that a decision is about.
func (r *Refuse) GroupOf() Ref { return r.Group }

// GroupOf is the group that a decision is about.
func (s *Slot) GroupOf() Ref { return s.Group }

// GroupOf is the group that a decision is about.
func (q *Queued) GroupOf() Ref { return q.Group }

// Decided is a message that carries a decision.
type Decided interface {
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
		Unreached:  r.Unreached,
		Running:    r.Running,
		Full:       r.Full,
		Answered:   r.Answered,
	}
}

// Report converts the message back; the owner is who sent it.
func (d *Done) Report(n *Names, o Owner) schedule.Report {
	// A failed engine that is not known here cannot be ejected here.
	failed, _ := n.Name(d.Failed)
	return schedule.Report{
		ID:        d.ID(o),
		Finished:  d.Finished,
		Failed:    failed,
		Steps:     d.Steps,
		StepTime:  time.Duration(d.StepTimeMS) * time.Millisecond,
		Unreached: d.Unreached,
		Running:   d.Running,
		Full:      d.Full,
		Answered:  d.Answered,
		MoveTime:  time.Duration(d.MoveTimeMS) * time.Millisecond,
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

// Adopted converts the message back; the owner is who sent it.
func (a *Adopt) Adopted(n *Names, o Owner) (schedule.Adopted, bool) {
	ask, known := a.Ask.Ask(n, o)
	prefill, found := n.Name(a.Prefill)
	decode, there := n.Name(a.Decode)
	return schedule.Adopted{
		Ask:       ask,
		Plan:      lifecycle.Plan{Mode: lifecycle.Mode(a.Mode), Prefill: prefill, Decode: decode},
		Prefilled: a.Prefilled,
	}, known && found && there
}

// FromCheck converts a question about attempts to its message.
func FromCheck(group, engine string, ids []lifecycle.AttemptID) *Check {
	c := &Check{Group: RefOf(group), Engine: RefOf(engine)}
	for _, id := range ids {
		c.IDs = append(c.IDs, FromAttempt(id))
	}
	return c
}

// Attempts converts the message's ids back; the owner is this box.
func (c *Check) Attempts(o Owner) []lifecycle.AttemptID {
	out := make([]lifecycle.AttemptID, 0, len(c.IDs))
	for _, id := range c.IDs {
		out = append(out, id.ID(o))
	}
	return out
}
