// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package notice keeps what endpoints say of themselves in their answers: the limit that
// they name to all boxes together, that they leave, and for how long they want rest from
// this box. Limits are counted by the homes of the endpoints' groups, which a box tells
// with each question; whether an endpoint that leaves or rests may get a request, each box
// decides before it sends.
package notice

import (
	"slices"
	"sync"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// Config configures a Keeper.
type Config struct {
	// OnLimit, if set, is called when an endpoint's answer changes what is known of its
	// limit. It must not block.
	OnLimit func(l schedule.EngineLimit)
	// Born is the Unix millisecond of an endpoint's latest known start; 0 is not known. Nil
	// knows none.
	Born func(endpoint string) int64
	Log  log.Logger
	// Now is the clock; nil is that of the machine.
	Now func() time.Time
}

// Answered is an endpoint's answer to a call of this box.
type Answered struct {
	// Request and Endpoint name both; a call that is no caller's has no request.
	Request, Endpoint string
	// Born is the start of the endpoint that answered, as Config.Born tells it.
	Born int64
	// Restarts says that the endpoint may start again without another name or Born.
	Restarts bool
	Notice   pace.Notice
	// Served says that the endpoint took the request. Only such an answer shows by naming no
	// limit that there is none any more: what turns requests away may not say all.
	Served bool
}

// entry is what this box knows of an endpoint.
type entry struct {
	limit   pace.Limit
	limitAt time.Time
	// born is the start that leaving and restUntil are about.
	born int64
	// leaving says that it leaves; leavingUntil, if set, is until when that counts.
	leaving      bool
	leavingUntil time.Time
	restUntil    time.Time
	heard        time.Time
}

// standing is whether an endpoint that last started then may be sent to.
func (e entry) standing(now time.Time, born int64) Standing {
	if e.born != born {
		return Standing{}
	}
	return Standing{
		Leaving: e.leaving && (e.leavingUntil.IsZero() || now.Before(e.leavingUntil)),
		Rest:    max(e.restUntil.Sub(now), 0),
	}
}

// Standing is whether this box may send to an endpoint.
type Standing struct {
	// Leaving says that the endpoint has said that it leaves.
	Leaving bool
	// Rest is for how much longer it wants nothing from this box.
	Rest time.Duration
}

// Open says whether the box may send.
func (s Standing) Open() bool { return s.Reason() == "" }

// Reasons for which this box does not send to an endpoint that serves others.
const (
	ReasonLeaving = "endpoint_leaving"
	ReasonResting = "endpoint_resting"
)

// Reason is why the box may not send; empty is that it may.
func (s Standing) Reason() string {
	switch {
	case s.Leaving:
		return ReasonLeaving
	case s.Rest > 0:
		return ReasonResting
	default:
		return ""
	}
}

// Closed is an endpoint that this box may not send to.
type Closed struct {
	Endpoint string
	Standing
}

const (
	// maxKnown bounds the endpoints that something is kept of.
	maxKnown = 1024
	// maxRest keeps what an endpoint wants within what a duration can tell.
	maxRest = 24 * time.Hour
	// restartTime is after how long an endpoint that leaves is tried again, where its
	// name does not tell one start from the next.
	restartTime = time.Minute
)

// Keeper keeps the notices. A nil one keeps none. It is safe for use by several goroutines.
type Keeper struct {
	cfg   Config
	mutex sync.Mutex
	known map[string]entry
	// closed are the endpoints that may leave or rest.
	closed map[string]bool
}

// New makes a keeper.
func New(cfg Config) *Keeper {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Born == nil {
		cfg.Born = func(string) int64 { return 0 }
	}
	return &Keeper{cfg: cfg, known: make(map[string]entry), closed: make(map[string]bool)}
}

// Answered takes in what an answer says of its endpoint.
func (k *Keeper) Answered(a Answered) {
	if k == nil {
		return
	}
	k.noteClosed(a)
	k.noteLimit(a)
}

// noteClosed takes in that an endpoint leaves or wants rest. Neither ends by an answer
// that does not say so, since answers overtake each other.
func (k *Keeper) noteClosed(a Answered) {
	n := a.Notice
	if !n.Leaving && n.Rest <= 0 {
		return
	}
	now := k.cfg.Now()
	k.mutex.Lock()
	e := k.known[a.Endpoint]
	before := e.standing(now, a.Born)
	if e.born != a.Born {
		e.leaving, e.leavingUntil, e.restUntil = false, time.Time{}, time.Time{}
	}
	e.born, e.heard = a.Born, now
	if n.Leaving {
		e.leaving = true
		if a.Restarts {
			e.leavingUntil = now.Add(restartTime)
		}
	}
	if until := now.Add(min(n.Rest, maxRest)); n.Rest > 0 && until.After(e.restUntil) {
		e.restUntil = until
	}
	k.put(a.Endpoint, e)
	k.closed[a.Endpoint] = true
	k.mutex.Unlock()
	if n.Leaving == before.Leaving && n.Rest <= 0 {
		return
	}
	k.cfg.Log.WithFields(log.Fields{
		log.FieldRequest: a.Request,
		log.FieldEngine:  a.Endpoint,
		"leaving":        n.Leaving,
		"rest_ms":        n.Rest.Milliseconds(),
		"leaving_before": before.Leaving,
		"rest_before_ms": before.Rest.Milliseconds(),
	}).Info("endpoint_closed")
}

func (k *Keeper) noteLimit(a Answered) {
	limit := a.Notice.Limit
	if !limit.Named && !a.Served {
		return
	}
	now := k.cfg.Now()
	k.mutex.Lock()
	e := k.known[a.Endpoint]
	before := e.limit
	e.limit, e.limitAt, e.heard = limit, now, now
	k.put(a.Endpoint, e)
	k.mutex.Unlock()
	if before == limit {
		return
	}
	k.cfg.Log.WithFields(log.Fields{
		log.FieldRequest: a.Request,
		log.FieldEngine:  a.Endpoint,
		"named":          limit.Named,
		"per_second":     limit.PerSecond,
		"named_before":   before.Named,
		"before":         before.PerSecond,
	}).Info("endpoint_limit_told")
	if k.cfg.OnLimit != nil {
		k.cfg.OnLimit(schedule.EngineLimit{Engine: a.Endpoint, Limit: limit})
	}
}

// Heard takes in what a group's home knows, where that is later than what is known here.
func (k *Keeper) Heard(limits []schedule.EngineLimit) {
	if k == nil || len(limits) == 0 {
		return
	}
	now := k.cfg.Now()
	for _, l := range limits {
		before, later := k.hear(now, l)
		if !later || before == l.Limit {
			continue
		}
		k.cfg.Log.WithFields(log.Fields{
			log.FieldEngine: l.Engine,
			"age_ms":        l.Age.Milliseconds(),
			"named":         l.Limit.Named,
			"per_second":    l.Limit.PerSecond,
			"named_before":  before.Named,
			"before":        before.PerSecond,
		}).Info("endpoint_limit_heard")
	}
}

// hear takes in what a home knows of one limit. It returns what was known before, and whether
// the home knows it later.
func (k *Keeper) hear(now time.Time, l schedule.EngineLimit) (before pace.Limit, later bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	e := k.known[l.Engine]
	at := now.Add(-l.Age)
	if !at.After(e.limitAt) {
		return e.limit, false
	}
	before = e.limit
	e.limit, e.limitAt, e.heard = l.Limit, at, at
	k.put(l.Engine, e)
	return before, true
}

// Any says whether anything is known of any endpoint.
func (k *Keeper) Any() bool {
	if k == nil {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return len(k.known) > 0
}

// maxTold bounds the limits that go with one question.
const maxTold = 16

// Limits lists what is known of some endpoints' limits: of many a part, another one at each
// turn.
func (k *Keeper) Limits(endpoints []table.Member, turn uint64) []schedule.EngineLimit {
	if k == nil {
		return nil
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.cfg.Now()
	var out []schedule.EngineLimit
	for _, m := range endpoints {
		if e := k.known[m.Endpoint.Name]; e.limit.Named {
			out = append(out, schedule.EngineLimit{Engine: m.Endpoint.Name, Limit: e.limit, Age: now.Sub(e.limitAt)})
		}
	}
	if len(out) <= maxTold {
		return out
	}
	first := int(turn % uint64(len(out)))
	return slices.Concat(out[first:], out[:first])[:maxTold]
}

// Limited says whether an endpoint names a limit, as far as this box knows.
func (k *Keeper) Limited(endpoint string) bool {
	if k == nil {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.known[endpoint].limit.Named
}

// Standing says whether this box may send to an endpoint.
func (k *Keeper) Standing(endpoint string) Standing {
	if k == nil {
		return Standing{}
	}
	k.mutex.Lock()
	e, may := k.known[endpoint], k.closed[endpoint]
	k.mutex.Unlock()
	if !may {
		return Standing{}
	}
	return e.standing(k.cfg.Now(), k.cfg.Born(endpoint))
}

// Closed lists the endpoints that this box may not send to, and forgets why of those that
// it may again.
func (k *Keeper) Closed() []Closed {
	if k == nil {
		return nil
	}
	k.mutex.Lock()
	names := make([]string, 0, len(k.closed))
	for endpoint := range k.closed {
		names = append(names, endpoint)
	}
	k.mutex.Unlock()
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	now := k.cfg.Now()
	var out []Closed
	for _, endpoint := range names {
		born := k.cfg.Born(endpoint)
		k.mutex.Lock()
		standing := k.known[endpoint].standing(now, born)
		if standing.Open() {
			k.open(endpoint)
		}
		k.mutex.Unlock()
		if !standing.Open() {
			out = append(out, Closed{Endpoint: endpoint, Standing: standing})
		}
	}
	return out
}

// LeastRest is after how long the first of some endpoints that rest may be sent to again; 0
// is that none rests.
func (k *Keeper) LeastRest(of func(endpoint string) bool) time.Duration {
	least := time.Duration(0)
	for _, c := range k.Closed() {
		if !c.Leaving && (least == 0 || c.Rest < least) && of(c.Endpoint) {
			least = c.Rest
		}
	}
	return least
}

// open forgets why an endpoint was closed. The mutex is held.
func (k *Keeper) open(endpoint string) {
	delete(k.closed, endpoint)
	if e := k.known[endpoint]; e.limit.Named {
		e.leaving, e.leavingUntil, e.restUntil = false, time.Time{}, time.Time{}
		k.known[endpoint] = e
		return
	}
	delete(k.known, endpoint)
}

// put replaces what is known of an endpoint. The mutex is held.
func (k *Keeper) put(endpoint string, e entry) {
	if !e.limit.Named && !e.leaving && e.restUntil.IsZero() {
		delete(k.known, endpoint)
		return
	}
	if _, had := k.known[endpoint]; !had && len(k.known) >= maxKnown {
		k.forgetOldest()
	}
	k.known[endpoint] = e
}

// forgetOldest forgets the endpoint that was heard of the longest ago: one that is not
// closed, if there is any, as its home knows its limit too.
func (k *Keeper) forgetOldest() {
	oldest := ""
	for endpoint, e := range k.known {
		if oldest == "" || k.before(endpoint, e, oldest) {
			oldest = endpoint
		}
	}
	delete(k.known, oldest)
	delete(k.closed, oldest)
}

// before says whether an endpoint is forgotten before another one.
func (k *Keeper) before(endpoint string, e entry, other string) bool {
	if k.closed[endpoint] != k.closed[other] {
		return k.closed[other]
	}
	return e.heard.Before(k.known[other].heard)
}
