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
	// decisionQueueSize limits the decisions that wait for one request.
	decisionQueueSize = 8
	// maxSends limits how many endpoints one request is sent to, whatever they answer.
	maxSends = 4
	// notReadyRetry is the retry delay for callers of a box that has no table yet, and for
	// requests that no group can take.
	notReadyRetry = 300 * time.Millisecond
	// minRetryAfter is the minimum retry delay in a refusal.
	minRetryAfter = 100 * time.Millisecond
	// silentHomeRetry is the retry delay when no home answers: the boxes agree on another home
	// in about that time.
	silentHomeRetry = 2 * time.Second
	// minRemaining is the minimum time before the deadline for another attempt.
	minRemaining = 30 * time.Millisecond
)

// handler handles one request. One goroutine runs serve; rehome and Relay.HandleDecision are called
// from others.
type handler struct {
	relay   *Relay
	request Request
	caller  Caller
	// reply is the answer to the caller; nil until it has begun.
	reply *begunAnswer
	id    lifecycle.RequestID

	// generation and version identify the table by which the request was routed.
	generation, version uint64
	route               table.Route
	service             table.Service
	// group is written with the mutex held because rehome reads it.
	group    string
	deadline time.Time
	// account is the account that holds the request's key; nil if none. charged is the cost
	// taken from a quota, and chargedTo the account it was taken from, which may no longer hold
	// the key.
	account *table.Account
	// allowed holds the regions that both the route and the account permit, by the table in
	// force at the last lookup.
	allowed   locality.Allowed
	charged   float64
	chargedTo string

	decisions chan homeDecision
	homeMoved chan struct{}

	// quarantined is the request as the quarantine tracks it; nil until first needed.
	quarantined *quarantine.Request

	// attempt counts the asks, starting at 1.
	attempt uint32
	// sends counts the sends to endpoints for an answer and prefills those for a prefill only;
	// runs counts the endpoints that may have run the request.
	sends, prefills, runs int
	// arrivals counts the arrivals that the retry budget charges for. prepaid counts the
	// arrivals already taken from the budget that did not count in the end. prefillAccepted
	// reports whether an engine has accepted a prefill.
	arrivals, prepaid int
	prefillAccepted   bool
	avoid             []string
	// fallback is an endpoint's 5xx answer, which the caller gets if no attempt succeeds.
	fallback *bufferedAnswer
	// kept is a prefill result that an engine keeps for this request.
	kept *keptResult
	// via is the box through which the endpoint that answered last was reached; empty if directly.
	via string
	// sentAt is when the latest exchange began.
	sentAt time.Time
	// lastEvent is the ID of the last event that the caller has received.
	lastEvent string
	// software is the software version at which the stream has to go on; empty if it has not begun
	// or any version will do.
	software string
	// firstByteAt is when the first byte of the answer was sent to the caller.
	firstByteAt time.Time
	// steps counts the tokens of the attempt's events after the first one, and stepTime is the
	// time in which they arrived.
	steps    int
	stepTime time.Duration
	// stall tracks whether the caller keeps the endpoint from writing.
	stall callerStall
	// longestGap is the longest pause between two pieces of a stream.
	longestGap time.Duration
	lastPiece  time.Time
	// plan is the plan of the latest attempt; selfPlaced reports whether this box made it
	// without a home.
	plan       lifecycle.Plan
	selfPlaced bool
	// counted holds what the home has counted of the attempt toward the limits of its
	// endpoints.
	counted pace.Counted
	// reason is why the latest attempt ended or failed.
	reason string
	// age is the estimated time between the caller's first try and the arrival of this request,
	// derived from the time that the caller still waits.
	age time.Duration
	// late reports that the request can no longer meet its target.
	late bool
	// lastAsk reports that no group has capacity in time and that the first group is asked for
	// capacity that others leave unused.
	lastAsk bool
	// refusals lists the groups that refused this request for lack of capacity, its own group
	// first.
	refusals []groupRefusal
	// groupsWithoutEngine lists the groups that have no engine for the request.
	groupsWithoutEngine []string

	mutex   sync.Mutex
	home    string
	running bool
	adopted schedule.Adopted
}

func newHandler(r *Relay, q Request, c Caller) *handler {
	return &handler{
		relay:     r,
		request:   q,
		caller:    c,
		id:        r.cfg.NextID(),
		decisions: make(chan homeDecision, decisionQueueSize),
		homeMoved: make(chan struct{}, 1),
		lastEvent: q.LastEvent,
	}
}

// result is the outcome of one attempt.
type result struct {
	kind resultKind
	// endpoint is the endpoint that failed, if one did.
	endpoint   string
	reason     string
	retryAfter time.Duration
	// silent reports that the request was sent and the endpoint did not answer.
	silent bool
	// full reports that the endpoint rejected the request for lack of capacity.
	full bool
	// noCapacity reports that the home refused because its group has no capacity in time.
	noCapacity bool
	// unreached reports that no connection to the endpoint could be made, and answered that it
	// answered with an error.
	unreached, answered bool
	// status is the status of an answer that the caller did not get; 0 if there was none.
	status int
	// others is the number of other boxes that did not reach the endpoint either, and known reports
	// that the endpoint was not tried because that was known.
	others int
	known  bool
	// broke is how the exchange with the endpoint was interrupted, if it was, and ran the time
	// from sending the request until then.
	broke adapter.Break
	ran   time.Duration
	// noEngine reports that the home refused because its group has no engine that the request
	// may go to.
	noEngine bool
}

// blamed returns the endpoint that the home is told to have failed; empty if the request was withheld
// from it, or only this box's path or connections to it were the reason.
func (r result) blamed() string {
	if isWithheld(r.reason) || r.known || r.broke == adapter.BreakPath || r.broke == adapter.BreakShare {
		return ""
	}
	return r.endpoint
}

type resultKind uint8

const (
	// delivered means that the caller has received its final answer.
	delivered resultKind = iota
	// refused means that the home or this box refused the attempt.
	refused
	// unsent means that nothing was sent and another placement may succeed.
	unsent
	// turnedAway means that the endpoint provably did not run the request.
	turnedAway
	// failed means that an endpoint ran the request or may have run it.
	failed
)

// errTimeout is the cause of a context whose request has passed its deadline.
var errTimeout = errors.New("request deadline exceeded")

// serve handles the request until it is answered, refused or aborted.
func (h *handler) serve(ctx context.Context) {
	index, t := h.relay.current()
	h.generation, h.version = t.Generation, t.Version
	if index.Generation() == 0 || h.relay.cfg.Ready != nil && !h.relay.cfg.Ready() {
		h.refuse(http.StatusServiceUnavailable, "box_not_ready", notReadyRetry)
		return
	}
	found, ok := index.Match(h.request.Host, h.request.Path)
	if !ok {
		h.refuse(http.StatusNotFound, "no_route", 0)
		return
	}
	h.route = found
	h.service, _ = t.Service(route.Pick(found, h.request.ID))
	if !h.identify() {
		return
	}
	h.relay.noteRequest(h.service.Name)
	if h.suspect().Poisonous() {
		h.refusePoison()
		return
	}
	h.deadline = h.request.Arrived.Add(found.Timeout())
	if h.request.Wait > 0 && h.request.Wait < found.Timeout() {
		h.deadline = h.request.Arrived.Add(h.request.Wait)
	}
	if !h.findOrigin(ctx) {
		return
	}
	h.age = h.relay.noteWait(found.Name, h.request.Wait)
	h.late = h.age >= found.Target() && h.mayBeLate()
	ctx, cancel := context.WithDeadlineCause(ctx, h.deadline, errTimeout)
	defer cancel()
	if !h.admitQuota(ctx) {
		return
	}
	defer h.refund()
	defer h.freeKept()
	for {
		res := h.tryOnce(ctx)
		h.reason = res.reason
		if res.kind == delivered {
			return
		}
		if !h.shouldRetry(ctx, res) {
			h.finish(ctx, res)
			return
		}
	}
}

// shouldRetry reports whether another attempt may follow res, and adds a failed endpoint to
// those to avoid.
func (h *handler) shouldRetry(ctx context.Context, res result) bool {
	if ctx.Err() != nil || h.relay.cfg.Now().Add(minRemaining).After(h.deadline) {
		return false
	}
	if h.sends+h.prefills >= 2*maxSends || h.attempt >= 2*maxSends {
		return false
	}
	switch res.kind {
	case refused:
		return h.spillAfter(res)
	case failed:
		if !h.route.Idempotent() || h.runs >= h.route.MaxAttempts {
			return false
		}
		if h.reply != nil && h.lastEvent == "" {
			return false
		}
	}
	if res.endpoint != "" {
		h.avoid = append(h.avoid, res.endpoint)
	}
	return h.sends < maxSends
}

// tryOnce makes one attempt: it asks the home of a group and makes the exchanges that the home
// grants.
func (h *handler) tryOnce(ctx context.Context) result {
	h.setGroup(h.chooseGroup())
	if h.group == "" {
		return result{kind: refused, reason: h.noGroupReason(), retryAfter: notReadyRetry}
	}
	h.attempt++
	a := h.newAsk()
	outcome := h.ask(ctx, a)
	if outcome.refused {
		h.relay.cfg.Log.WithFields(log.Fields{
			log.FieldRequest: h.request.ID,
			log.FieldAsk:     a.ID.String(),
			log.FieldReason:  string(outcome.reason),
			"retry_ms":       outcome.retryAfter.Milliseconds(),
			"ms":             h.relay.cfg.Now().Sub(h.request.Arrived).Milliseconds(),
		}).Info("ask_refused")
		return result{
			kind:       refused,
			reason:     string(outcome.reason),
			retryAfter: outcome.retryAfter,
			noCapacity: outcome.reason == lifecycle.ReasonTargetUnreachable && ctx.Err() == nil,
			noEngine:   outcome.reason == lifecycle.ReasonNoEngine,
		}
	}
	plan := outcome.grant.Plan
	h.counted = countedBy(outcome.grant, outcome.askedAt)
	if outcome.noHome {
		var withheld string
		if plan, withheld = h.placeWithoutHome(); withheld != "" {
			// Another ask would delay the caller for as long as the homes stay silent.
			return result{kind: refused, reason: withheld, retryAfter: silentHomeRetry}
		}
	}
	h.plan, h.selfPlaced = plan, outcome.noHome
	h.logPlaced(a, plan)
	h.startAttempt(a, plan, outcome.noHome)
	report := schedule.Report{ID: a.ID}
	h.steps, h.stepTime = 0, 0
	res := h.execute(ctx, a, plan)
	report.Finished = res.kind == delivered
	report.Failed = res.blamed()
	report.Unreachable, report.OthersUnreached = res.unreached, res.others
	report.Answered = res.answered
	report.Full = res.full
	report.MayBeRunning = res.kind == failed && res.endpoint != ""
	report.Steps, report.StepTime = h.steps, h.stepTime
	h.endAttempt(report)
	if res.kind != delivered {
		h.logFailed(a, res)
	}
	return res
}

// startAttempt records the placed attempt, so that rehome can hand it to a new home.
func (h *handler) startAttempt(a schedule.Ask, plan lifecycle.Plan, selfPlaced bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.running = !selfPlaced
	h.adopted = schedule.Adopted{Ask: a, Plan: plan}
}

// endAttempt reports the end of the attempt to its home, unless no home placed it.
func (h *handler) endAttempt(r schedule.Report) {
	h.mutex.Lock()
	running := h.running
	h.running = false
	h.mutex.Unlock()
	if running {
		h.notifyHome(r)
	}
}

// newAsk returns the ask for the current attempt.
func (h *handler) newAsk() schedule.Ask {
	a := schedule.Ask{
		ID:       lifecycle.AttemptID{Request: h.id, Number: h.attempt},
		Box:      h.relay.cfg.Box,
		Account:  h.accountName(),
		Priority: -h.priority(),
		Resume:   h.reply != nil || h.request.LastEvent != "",
		Avoid:    slices.Clone(h.avoid),
	}
	a.Avoid = append(a.Avoid, h.forbiddenEndpoints()...)
	a.Avoid = append(a.Avoid, h.relay.cfg.Endpoints.Unreached(h.service.Name, h.allowed)...)
	a.Patience = h.maxRetryAfter()
	a.Late = h.late
	a.RemainingPatience = h.callerPatience()
	a.Spill = len(h.refusals) > 0 && !h.lastAsk
	a.RegionRoundTrip = h.roundTrip(h.group)
	a.Software = h.software
	if h.service.Engine == nil {
		a.Deadline = h.deadline.Sub(h.request.Arrived)
		if target := h.route.Target(); target > 0 {
			a.Deadline = min(a.Deadline, target)
		}
		return a
	}
	a.KeptBy = h.reusableEngine()
	a.Resume = a.Resume || a.KeptBy != ""
	a.PromptTokens = h.request.Prompt.Tokens
	a.OutputTokens = h.request.Prompt.Output
	if hint := h.request.Prompt.Hint; hint > 0 && (a.OutputTokens == 0 || hint < a.OutputTokens) {
		a.OutputTokens = hint
	}
	return a
}
