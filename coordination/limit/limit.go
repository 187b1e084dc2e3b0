// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package limit keeps the limits that endpoints name in their answers, as far as this box
// has been told of them.
package limit

import (
	"sync"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/pace"
)

// Config configures a Keeper.
type Config struct {
	Log log.Logger
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

// Answered takes in what an answer says of its endpoint, and reports whether that is
// another limit than was known.
func (k *Keeper) Answered(a Answered) bool {
	if k == nil || !a.Limit.Named && !a.Served {
		return false
	}
	k.mutex.Lock()
	before := k.known[a.Endpoint]
	k.keep(a.Endpoint, known{limit: a.Limit, at: k.cfg.Now()})
	k.mutex.Unlock()
	if before.limit == a.Limit {
		return false
	}
	k.cfg.Log.WithFields(log.Fields{
		log.FieldRequest: a.Request,
		log.FieldEngine:  a.Endpoint,
		"named":          a.Limit.Named,
		"per_second":     a.Limit.PerSecond,
		"named_before":   before.limit.Named,
		"before":         before.limit.PerSecond,
	}).Info("endpoint_limit_told")
	return true
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

// Of is the limit that an endpoint names, as far as this box knows.
func (k *Keeper) Of(endpoint string) pace.Limit {
	if k == nil {
		return pace.Limit{}
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.known[endpoint].limit
}
