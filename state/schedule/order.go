// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"math"
	"time"
)

// waiter is a request in the queue. Times are nanoseconds since the group's start.
type waiter struct {
	ask Ask
	// askedAt is when the ask arrived here, and arrivedAt when the request arrived at its box.
	askedAt   int64
	arrivedAt int64
	// deadline is the latest time of a first token that meets the target. For a late request it
	// is when its caller gives up.
	deadline int64
	// giveUpAt is when the caller of a resumed request stops waiting; 0 if that is not known.
	giveUpAt int64
	// idleNS is the time to the first token on an idle group.
	idleNS int64
	// late is true if the request can no longer meet its target.
	late bool
	// trial is true if the request starts although the estimates say that it misses its target.
	trial bool
}

// cannotMeetDeadline reports whether even an idle group could not meet the deadline, or for a resumed
// request could not go on before its caller gives up.
func (w *waiter) cannotMeetDeadline(now int64) bool {
	if w.ask.Resume {
		return w.giveUpAt > 0 && now+w.idleNS > w.giveUpAt
	}
	return !w.trial && now+w.idleNS > w.deadline
}

// decayedSum is a sum that decays exponentially; amount is its value at a time.
type decayedSum struct {
	amount float64
	at     int64
}

// usageHalfLife is the half-life of the prefill time charged to accounts and of the use of
// zones.
const usageHalfLife = float64(10 * time.Second)

func (u decayedSum) value(now int64, halfLife float64) float64 {
	return u.amount * math.Exp2(-float64(now-u.at)/halfLife)
}

// rate returns the steady rate per nanosecond that corresponds to the sum: a constant rate of r
// keeps the sum at r*halfLife/ln2.
func (u decayedSum) rate(now int64, halfLife float64) float64 {
	return u.value(now, halfLife) * math.Ln2 / halfLife
}

// plus returns the sum after adding more.
func (u decayedSum) plus(now int64, more, halfLife float64) decayedSum {
	return decayedSum{amount: u.value(now, halfLife) + more, at: now}
}

// accounts is the fairness state of all recently active accounts.
type accounts struct {
	// prefillUse is the recent prefill time of an account, divided by its weight. inFlight is
	// its number of grants in flight.
	prefillUse map[string]decayedSum
	inFlight   map[string]int
	// total is the decayed sum over all accounts.
	total decayedSum
}

func newAccounts() accounts {
	return accounts{prefillUse: make(map[string]decayedSum), inFlight: make(map[string]int)}
}

// charge records a grant of an account and its prefill time.
func (a *accounts) charge(name string, amount float64, now int64) {
	a.prefillUse[name] = a.prefillUse[name].plus(now, amount, usageHalfLife)
	a.total = a.total.plus(now, amount, usageHalfLife)
	a.inFlight[name]++
}

// release records that one of the account's grants has ended.
func (a *accounts) release(name string) {
	a.inFlight[name]--
	if a.inFlight[name] <= 0 {
		delete(a.inFlight, name)
	}
}

// prune removes accounts whose use has decayed to almost nothing.
func (a *accounts) prune(now int64) {
	const little = float64(time.Millisecond)
	for name, u := range a.prefillUse {
		if u.value(now, usageHalfLife) < little {
			delete(a.prefillUse, name)
		}
	}
}

// excess returns how far an account is above the average use, from 0 to 1.
func (a *accounts) excess(name string, now int64) float64 {
	if len(a.prefillUse) < 2 {
		return 0
	}
	average := a.total.value(now, usageHalfLife) / float64(len(a.prefillUse))
	if average <= 0 {
		return 0
	}
	return min(max(a.prefillUse[name].value(now, usageHalfLife)/average-1, 0), 1)
}

// orderKey returns the sort key of a waiter; the smallest goes first. A step of priority
// outweighs any deadline. Within a priority the earliest deadline goes first, where an account
// above its fair share is put back by up to one whole target and short requests go before long
// ones.
func (g *Group) orderKey(w *waiter, now int64) float64 {
	if g.cfg.Policy.NoOrder {
		return float64(w.arrivedAt)
	}
	target := float64(g.cfg.Targets.FirstToken)
	excess := g.accounts.excess(w.ask.Account, now) * target
	key := float64(w.deadline) + excess + idleTimeWeight*float64(w.idleNS) - float64(w.ask.Priority)*float64(priorityStep)
	if w.late {
		key += float64(lateOffset)
	}
	return key
}

const (
	// priorityStep is how much earlier one step of priority puts a request.
	priorityStep = time.Hour
	// lateOffset puts late requests behind all others, whatever their priority.
	lateOffset = 100 * priorityStep
	// idleTimeWeight is the weight of a request's own duration in the order.
	idleTimeWeight = 1.0
)

// nextWaiter returns the index and key of the waiter with the smallest key above last.
func (g *Group) nextWaiter(now int64, last float64) (int, float64) {
	index, lowest := none, math.Inf(1)
	for i, w := range g.waiting {
		k := g.orderKey(w, now)
		if k > last && k < lowest {
			index, lowest = i, k
		}
	}
	return index, lowest
}

// remove removes a waiter from the queue.
func (g *Group) remove(i int) {
	last := len(g.waiting) - 1
	g.waiting[i] = g.waiting[last]
	g.waiting[last] = nil
	g.waiting = g.waiting[:last]
}
