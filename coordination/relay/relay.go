// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package relay drives opaque requests: it finds the service by the table's
// routes, asks the home of the service's group for endpoints, sends the
// request there, and passes the answer on. The bytes of requests and answers
// are not read, but for the boundaries of events in streams.
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

// Homes takes questions to the home of a group.
type Homes interface {
	PlacesOf(service string) []group.Place
	HomesOf(group string) []string
	Tell(box, group string, body home.Body) ring.Outcome
}

// Directory gives the endpoints as this box knows them.
type Directory interface {
	Directory() directory.Directory
	// Left tells that another endpoint has the address of this one.
	Left(id string)
}

// Quotas admits requests within their accounts' quotas over all boxes.
type Quotas interface {
	Admit(ctx context.Context, u quota.Use) quota.Verdict
	// GiveBack returns the cost of a request that reached no endpoint.
	GiveBack(account string, cost float64)
}

// Metrics counts requests.
type Metrics interface {
	RequestEnded(e metric.Ended)
	// Sent counts a request's arrivals at endpoints: those for an answer and
	// those for a prefill alone.
	Sent(service string, answers, prefills int)
	// Gap records the longest pause in a stream.
	Gap(service string, longest time.Duration)
	// BudgetDenied counts a retry that the budget did not allow.
	BudgetDenied(service string)
	// BrokeOff counts an exchange with an endpoint that broke off, by how it did.
	BrokeOff(service, how string)
	// QuotaDecided counts a decision on an account's quota.
	QuotaDecided(account, outcome string)
}

// Config configures a Relay.
type Config struct {
	Box  string
	Zone string
	// Regions knows the region of each availability zone.
	Regions locality.Map
	// RoundTrip is how long a message to another region and its answer take; nil or
	// 0 is not known.
	RoundTrip func(region string) time.Duration
	Endpoints Endpoints
	Homes     Homes
	Directory Directory
	Quotas    Quotas
	// Quarantine keeps poison requests from the endpoints; nil is none.
	Quarantine *quarantine.Keeper
	// Ready says whether the box knows where requests may go; nil is always.
	Ready func() bool
	// Current says whether the table in force is known to be the newest.
	Current func() bool
	// ParsePrefill reads an engine's answer to a prefill: the handle and the
	// number of tokens.
	ParsePrefill func(body []byte) (handle string, tokens int, err error)
	// NextID names a new request of this box.
	NextID func() lifecycle.RequestID
	// Boxes is the number of boxes that share the retry budgets.
	Boxes func() int
	// Metrics, if set, counts what requests come to.
	Metrics Metrics
	// Budget bounds the retries of a service over all boxes.
	Budget retry.Config
	// Cold bounds what cold endpoints get.
	Cold pace.Bound
	// Notices keeps what endpoints say of themselves in their answers.
	Notices *notice.Keeper
	// Held bounds the bytes that are held of answers; nil is no bound.
	Held *held.Budget
	Log  log.Logger
	Now  func() time.Time
}

// Relay drives all opaque requests of one box.
type Relay struct {
	cfg     Config
	started time.Time

	mutex sync.Mutex
	index route.Index
	table table.Table
	// accounts are those of the table; keyed says that a table of this process
	// had any.
	accounts account.Index
	keyed    bool
	runs     map[lifecycle.RequestID]*run
	budgets  map[string]retry.Budget
	// patience is how long the callers of each route say they will wait.
	patience map[string]estimate.Patience
}

// New makes a relay.
func New(cfg Config) *Relay {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Relay{
		cfg:      cfg,
		started:  cfg.Now(),
		runs:     make(map[lifecycle.RequestID]*run),
		budgets:  make(map[string]retry.Budget),
		patience: make(map[string]estimate.Patience),
	}
}

// SetBudget replaces the bound on retries.
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
	r.keyed = r.keyed || accounts.Any()
}

func (r *Relay) current() (route.Index, table.Table) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.index, r.table
}

// Limits bound what callers may send, by the table in force.
func (r *Relay) Limits() table.Limits {
	_, t := r.current()
	return t.Limits
}

// Active is the number of requests under way.
func (r *Relay) Active() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.runs)
}

// Owns says whether a request is under way here.
func (r *Relay) Owns(id lifecycle.RequestID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, ok := r.runs[id]
	return ok
}

// Decide takes a home's decision and reports whether it is for a request of
// this relay.
func (r *Relay) Decide(from, _ string, decision schedule.Decision) bool {
	id := schedule.Asked(decision).ID
	r.mutex.Lock()
	v, ok := r.runs[id.Request]
	r.mutex.Unlock()
	if !ok {
		return false
	}
	select {
	case v.decisions <- decided{from: from, id: id, decision: decision}:
	default:
		// A run that is not asking does not read; the home's check finds out.
	}
	return true
}

// Rehome tells the homes of all running requests where they stand; the set of
// boxes with duties has changed.
func (r *Relay) Rehome() {
	r.mutex.Lock()
	runs := make([]*run, 0, len(r.runs))
	for _, v := range r.runs {
		runs = append(runs, v)
	}
	r.mutex.Unlock()
	for _, v := range runs {
		v.rehome()
	}
}

// Serve answers one request. The context ends when the caller has gone.
func (r *Relay) Serve(ctx context.Context, q Request, c Caller) {
	v := newRun(r, q, c)
	r.mutex.Lock()
	r.runs[v.id] = v
	r.mutex.Unlock()
	defer func() {
		r.mutex.Lock()
		delete(r.runs, v.id)
		r.mutex.Unlock()
	}()
	v.serve(ctx)
}

// noteRequest counts a request for a service's retry budget.
func (r *Relay) noteRequest(service string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.budgets[service] = r.budgets[service].WithRequest(r.uptime())
}

// noteWait takes in how long a caller of a route will wait, and returns how long
// ago the caller first tried.
func (r *Relay) noteWait(route string, wait time.Duration) time.Duration {
	if wait <= 0 {
		return 0
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.patience[route] = r.patience[route].With(wait)
	return r.patience[route].Age(wait)
}

// origin is where this box's requests come in.
func (r *Relay) origin() home.Origin {
	return home.Origin{Zone: r.cfg.Zone, Region: r.cfg.Regions.Of(r.cfg.Zone)}
}

// uptime is how long the box has run, by the steady clock.
func (r *Relay) uptime() time.Duration { return r.cfg.Now().Sub(r.started) }

// mayRepeat spends one further arrival at a service, if the budget has it.
func (r *Relay) mayRepeat(service string) bool {
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
