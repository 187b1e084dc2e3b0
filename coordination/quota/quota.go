// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package quota holds the quotas of client accounts over all boxes. Each account
// has a home, the first box in its rank, which counts for all and lends tokens
// to the boxes that ask; the second in rank stands in for a home that it cannot
// reach either. What a home knows is soft: the next one starts as if all had been
// spent, but for a part of the slack.
package quota

import (
	"slices"
	"sync"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/quota"
	"runridge.example/runridge/state/table"
)

// Ask is a box's question to the home of an account. One with no cost only asks
// whether the home can be reached.
type Ask struct {
	ID      lifecycle.AttemptID
	Account string
	quota.Need
}

// Answer is the word on an ask.
type Answer struct {
	ID      lifecycle.AttemptID
	Outcome Outcome
	quota.Decision
}

// Outcome of an ask.
type Outcome uint8

// Outcomes.
const (
	// Admitted requests are within the quota.
	Admitted Outcome = iota + 1
	// Over means that the quota has no room in time.
	Over
	// NotHome means that the box that was asked is not the account's home.
	NotHome
	// Checking means that the second in rank finds out whether it can reach the
	// home; it is asked again.
	Checking
	// Unanswered means that no box that may decide was reached.
	Unanswered
)

// Peers sends to other boxes; calls must not block.
type Peers interface {
	SendAsk(to string, a Ask) ring.Outcome
	SendAnswer(to string, a Answer)
}

// Fleet is how many boxes there are.
type Fleet struct {
	// Seen are those that may have duties as this box sees it, All those that
	// there may be, cut-off ones included. All is 0 before the list was read.
	Seen, All int
}

// Config configures a Keeper.
type Config struct {
	Self  string
	Peers Peers
	// Ranked lists the first boxes in an account's rank.
	Ranked func(account string) []string
	Fleet  func() Fleet
	// Bound is what the rules allow beyond a quota.
	Bound quota.Bound
	Log   log.Logger
	Now   func() time.Time
}

// Keeper is one box's part in the quotas: the home of some accounts, and the
// purses from which its own requests are admitted.
type Keeper struct {
	cfg     Config
	started time.Time

	mutex    sync.Mutex
	accounts map[string]table.Quota
	buckets  map[string]bucket
	purses   map[string]quota.Purse
	// unanswered is since when a box has not answered this one.
	unanswered map[string]time.Duration
	waiting    map[lifecycle.AttemptID]chan Answer
	counts     map[string]Counts
}

// bucket is an account's bucket at this box.
type bucket struct {
	quota.Bucket
	// acting says that this box stands in for a silent home.
	acting bool
	// lent is what was given out in the window that began at since, and before
	// what in the one before it, for operators.
	lent, before float64
	since        time.Duration
}

// Counts are the decisions of this box's homes on one account.
type Counts struct {
	Admitted, Refused uint64
}

// New makes a keeper.
func New(cfg Config) *Keeper {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Keeper{
		cfg:        cfg,
		started:    cfg.Now(),
		accounts:   make(map[string]table.Quota),
		buckets:    make(map[string]bucket),
		purses:     make(map[string]quota.Purse),
		unanswered: make(map[string]time.Duration),
		waiting:    make(map[lifecycle.AttemptID]chan Answer),
		counts:     make(map[string]Counts),
	}
}

// uptime is how long the box has run, by the steady clock.
func (k *Keeper) uptime() time.Duration { return k.cfg.Now().Sub(k.started) }

// SetBound replaces what the rules allow beyond a quota.
func (k *Keeper) SetBound(b quota.Bound) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.cfg.Bound = b
}

// SetTable puts the quotas of a table into force, and forgets what belonged to
// accounts that are gone.
func (k *Keeper) SetTable(t table.Table) {
	accounts := make(map[string]table.Quota, len(t.Accounts))
	for _, a := range t.Accounts {
		if a.Quota != nil {
			accounts[a.Name] = *a.Quota
		}
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.accounts = accounts
	for name := range k.buckets {
		if _, there := accounts[name]; !there {
			delete(k.buckets, name)
		}
	}
	for name := range k.purses {
		if _, there := accounts[name]; !there {
			delete(k.purses, name)
		}
	}
	for name := range k.counts {
		if _, there := accounts[name]; !there {
			delete(k.counts, name)
		}
	}
}

// FleetChanged drops the buckets of accounts that have another home now. If one
// of them comes back here, it starts empty like any new home.
func (k *Keeper) FleetChanged() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for name := range k.buckets {
		if rank := k.rank(name); rank < 0 || rank > 0 && !k.buckets[name].acting {
			k.drop(name, "home_moved")
		}
	}
}

// Paused drops all buckets: this box stood still or was taken for dead, and other
// homes may have given out meanwhile what these have.
func (k *Keeper) Paused() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for name := range k.buckets {
		k.drop(name, "own_pause")
	}
}

// drop ends this box's bucket of an account. The mutex is held.
func (k *Keeper) drop(account, reason string) {
	delete(k.buckets, account)
	k.cfg.Log.WithFields(log.Fields{"account": account, log.FieldReason: reason}).Info("quota_home_ended")
}

// rank is this box's place in the rank of an account; -1 is none. The mutex is
// held.
func (k *Keeper) rank(account string) int {
	return slices.Index(k.cfg.Ranked(account), k.cfg.Self)
}

// Status is what operators are told of a box's part in the quotas.
type Status struct {
	// Sees is how many boxes this one sees of all that there may be.
	Sees int `json:"sees"`
	Of   int `json:"of"`
	// WindowMS is the window of the quotas, in milliseconds.
	WindowMS int64 `json:"window_ms"`
	// Accounts are those that this box is home of.
	Accounts []AccountStatus `json:"accounts,omitempty"`
	// Purses are what this box was lent for requests of its own.
	Purses []PurseStatus `json:"purses,omitempty"`
}

// AccountStatus is one account at its home. Amounts are in the quota's unit.
type AccountStatus struct {
	Account string  `json:"account"`
	Unit    string  `json:"unit"`
	Rate    float64 `json:"rate"`
	Burst   float64 `json:"burst"`
	// Level is what is left now, and Used what was given out in the fuller one of
	// the last two windows.
	Level float64 `json:"level"`
	Used  float64 `json:"used"`
	// StandsIn says that this box decides in place of a silent home.
	StandsIn bool   `json:"stands_in,omitempty"`
	Admitted uint64 `json:"admitted"`
	Refused  uint64 `json:"refused"`
}

// PurseStatus is what is left of a loan.
type PurseStatus struct {
	Account string  `json:"account"`
	Left    float64 `json:"left"`
}
