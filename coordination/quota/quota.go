// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package quota enforces the quotas of client accounts across all boxes. Each account has a
// home, the first box in its rank, which accounts for all boxes and lends quota units to
// those that ask; a box keeps what it was lent in a purse. The second box in rank stands in
// for a home that it cannot reach either. The state of a home is soft: the next home starts
// as if the whole quota had been spent, except for a part of the slack.
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

// Ask is a box's question to the home of an account. A question without cost only probes
// whether the home can be reached.
type Ask struct {
	ID      lifecycle.AttemptID
	Account string
	quota.Need
}

// Answer is the answer to an Ask.
type Answer struct {
	ID      lifecycle.AttemptID
	Outcome Outcome
	quota.Decision
}

// Outcome is the outcome of an Ask.
type Outcome uint8

// Outcomes.
const (
	// Admitted means that the request is within the quota.
	Admitted Outcome = iota + 1
	// Over means that the quota has no headroom in time.
	Over
	// NotHome means that the box that was asked is not the account's home.
	NotHome
	// Checking means that the second in rank is finding out whether it can reach the home;
	// it is to be asked again.
	Checking
	// Unanswered means that no box that may decide was reached.
	Unanswered
)

// Peers sends messages to other boxes. Calls must not block.
type Peers interface {
	SendAsk(to string, a Ask) ring.Outcome
	SendAnswer(to string, a Answer)
}

// Fleet is the number of boxes.
type Fleet struct {
	// Seen is the number of active boxes as this box sees it, and All the number that may
	// exist, unreachable ones included. All is 0 before the list has been read.
	Seen, All int
}

// Config configures a Keeper.
type Config struct {
	Self  string
	Peers Peers
	// Ranked returns the first boxes in an account's rank.
	Ranked func(account string) []string
	Fleet  func() Fleet
	// Bound is the tolerance beyond a quota that the rules allow.
	Bound quota.Bound
	Log   log.Logger
	Now   func() time.Time
}

// Keeper is one box's part in enforcing quotas: it is the home of some accounts, and keeps
// the purses from which its own requests are admitted.
type Keeper struct {
	cfg     Config
	started time.Time

	mutex    sync.Mutex
	accounts map[string]table.Quota
	buckets  map[string]bucket
	purses   map[string]quota.Purse
	// unanswered is the uptime since which a box has not answered this one.
	unanswered map[string]time.Duration
	waiting    map[lifecycle.AttemptID]chan<- Verdict
	counts     map[string]Counts
}

// bucket is an account's token bucket at this box.
type bucket struct {
	quota.Bucket
	// acting reports that this box stands in for a silent home.
	acting bool
	// lent is the number of units lent in the window that began at since, and before the
	// number in the window before it, for operators.
	lent, before float64
	since        time.Duration
}

// Counts are the decisions of this box as a home on one account.
type Counts struct {
	Admitted, Refused uint64
}

// New returns a keeper without accounts.
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
		waiting:    make(map[lifecycle.AttemptID]chan<- Verdict),
		counts:     make(map[string]Counts),
	}
}

// uptime returns how long the process has run, by the monotonic clock.
func (k *Keeper) uptime() time.Duration { return k.cfg.Now().Sub(k.started) }

// SetBound replaces the tolerance beyond a quota.
func (k *Keeper) SetBound(b quota.Bound) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.cfg.Bound = b
}

// SetTable applies the quotas of a table, and drops the state of accounts that no longer
// have one.
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

// FleetChanged drops the buckets of accounts that have another home now. If an account
// comes back to this box, it starts empty like at any new home.
func (k *Keeper) FleetChanged() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for name := range k.buckets {
		if rank := k.rank(name); rank < 0 || rank > 0 && !k.buckets[name].acting {
			k.drop(name, "home_moved")
		}
	}
}

// NotePause drops all buckets: this box was paused or was taken for dead, and other homes may
// have lent the same units meanwhile.
func (k *Keeper) NotePause() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for name := range k.buckets {
		k.drop(name, "own_pause")
	}
}

// drop ends this box's role as home of an account. The caller holds the mutex.
func (k *Keeper) drop(account, reason string) {
	delete(k.buckets, account)
	k.cfg.Log.WithFields(log.Fields{"account": account, log.FieldReason: reason}).Info("quota_home_ended")
}

// rank returns this box's index in the rank of an account, or -1. The caller holds the
// mutex.
func (k *Keeper) rank(account string) int {
	return slices.Index(k.cfg.Ranked(account), k.cfg.Self)
}

// Status is the state of the quotas at a box, for operators.
type Status struct {
	// Sees is how many boxes this one sees, and Of how many may exist.
	Sees int `json:"sees"`
	Of   int `json:"of"`
	// WindowMS is the window of the quotas, in milliseconds.
	WindowMS int64 `json:"window_ms"`
	// Accounts are the accounts that this box is home of.
	Accounts []AccountStatus `json:"accounts,omitempty"`
	// Purses are the units that this box was lent for its own requests.
	Purses []PurseStatus `json:"purses,omitempty"`
}

// AccountStatus is the state of one account at its home. Amounts are in the quota's unit.
type AccountStatus struct {
	Account string  `json:"account"`
	Unit    string  `json:"unit"`
	Rate    float64 `json:"rate"`
	Burst   float64 `json:"burst"`
	// Level is what remains now, and Used what was lent in the fuller of the last two
	// windows.
	Level float64 `json:"level"`
	Used  float64 `json:"used"`
	// StandsIn reports that this box decides in place of a silent home.
	StandsIn bool   `json:"stands_in,omitempty"`
	Admitted uint64 `json:"admitted"`
	Refused  uint64 `json:"refused"`
}

// PurseStatus is the remaining part of a loan.
type PurseStatus struct {
	Account string  `json:"account"`
	Left    float64 `json:"left"`
}
