// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package limit keeps the limits that endpoints name in their answers, as far as this box
// has been told of them: by the endpoints themselves, or by the homes of their groups. Homes
// count what is sent; a box tells them what it knows with each question.
package limit

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
	// OnChange, if set, is called when an endpoint's answer changes what is known of its
	// limit. It must not block.
	OnChange func(l schedule.EngineLimit)
	Log      log.Logger
	// Now is the clock; nil is that of the machine.
	Now func() time.Time
}

// Answered is an endpoint's answer to a request of this box.
type Answered struct {
	// Request and Endpoint name both.
	Request, Endpoint string
	// Limit is what the answer names.
	Limit pace.Limit
	// Served says that the endpoint took the request. Only such an answer shows by naming no
	// limit that there is none any more: what turns requests away may not say all.
	Served bool
}

// known is what this box knows of an endpoint, and as of when.
type known struct {
	limit pace.Limit
	at    time.Time
}

// maxKnown bounds the endpoints whose limits are kept.
const maxKnown = 1024

// Keeper keeps the limits. A nil one keeps none. It is safe for use by several goroutines.
type Keeper struct {
	cfg   Config
	mutex sync.Mutex
	known map[string]known
}

// New makes a keeper.
func New(cfg Config) *Keeper {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Keeper{cfg: cfg, known: make(map[string]known)}
}

// Answered takes in what an answer says of its endpoint.
func (k *Keeper) Answered(a Answered) {
	if k == nil || !a.Limit.Named && !a.Served {
		return
	}
	k.mutex.Lock()
	before := k.known[a.Endpoint]
	k.keep(a.Endpoint, known{limit: a.Limit, at: k.cfg.Now()})
	k.mutex.Unlock()
	if before.limit == a.Limit {
		return
	}
	k.cfg.Log.WithFields(log.Fields{
		log.FieldRequest: a.Request,
		log.FieldEngine:  a.Endpoint,
		"named":          a.Limit.Named,
		"per_second":     a.Limit.PerSecond,
		"named_before":   before.limit.Named,
		"before":         before.limit.PerSecond,
	}).Info("endpoint_limit_told")
	if k.cfg.OnChange != nil {
		k.cfg.OnChange(schedule.EngineLimit{Engine: a.Endpoint, Limit: a.Limit})
	}
}

// Heard takes in what a group's home knows, where that is later than what is known here.
func (k *Keeper) Heard(limits []schedule.EngineLimit) {
	if k == nil || len(limits) == 0 {
		return
	}
	now := k.cfg.Now()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, l := range limits {
		if at := now.Add(-l.Age); at.After(k.known[l.Engine].at) {
			k.keep(l.Engine, known{limit: l.Limit, at: at})
		}
	}
}

// maxTold bounds the limits that go with one question.
const maxTold = 16

// Known lists what is known of some endpoints: of many a part, another one at each turn.
func (k *Keeper) Known(endpoints []table.Member, turn uint64) []schedule.EngineLimit {
	if k == nil {
		return nil
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if len(k.known) == 0 {
		return nil
	}
	now := k.cfg.Now()
	var out []schedule.EngineLimit
	for _, m := range endpoints {
		if of, ok := k.known[m.Endpoint.Name]; ok {
			out = append(out, schedule.EngineLimit{Engine: m.Endpoint.Name, Limit: of.limit, Age: now.Sub(of.at)})
		}
	}
	if len(out) <= maxTold {
		return out
	}
	first := int(turn % uint64(len(out)))
	return slices.Concat(out[first:], out[:first])[:maxTold]
}

// Names says whether an endpoint names a limit, as far as this box knows.
func (k *Keeper) Names(endpoint string) bool {
	if k == nil {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.known[endpoint].limit.Named
}

// keep replaces what is known of an endpoint; with too many, the one that was heard of the
// longest ago is forgotten. The mutex is held.
func (k *Keeper) keep(endpoint string, now known) {
	if !now.limit.Named {
		delete(k.known, endpoint)
		return
	}
	if _, had := k.known[endpoint]; !had && len(k.known) >= maxKnown {
		k.forgetOldest()
	}
	k.known[endpoint] = now
}

func (k *Keeper) forgetOldest() {
	oldest, at := "", time.Time{}
	for endpoint, of := range k.known {
		if oldest == "" || of.at.Before(at) {
			oldest, at = endpoint, of.at
		}
	}
	delete(k.known, oldest)
}
