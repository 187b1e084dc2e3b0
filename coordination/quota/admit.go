// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quota

import (
	"context"
	"time"

	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/quota"
)

// Timing and bounds of the questions to homes.
const (
	// answerTimeout is how long a home may stay silent before the second in rank is asked.
	// A message and its answer take 1 ms between zones, and some 10 ms on a box with a
	// fifth of a core under load.
	answerTimeout = 80 * time.Millisecond
	// askBackoff is the backoff before the next question when the box that was asked is not
	// the home or is still checking.
	askBackoff = 20 * time.Millisecond
	// probeInterval is how often a silent home is probed.
	probeInterval = 500 * time.Millisecond
	// minAskTime and maxAskTime bound the time of all questions for one request. The lower one
	// suffices for one question without an answer, the same time for the second in rank to check
	// the home, and its answer.
	minAskTime = 2*answerTimeout + 4*askBackoff
	maxAskTime = time.Second
	// maxAsks bounds the messages for one request. The answer to the last one is waited for until
	// the time is over.
	maxAsks = 8
	// maxPurses is the number of purses above which idle ones are dropped.
	maxPurses = 256
)

// Use is the quota that one request needs from its account.
type Use struct {
	ID      lifecycle.RequestID
	Account string
	// Cost is in the quota's unit.
	Cost float64
	// Wait and Patience are as in quota.Need.
	Wait, Patience time.Duration
	// AskTime is how long the request may wait for a decision, within minAskTime and maxAskTime.
	AskTime time.Duration
}

// Verdict is the decision on a Use.
type Verdict struct {
	Outcome Outcome
	// From is the box that decided or was asked last; empty means this box's purse.
	From string
	// Ask is the ID of the last question that was sent.
	Ask lifecycle.AttemptID
	quota.Decision
}

// Admit takes a request's cost from the account's purse, and asks the account's home for
// what is missing.
func (k *Keeper) Admit(ctx context.Context, u Use) Verdict {
	begun, lacks, more := k.takeFromPurse(u)
	if lacks <= 0 {
		return Verdict{Outcome: Admitted, Decision: quota.Decision{Admitted: true}}
	}
	v := k.askHomes(ctx, u, quota.Need{Cost: lacks, More: more, Wait: u.Wait, Patience: u.Patience})
	if v.Outcome == Admitted {
		k.lend(u.Account, begun, v.More)
		return v
	}
	k.putBack(u.Account, u.Cost-lacks)
	return v
}

// putBack returns to a purse what was taken for a request that was refused.
func (k *Keeper) putBack(account string, units float64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.purses[account] = k.purses[account].WithReturned(k.uptime(), units)
}

// Refund returns to the purse the cost of a request that reached no endpoint.
func (k *Keeper) Refund(account string, cost float64) {
	k.lend(account, k.uptime(), cost)
}

// takeFromPurse takes as much of a cost as the purse has. It returns the current uptime, the
// missing part, and how much to borrow ahead of need.
func (k *Keeper) takeFromPurse(u Use) (now time.Duration, lacks, more float64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now = k.uptime()
	life := k.cfg.Bound.LoanLife()
	if len(k.purses) >= maxPurses {
		k.dropIdle(now, life)
	}
	p, lacks := k.purses[u.Account].WithCharge(now, u.Cost)
	p = p.WithUse(now, u.Cost, life)
	k.purses[u.Account] = p
	return now, lacks, p.Ahead(now, life)
}

// dropIdle drops the purses that have been idle for a while. The caller holds the mutex.
func (k *Keeper) dropIdle(now, life time.Duration) {
	for name, p := range k.purses {
		if p.Idle(now, life) {
			delete(k.purses, name)
		}
	}
}

// lend adds units to the purse of an account, as of the time at which they were asked for.
func (k *Keeper) lend(account string, asked time.Duration, units float64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.purses[account] = k.purses[account].WithLent(asked, units, k.cfg.Bound.LoanLife())
}

// askHomes asks the account's home, or the second in rank while the home is silent, until
// one of them decides or the request's time for it has passed. A decision counts whichever question it answers.
func (k *Keeper) askHomes(ctx context.Context, u Use, need quota.Need) Verdict {
	ctx, cancel := context.WithTimeout(ctx, min(max(u.AskTime, minAskTime), maxAskTime))
	defer cancel()
	v := Verdict{Outcome: Unanswered}
	answers := make(chan Verdict, maxAsks)
	defer k.stopWaiting(u.ID)
	for number := uint32(1); number <= maxAsks && ctx.Err() == nil; number++ {
		v.Ask = lifecycle.AttemptID{Request: u.ID, Number: number}
		v.From = k.choose(u.Account)
		patience := askBackoff
		if v.From != "" {
			patience = k.ask(v.From, Ask{ID: v.Ask, Account: u.Account, Need: need}, answers)
		}
		if number == maxAsks {
			patience = maxAskTime
		}
		for answered := true; answered; {
			var got Verdict
			got, answered = next(ctx, answers, patience)
			if got.Outcome == Admitted || got.Outcome == Over {
				return got
			}
			if number < maxAsks {
				patience = askBackoff
			}
		}
	}
	return v
}

// next returns the next answer, or false if none comes in time.
func next(ctx context.Context, answers <-chan Verdict, patience time.Duration) (Verdict, bool) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case v := <-answers:
		return v, true
	case <-timer.C:
		return Verdict{}, false
	case <-ctx.Done():
		return Verdict{}, false
	}
}

// choose returns the box to ask about an account: its home, or the second in rank while the
// home is silent. It probes a silent home every probeInterval. It returns "" if no box is
// known.
func (k *Keeper) choose(account string) string {
	ranked := k.cfg.Ranked(account)
	if len(ranked) == 0 {
		return ""
	}
	home := ranked[0]
	if home == k.cfg.Self || len(ranked) == 1 {
		return home
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !k.silent(home) {
		return home
	}
	if k.uptime()-k.unanswered[home] >= probeInterval {
		k.unanswered[home] = k.uptime() - answerTimeout
		_ = k.cfg.Peers.SendAsk(home, Ask{ID: probeID(k.cfg.Self), Account: account})
	}
	return ranked[1]
}

// ask sends a question to a box and returns how long to wait for the answer before the next one.
func (k *Keeper) ask(to string, a Ask, answers chan<- Verdict) (patience time.Duration) {
	if to == k.cfg.Self {
		answers <- verdictOf(to, k.decide(to, a))
		return askBackoff
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.waiting[a.ID] = answers
	if k.cfg.Peers.SendAsk(to, a) != ring.Accepted {
		return askBackoff
	}
	if _, asked := k.unanswered[to]; !asked {
		k.unanswered[to] = k.uptime()
	}
	return answerTimeout
}

func verdictOf(from string, a Answer) Verdict {
	return Verdict{Outcome: a.Outcome, From: from, Ask: a.ID, Decision: a.Decision}
}

// stopWaiting ends the wait for answers to the questions about a request.
func (k *Keeper) stopWaiting(id lifecycle.RequestID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for number := uint32(1); number <= maxAsks; number++ {
		delete(k.waiting, lifecycle.AttemptID{Request: id, Number: number})
	}
}

// Answered receives an answer from another box. An answer that is no longer waited for
// still shows that the box can be reached; the units that it lends expire unused.
func (k *Keeper) Answered(from string, a Answer) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.unanswered, from)
	if answers, open := k.waiting[a.ID]; open {
		delete(k.waiting, a.ID)
		answers <- verdictOf(from, a)
	}
}
