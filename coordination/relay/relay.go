// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package relay handles opaque requests: it selects the service by the routes of the table,
// asks the home of a group of the service for endpoints, sends the request to them, and streams
// the answer back to the caller. Requests and answers are not parsed, except that events are
// delimited in streams.
package relay

import (
	"context"
	"sync"
	"time"

	"runridge.example/runridge/coordination/held"
	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/coordination/notice"
	"runridge.example/runridge/coordination/quarantine"
	"runridge.example/runridge/coordination/quota"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/metric"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/account"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/estimate"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/state/retry"
	"runridge.example/runridge/state/route"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// Homes exchanges messages with the homes of groups.
type Homes interface {
	PlacesOf(service string) []group.Place
	HomesOf(group string) []string
	Send(box, group string, body home.Body) ring.Outcome
}

// Directory provides the endpoints that this box knows.
type Directory interface {
	Directory() directory.Directory
	// MarkReplaced records that another endpoint now has an address of the given one.
	MarkReplaced(id, address string)
}

// Quotas enforces the quotas of accounts across all boxes.
type Quotas interface {
	Admit(ctx context.Context, u quota.Use) quota.Verdict
	// Refund returns the cost of a request that reached no endpoint.
	Refund(account string, cost float64)
}

// Tables reports how recent the table in force is.
type Tables interface {
	// Current reports whether it can be taken for the newest.
	Current() bool
	// Age returns how long ago it was last confirmed as the newest.
	Age() time.Duration
	// NewestNamed returns the stamp of the newest table that another box has named.
	NewestNamed() table.Stamp
}

// Metrics records metrics of requests.
type Metrics interface {
	RequestEnded(e metric.RequestSummary)
	// EndpointRequests counts how often a request arrived at endpoints: for an answer, and for a
	// prefill only.
	EndpointRequests(service string, answers, prefills int)
	// StreamGap records the longest pause between two pieces of a stream.
	StreamGap(service string, longest time.Duration)
	// StreamTakenUp counts a stream that its caller takes up, by how the version that began it was
	// found.
	StreamTakenUp(service, found string)
	// BudgetDenied counts a retry that the retry budget did not allow.
	BudgetDenied(service string)
	// ExchangeBroken counts an exchange with an endpoint that was interrupted, by cause.
	ExchangeBroken(service, how string)
	// QuotaDecided counts a decision on an account's quota.
	QuotaDecided(account, outcome string)
}

// Config configures a Relay.
type Config struct {
	Box  string
	Zone string
	// Regions maps availability zones to regions.
	Regions locality.Map
	// RoundTrip returns the round trip time to another region; nil or a result of 0 means
	// unknown.
	RoundTrip func(region string) time.Duration
	// Slack returns how much longer than usual answers may take because this box is slow; nil means 0.
	Slack     func() time.Duration
	Endpoints Endpoints
	Homes     Homes
	Directory Directory
	Quotas    Quotas
	// Origins keeps which software version began each stream; nil means that versions don't matter.
	Origins Origins
	// Quarantine keeps poison requests away from the endpoints; nil disables it.
	Quarantine *quarantine.Keeper
	// Ready reports whether the box knows where requests may go; nil means always.
	Ready func() bool
	// Tables reports how recent the table in force is; nil means that it is the newest.
	Tables Tables
	// ParsePrefill parses an engine's answer to a prefill and returns the handle of the result
	// and the number of tokens.
	ParsePrefill func(body []byte) (handle string, tokens int, err error)
	// NextID returns the ID of a new request of this box.
	NextID func() lifecycle.RequestID
	// Boxes returns the number of boxes that share the retry budgets.
	Boxes func() int
	// Metrics records the outcome of requests; it may be nil.
	Metrics Metrics
	// Budget limits the retries of each service across all boxes.
	Budget retry.Config
	// ColdBound limits the requests sent to cold endpoints.
	ColdBound pace.Bound
	// Notices stores the notices that endpoints attach to their answers.
	Notices *notice.Keeper
	// Held limits the bytes of answers that are kept in memory; nil means no limit.
	Held *held.Budget
	Log  log.Logger
	Now  func() time.Time
}

// Relay handles all opaque requests of one box.
type Relay struct {
	cfg     Config
	started time.Time

	mutex sync.Mutex
	index route.Index
	table table.Table
	// accounts indexes the accounts of the table in force; hadAccounts reports whether any
	// table of this process had accounts.
	accounts    account.Index
	hadAccounts bool
	runs        map[lifecycle.RequestID]*handler
	budgets     map[string]retry.Budget
	// patience tracks, per route, how long callers state that they wait.
	patience map[string]estimate.Patience
}

// New returns a Relay with the given configuration.
func New(cfg Config) *Relay {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Relay{
		cfg:      cfg,
		started:  cfg.Now(),
		runs:     make(map[lifecycle.RequestID]*handler),
		budgets:  make(map[string]retry.Budget),
		patience: make(map[string]estimate.Patience),
	}
}

// SetBudget replaces the limits of the retry budgets.
func (r *Relay) SetBudget(c retry.Config) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cfg.Budget = c
}

// SetTable puts a table into force.
func (r *Relay) SetTable(t table.Table) {
	index, accounts := route.NewIndex(t), account.NewIndex(t)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.index = index
	r.table = t
	r.accounts = accounts
	r.hadAccounts = r.hadAccounts || accounts.Any()
}

func (r *Relay) current() (route.Index, table.Table) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.index, r.table
}

// Limits returns the limits on requests of the table in force.
func (r *Relay) Limits() table.Limits {
	_, t := r.current()
	return t.Limits
}

// Active returns the number of requests in flight.
func (r *Relay) Active() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.runs)
}

// Owns reports whether this box is handling the request.
func (r *Relay) Owns(id lifecycle.RequestID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, ok := r.runs[id]
	return ok
}

// HandleDecision delivers a home's decision and reports whether the request belongs to this relay.
func (r *Relay) HandleDecision(from, _ string, decision schedule.Decision) bool {
	id := schedule.Asked(decision).ID
	r.mutex.Lock()
	h, ok := r.runs[id.Request]
	r.mutex.Unlock()
	if !ok {
		return false
	}
	select {
	case h.decisions <- homeDecision{from: from, id: id, decision: decision}:
	default:
		// Only a handler that waits for a decision reads its queue. If a grant is dropped here,
		// the home finds out when it checks its old grants.
	}
	return true
}

// Rehome moves all requests in flight to the current homes of their groups, after the set of
// boxes that act as homes has changed.
func (r *Relay) Rehome() {
	r.mutex.Lock()
	runs := make([]*handler, 0, len(r.runs))
	for _, h := range r.runs {
		runs = append(runs, h)
	}
	r.mutex.Unlock()
	for _, h := range runs {
		h.rehome()
	}
}

// Serve handles one request. The context is canceled when the caller disconnects.
func (r *Relay) Serve(ctx context.Context, q Request, c Caller) {
	h := newHandler(r, q, c)
	r.mutex.Lock()
	r.runs[h.id] = h
	r.mutex.Unlock()
	defer func() {
		r.mutex.Lock()
		delete(r.runs, h.id)
		r.mutex.Unlock()
	}()
	h.serve(ctx)
}

// noteRequest adds a request to the retry budget of its service.
func (r *Relay) noteRequest(service string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.budgets[service] = r.budgets[service].WithRequest(r.uptime())
}

// noteWait records how long a caller of a route waits, and returns the estimated time since the
// caller's first try.
func (r *Relay) noteWait(route string, wait time.Duration) time.Duration {
	if wait <= 0 {
		return 0
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.patience[route] = r.patience[route].With(wait)
	return r.patience[route].Age(wait)
}

// origin returns the zone and region in which this box receives requests.
func (r *Relay) origin() home.Origin {
	return home.Origin{Zone: r.cfg.Zone, Region: r.cfg.Regions.Of(r.cfg.Zone)}
}

// slack returns how much longer than usual answers may take because this box is slow.
func (r *Relay) slack() time.Duration {
	if r.cfg.Slack == nil {
		return 0
	}
	return r.cfg.Slack()
}

// uptime returns how long the box has run, by the monotonic clock.
func (r *Relay) uptime() time.Duration { return r.cfg.Now().Sub(r.started) }

// spendRetry takes one more arrival at a service from its retry budget and reports whether the
// budget allowed it.
func (r *Relay) spendRetry(service string) bool {
	boxes := 1
	if r.cfg.Boxes != nil {
		boxes = r.cfg.Boxes()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	next, ok := r.budgets[service].WithRepeat(r.uptime(), r.cfg.Budget, boxes)
	r.budgets[service] = next
	if !ok && r.cfg.Metrics != nil {
		r.cfg.Metrics.BudgetDenied(service)
	}
	return ok
}
