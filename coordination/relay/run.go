// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/quarantine"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/state/route"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

const (
	// decisionQueue bounds the decisions that wait for one run.
	decisionQueue = 8
	// maxSends bounds the endpoints that one request is offered to, whatever
	// they answer.
	maxSends = 4
	// notReadyRetry is when to come again to a box that has no table yet.
	notReadyRetry = 300 * time.Millisecond
	// leastRetry is the least that a refused caller is told to wait.
	leastRetry = 100 * time.Millisecond
	// silentHomeRetry is when to come again where no home speaks: boxes agree on another
	// one in about that time.
	silentHomeRetry = 2 * time.Second
	// leastLeft is the least time left for which another send is worth it.
	leastLeft = 30 * time.Millisecond
)

// run is one request on its way. One goroutine drives it; rehome and Decide
// come from others.
type run struct {
	r  *Relay
	q  Request
	c  Caller
	id lifecycle.RequestID

	// generation is that of the table that the request was routed by.
	generation uint64
	route      table.Route
	service    table.Service
	// group is written under the mutex: rehome reads it too.
	group    string
	deadline time.Time
	// account holds the request's key; nil is none. charged is the cost that was
	// taken from a quota, and chargedTo whose: the key may have been passed on since.
	account *table.Account
	// allowed are the regions that the route and the account allow, by the table in
	// force when they were last looked up.
	allowed   locality.Allowed
	charged   float64
	chargedTo string

	decisions chan decided
	moved     chan struct{}

	// quarantined is the request as the quarantine sees it; nil is not asked for yet.
	quarantined *quarantine.Request

	// attempt counts the questions to homes.
	attempt uint32
	// sends counts arrivals at endpoints, prefills those for a prefill alone;
	// runs is how many endpoints may have run the request.
	sends, prefills, runs int
	// arrivals are those that the retry budget counts, and paid is what was taken
	// from it for one that did not count. takenUp says that an engine took a prefill
	// up.
	arrivals, paid int
	takenUp        bool
	avoid          []string
	// fallback is an endpoint's own failure, passed on if nothing better comes.
	fallback *whole
	// kept is a prefill result that an engine keeps for this run.
	kept *keptResult
	// sentAt is when the latest exchange began.
	sentAt time.Time
	// begun is true once the caller has the answer's head, and lastEvent is
	// the last event that it has.
	begun     bool
	lastEvent string
	// firstAt is when the first byte of the answer went to the caller.
	firstAt time.Time
	// steps are the tokens that the attempt's events stood for, but those of
	// the first, and stepTime the time in which they came.
	steps    int
	stepTime time.Duration
	// heldUp is whether the caller holds its endpoint up.
	heldUp holdUp
	// longestGap is the longest pause between two pieces of a stream.
	longestGap time.Duration
	lastPiece  time.Time
	// plan is that of the latest attempt; alone says that no home made it.
	plan  lifecycle.Plan
	alone bool
	// counted is what its home has counted of it.
	counted pace.Counted
	// reason is what ended or failed the latest attempt.
	reason string
	// age is how long before its arrival the caller first tried, as far as the
	// time that it has left shows.
	age time.Duration
	// late says that the request cannot meet its target any more.
	late bool
	// last says that no group has room in time, and that the first one is asked
	// for what others leave.
	last bool
	// refusals are the homes' refusals of this request for want of room, the
	// one of its own group first.
	refusals []refusal
	// without are the groups that have no engine for it.
	without []string

	mutex   sync.Mutex
	home    string
	running bool
	adopted schedule.Adopted
}

func newRun(r *Relay, q Request, c Caller) *run {
	return &run{
		r:         r,
		q:         q,
		c:         c,
		id:        r.cfg.NextID(),
		decisions: make(chan decided, decisionQueue),
		moved:     make(chan struct{}, 1),
		lastEvent: q.LastEvent,
	}
}

// result is what came of one attempt.
type result struct {
	kind resultKind
	// endpoint is the one that failed, if one did.
	endpoint   string
	reason     string
	retryAfter time.Duration
	// silent says that the endpoint was sent the request and gave no answer.
	silent bool
	// full says that the endpoint turned the request away for want of room.
	full bool
	// noRoom says that the home refused because its group has no room in time.
	noRoom bool
	// unreached says that no connection to it could be made, answered that it
	// answered with an error of its own.
	unreached, answered bool
	// broke is how the exchange with the endpoint broke off, if it did, and ran how
	// long after it was sent that was.
	broke adapter.Break
	ran   time.Duration
	// noEngine says that the home refused because its group has no engine that the
	// request may go to.
	noEngine bool
}

type resultKind uint8

const (
	// delivered means that the caller has its final word.
	delivered resultKind = iota
	// refused means that the home turned the request away.
	refused
	// unsent means that nothing was sent, and another placement may do.
	unsent
	// turnedAway means that an endpoint proved not to have run it.
	turnedAway
	// failed means that an endpoint may have run it, or did.
	failed
)

// errTimeout ends a request whose time is up.
var errTimeout = errors.New("the request's time is up")

// serve drives the request to its end.
func (v *run) serve(ctx context.Context) {
	index, t := v.r.current()
	if index.Generation() == 0 || v.r.cfg.Ready != nil && !v.r.cfg.Ready() {
		v.refuse(http.StatusServiceUnavailable, "box_not_ready", notReadyRetry)
		return
	}
	found, ok := index.Match(v.q.Host, v.q.Path)
	if !ok {
		v.refuse(http.StatusNotFound, "no_route", 0)
		return
	}
	v.route, v.generation = found, index.Generation()
	v.service, _ = t.Service(route.Pick(found, v.q.ID))
	if !v.identify() {
		return
	}
	v.r.noteRequest(v.service.Name)
	if v.suspect().Poisonous() {
		v.refusePoison()
		return
	}
	v.deadline = v.q.Arrived.Add(found.Timeout())
	if v.q.Wait > 0 && v.q.Wait < found.Timeout() {
		v.deadline = v.q.Arrived.Add(v.q.Wait)
	}
	v.age = v.r.noteWait(found.Name, v.q.Wait)
	v.late = v.age >= found.Target() && v.mayBeLate()
	ctx, cancel := context.WithDeadlineCause(ctx, v.deadline, errTimeout)
	defer cancel()
	if !v.admitted(ctx) {
		return
	}
	defer v.refund()
	defer v.free()
	for {
		res := v.try(ctx)
		v.reason = res.reason
		if res.kind == delivered {
			return
		}
		if !v.goOn(ctx, res) {
			v.conclude(ctx, res)
			return
		}
	}
}

// goOn says whether another attempt may follow.
func (v *run) goOn(ctx context.Context, res result) bool {
	if ctx.Err() != nil || v.r.cfg.Now().Add(leastLeft).After(v.deadline) {
		return false
	}
	if v.sends+v.prefills >= 2*maxSends || v.attempt >= 2*maxSends {
		return false
	}
	switch res.kind {
	case refused:
		return v.spills(res)
	case failed:
		if !v.route.Idempotent() || v.runs >= v.route.MaxAttempts {
			return false
		}
		if v.begun && v.lastEvent == "" {
			return false
		}
	}
	if res.endpoint != "" {
		v.avoid = append(v.avoid, res.endpoint)
	}
	return v.sends < maxSends
}

// try makes one attempt: a question to the home, and the exchanges that it
// grants.
func (v *run) try(ctx context.Context) result {
	v.setGroup(v.chooseGroup())
	if v.group == "" {
		return result{kind: refused, reason: v.noGroup(), retryAfter: notReadyRetry}
	}
	v.attempt++
	a := v.question()
	said := v.ask(ctx, a)
	if said.refused {
		v.r.cfg.Log.WithFields(log.Fields{
			log.FieldRequest: v.q.ID,
			log.FieldAsk:     a.ID.String(),
			log.FieldReason:  string(said.reason),
			"retry_ms":       said.retryAfter.Milliseconds(),
			"ms":             v.r.cfg.Now().Sub(v.q.Arrived).Milliseconds(),
		}).Info("ask_refused")
		return result{
			kind:       refused,
			reason:     string(said.reason),
			retryAfter: said.retryAfter,
			noRoom:     said.reason == lifecycle.ReasonHopeless && ctx.Err() == nil,
			noEngine:   said.reason == lifecycle.ReasonNoEngine,
		}
	}
	plan := said.grant.Plan
	v.counted = countedBy(said.grant, said.asked)
	if said.alone {
		var withheld string
		if plan, withheld = v.placeAlone(); withheld != "" {
			// Asking again would hold the caller for as long as its homes are silent.
			return result{kind: refused, reason: withheld, retryAfter: silentHomeRetry}
		}
	}
	v.plan, v.alone = plan, said.alone
	v.logPlaced(a, plan)
	v.began(a, plan, said.alone)
	report := schedule.Report{ID: a.ID}
	v.steps, v.stepTime = 0, 0
	res := v.carryOut(ctx, a, plan)
	report.Finished = res.kind == delivered
	if !isWithheld(res.reason) {
		report.Failed = res.endpoint
	}
	report.Unreached = res.unreached
	report.Answered = res.answered
	report.Full = res.full
	report.Running = res.kind == failed && res.endpoint != ""
	report.Steps, report.StepTime = v.steps, v.stepTime
	v.over(report)
	if res.kind != delivered {
		v.logFailed(a, res)
	}
	return res
}

func (v *run) began(a schedule.Ask, plan lifecycle.Plan, alone bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.running = !alone
	v.adopted = schedule.Adopted{Ask: a, Plan: plan}
}

func (v *run) over(r schedule.Report) {
	v.mutex.Lock()
	running := v.running
	v.running = false
	v.mutex.Unlock()
	if running {
		v.tell(r)
	}
}

func (v *run) question() schedule.Ask {
	a := schedule.Ask{
		ID:       lifecycle.AttemptID{Request: v.id, Number: v.attempt},
		Box:      v.r.cfg.Box,
		Account:  v.accountName(),
		Priority: -v.priority(),
		Resume:   v.begun || v.q.LastEvent != "",
		Avoid:    slices.Clone(v.avoid),
	}
	a.Avoid = append(a.Avoid, v.barred()...)
	a.Patience = v.patience()
	a.Late = v.late
	a.GiveUp = v.giveUp()
	a.Spill = len(v.refusals) > 0 && !v.last
	a.Travel = v.travel(v.group)
	if v.service.Engine == nil {
		a.Deadline = v.deadline.Sub(v.q.Arrived)
		if target := v.route.Target(); target > 0 {
			a.Deadline = min(a.Deadline, target)
		}
		return a
	}
	a.Kept = v.keptBy()
	a.Resume = a.Resume || a.Kept != ""
	a.PromptTokens = v.q.Prompt.Tokens
	a.OutputTokens = v.q.Prompt.Output
	if hint := v.q.Prompt.Hint; hint > 0 && (a.OutputTokens == 0 || hint < a.OutputTokens) {
		a.OutputTokens = hint
	}
	return a
}
