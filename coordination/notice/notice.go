// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package notice keeps the notices that endpoints give in their answers: the limit on
// requests from all boxes together, that the endpoint is leaving, and how long it wants no
// requests from this box. The homes of the endpoints' groups enforce limits, which a box
// sends to them with each request for a grant; each box checks by itself, before it sends,
// whether an endpoint that is leaving or resting may get a request.
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
	// OnLimit, if set, is called when an endpoint's answer changes its known limit. It must
	// not block.
	OnLimit func(l schedule.EngineLimit)
	// Born returns the Unix millisecond of an endpoint's latest known start, or 0 if it
	// isn't known. Nil stands for a function that knows none.
	Born func(endpoint string) int64
	Log  log.Logger
	// Now is the clock; nil is time.Now.
	Now func() time.Time
}

// Answer is an endpoint's answer to a call of this box.
type Answer struct {
	// Request and Endpoint are the IDs of both; a call that isn't made for a caller has no
	// request.
	Request, Endpoint string
	// Born is the start of the endpoint that answered, as returned by Config.Born.
	Born int64
	// Restarts is set if the endpoint may restart without a new name or a new Born.
	Restarts bool
	Notice   pace.Notice
	// Served is set if the endpoint accepted the request. Only such an answer proves, by
	// naming no limit, that the limit has ended: a rejection may not carry all notices.
	Served bool
}

// entry holds the notices of an endpoint.
type entry struct {
	limit   pace.Limit
	limitAt time.Time
	// born is the endpoint's start to which leaving and restUntil apply.
	born int64
	// leaving is set if the endpoint is leaving; leavingUntil, if set, is when that expires.
	leaving      bool
	leavingUntil time.Time
	restUntil    time.Time
	updatedAt    time.Time
}

// standing returns whether an endpoint whose last known start is born may be sent
// requests.
func (e entry) standing(now time.Time, born int64) Availability {
	if e.born != born {
		return Availability{}
	}
	return Availability{
		Leaving: e.leaving && (e.leavingUntil.IsZero() || now.Before(e.leavingUntil)),
		Rest:    max(e.restUntil.Sub(now), 0),
	}
}

// Availability describes whether this box may send requests to an endpoint.
type Availability struct {
	// Leaving is set if the endpoint has announced that it is leaving.
	Leaving bool
	// Rest is how much longer the endpoint wants no requests from this box.
	Rest time.Duration
}

// Open reports whether the box may send.
func (s Availability) Open() bool { return s.Reason() == "" }

// Reasons for which this box does not send to an endpoint that serves others.
const (
	ReasonLeaving = "endpoint_leaving"
	ReasonResting = "endpoint_resting"
)

// Reason returns why the box may not send, or an empty string if it may.
func (s Availability) Reason() string {
	switch {
	case s.Leaving:
		return ReasonLeaving
	case s.Rest > 0:
		return ReasonResting
	default:
		return ""
	}
}

// Closed is an endpoint to which this box may not send.
type Closed struct {
	Endpoint string
	Availability
}

const (
	// maxEntries bounds the number of endpoints whose notices are kept.
	maxEntries = 1024
	// maxRest bounds a rest, so that the time it ends at doesn't overflow.
	maxRest = 24 * time.Hour
	// leavingTimeout is how long an endpoint counts as leaving if its name doesn't
	// distinguish one start from the next; it is tried again after that.
	leavingTimeout = time.Minute
)

// Keeper keeps the notices. A nil Keeper keeps none. It is safe for concurrent use.
type Keeper struct {
	cfg     Config
	mutex   sync.Mutex
	entries map[string]entry
	// closed holds the endpoints that may be leaving or resting.
	closed map[string]bool
}

// New returns a Keeper.
func New(cfg Config) *Keeper {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Born == nil {
		cfg.Born = func(string) int64 { return 0 }
	}
	return &Keeper{cfg: cfg, entries: make(map[string]entry), closed: make(map[string]bool)}
}

// Answered records the notices in an answer.
func (k *Keeper) Answered(a Answer) {
	if k == nil {
		return
	}
	k.noteClosed(a)
	k.noteLimit(a)
}

// noteClosed records that an endpoint is leaving or wants rest. An answer without such a
// notice ends neither, because answers may arrive out of order.
func (k *Keeper) noteClosed(a Answer) {
	n := a.Notice
	if !n.Leaving && n.Rest <= 0 {
		return
	}
	now := k.cfg.Now()
	k.mutex.Lock()
	e := k.entries[a.Endpoint]
	before := e.standing(now, a.Born)
	if e.born != a.Born {
		e.leaving, e.leavingUntil, e.restUntil = false, time.Time{}, time.Time{}
	}
	e.born, e.updatedAt = a.Born, now
	if n.Leaving {
		e.leaving = true
		if a.Restarts {
			e.leavingUntil = now.Add(leavingTimeout)
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

func (k *Keeper) noteLimit(a Answer) {
	limit := a.Notice.Limit
	if !limit.Named && !a.Served {
		return
	}
	now := k.cfg.Now()
	k.mutex.Lock()
	e := k.entries[a.Endpoint]
	before := e.limit
	e.limit, e.limitAt, e.updatedAt = limit, now, now
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

// Heard records the limits known to a group's home, where they are newer than those known
// here.
func (k *Keeper) Heard(limits []schedule.EngineLimit) {
	if k == nil || len(limits) == 0 {
		return
	}
	now := k.cfg.Now()
	for _, l := range limits {
		before, later := k.updateLimit(now, l)
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

// updateLimit records a limit known to a home. It returns the limit known before, and
// whether the home's is newer.
func (k *Keeper) updateLimit(now time.Time, l schedule.EngineLimit) (before pace.Limit, later bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	e := k.entries[l.Engine]
	at := now.Add(-l.Age)
	if !at.After(e.limitAt) {
		return e.limit, false
	}
	before = e.limit
	e.limit, e.limitAt, e.updatedAt = l.Limit, at, at
	k.put(l.Engine, e)
	return before, true
}

// Any reports whether any notice is kept.
func (k *Keeper) Any() bool {
	if k == nil {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return len(k.entries) > 0
}

// maxSentLimits bounds the number of limits sent with one request for a grant.
const maxSentLimits = 16

// Limits returns the known limits of some endpoints. If there are more than maxSentLimits
// it returns a part of them, which starts at another endpoint for each turn.
func (k *Keeper) Limits(endpoints []table.Member, turn uint64) []schedule.EngineLimit {
	if k == nil {
		return nil
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.cfg.Now()
	var out []schedule.EngineLimit
	for _, m := range endpoints {
		if e := k.entries[m.Endpoint.Name]; e.limit.Named {
			out = append(out, schedule.EngineLimit{Engine: m.Endpoint.Name, Limit: e.limit, Age: now.Sub(e.limitAt)})
		}
	}
	if len(out) <= maxSentLimits {
		return out
	}
	first := int(turn % uint64(len(out)))
	return slices.Concat(out[first:], out[:first])[:maxSentLimits]
}

// Limited reports whether an endpoint has a limit, as far as this box knows.
func (k *Keeper) Limited(endpoint string) bool {
	if k == nil {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.entries[endpoint].limit.Named
}

// Availability returns whether this box may send to an endpoint.
func (k *Keeper) Availability(endpoint string) Availability {
	if k == nil {
		return Availability{}
	}
	k.mutex.Lock()
	e, may := k.entries[endpoint], k.closed[endpoint]
	k.mutex.Unlock()
	if !may {
		return Availability{}
	}
	return e.standing(k.cfg.Now(), k.cfg.Born(endpoint))
}

// Closed returns the endpoints to which this box may not send, sorted by name. It deletes
// the notices of closed endpoints that have become open again.
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
		standing := k.entries[endpoint].standing(now, born)
		if standing.Open() {
			k.clearClosed(endpoint)
		}
		k.mutex.Unlock()
		if !standing.Open() {
			out = append(out, Closed{Endpoint: endpoint, Availability: standing})
		}
	}
	return out
}

// ShortestRest returns the shortest remaining rest among the resting endpoints for which of
// returns true, or 0 if none rests.
func (k *Keeper) ShortestRest(of func(endpoint string) bool) time.Duration {
	least := time.Duration(0)
	for _, c := range k.Closed() {
		if !c.Leaving && (least == 0 || c.Rest < least) && of(c.Endpoint) {
			least = c.Rest
		}
	}
	return least
}

// clearClosed deletes what closed an endpoint, and keeps its limit. The caller holds the
// mutex.
func (k *Keeper) clearClosed(endpoint string) {
	delete(k.closed, endpoint)
	if e := k.entries[endpoint]; e.limit.Named {
		e.leaving, e.leavingUntil, e.restUntil = false, time.Time{}, time.Time{}
		k.entries[endpoint] = e
		return
	}
	delete(k.entries, endpoint)
}

// put replaces an endpoint's entry, or deletes it if it is empty. If there are too many
// entries it evicts one. The caller holds the mutex.
func (k *Keeper) put(endpoint string, e entry) {
	if !e.limit.Named && !e.leaving && e.restUntil.IsZero() {
		delete(k.entries, endpoint)
		return
	}
	if _, had := k.entries[endpoint]; !had && len(k.entries) >= maxEntries {
		k.evictOldest()
	}
	k.entries[endpoint] = e
}

// evictOldest deletes the least recently updated entry, preferably one of an endpoint that
// isn't closed, because a limit is also known to the endpoint's home.
func (k *Keeper) evictOldest() {
	oldest := ""
	for endpoint, e := range k.entries {
		if oldest == "" || k.evictedBefore(endpoint, e, oldest) {
			oldest = endpoint
		}
	}
	delete(k.entries, oldest)
	delete(k.closed, oldest)
}

// evictedBefore reports whether an endpoint is evicted before another one.
func (k *Keeper) evictedBefore(endpoint string, e entry, other string) bool {
	if k.closed[endpoint] != k.closed[other] {
		return k.closed[other]
	}
	return e.updatedAt.Before(k.entries[other].updatedAt)
}
