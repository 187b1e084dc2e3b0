// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quota

import (
	"context"
	"time"

	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/modules/sleep"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/quota"
)

// Times of the asks.
const (
	// answerPatience is how long a home may be silent before the second in rank
	// is asked. A message and its answer take 1 ms between zones and some 10 ms
	// on a box with a fifth of a core under load.
	answerPatience = 80 * time.Millisecond
	// againPause is the wait before a box is asked again that was not the home,
	// or is finding out.
	againPause = 20 * time.Millisecond
	// probeEvery is how often a silent home is asked whether it is back.
	probeEvery = 500 * time.Millisecond
	// askFor bounds the asks for one request: one that is not answered, the second in
	// rank finding out for as long, and its word. Requests were held for up to 0.5 s
	// without it, where their target is 0.3.
	askFor = 2*answerPatience + 4*againPause
	// maxAsks bounds the messages of one request.
	maxAsks = 8
	// maxPurses is how many purses are kept before idle ones are dropped.
	maxPurses = 256
)

// Use is what one request wants of its account's quota.
type Use struct {
	ID      lifecycle.RequestID
	Account string
	// Cost is in the quota's unit.
	Cost float64
	// Wait and Patience are as in quota.Need.
	Wait, Patience time.Duration
}

// Verdict is the word on a use.
type Verdict struct {
	Outcome Outcome
	// From is where it was decided: a box, or empty for this box's purse.
	From string
	// Ask is the last question that was asked.
	Ask lifecycle.AttemptID
	quota.Decision
}

// Admit takes a request's cost from the purse, or asks the account's home.
func (k *Keeper) Admit(ctx context.Context, u Use) Verdict {
	begun, lacks, more := k.spend(u)
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

// putBack returns to a purse what was taken out of it for a refused request.
func (k *Keeper) putBack(account string, units float64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.purses[account] = k.purses[account].WithReturned(k.uptime(), units)
}

// GiveBack returns the cost of a request that reached no endpoint.
func (k *Keeper) GiveBack(account string, cost float64) {
	k.lend(account, k.uptime(), cost)
}

// spend takes what the purse has of a cost, and returns what it lacks and how much
// to ask for ahead of need.
func (k *Keeper) spend(u Use) (now time.Duration, lacks, more float64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now = k.uptime()
	life := k.cfg.Bound.LoanLife()
	if len(k.purses) >= maxPurses {
		k.dropIdle(now, life)
	}
	p, lacks := k.purses[u.Account].WithSpent(now, u.Cost)
	p = p.WithUse(now, u.Cost, life)
	k.purses[u.Account] = p
	return now, lacks, p.Ahead(now, life)
}

// dropIdle drops the purses that nobody has used for a while. The mutex is held.
func (k *Keeper) dropIdle(now, life time.Duration) {
	for name, p := range k.purses {
		if p.Idle(now, life) {
			delete(k.purses, name)
		}
	}
}

// lend puts units into the purse of an account, as of when they were asked for.
func (k *Keeper) lend(account string, asked time.Duration, units float64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.purses[account] = k.purses[account].WithLent(asked, units, k.cfg.Bound.LoanLife())
}

// askHomes asks the account's home, and the second in rank when it is silent.
func (k *Keeper) askHomes(ctx context.Context, u Use, need quota.Need) Verdict {
	v := Verdict{Outcome: Unanswered}
	ctx, cancel := context.WithTimeout(ctx, askFor)
	defer cancel()
	for number := uint32(1); number <= maxAsks && ctx.Err() == nil; number++ {
		v.Ask = lifecycle.AttemptID{Request: u.ID, Number: number}
		v.From = k.choose(u.Account)
		if v.From == "" {
			sleep.For(ctx, againPause)
			continue
		}
		a, answered := k.ask(ctx, v.From, Ask{ID: v.Ask, Account: u.Account, Need: need})
		switch {
		case !answered:
		case a.Outcome == Admitted || a.Outcome == Over:
			v.Outcome, v.Decision = a.Outcome, a.Decision
			return v
		default:
			sleep.For(ctx, againPause)
		}
	}
	return v
}

// choose is the box to ask about an account: its home, or the second in rank
// while the home is silent. A silent one is asked now and then whether it is back.
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
	if k.uptime()-k.unanswered[home] >= probeEvery {
		k.unanswered[home] = k.uptime() - answerPatience
		_ = k.cfg.Peers.SendAsk(home, Ask{ID: probeID(k.cfg.Self), Account: account})
	}
	return ranked[1]
}

// ask asks one box and waits for its answer; false is none in time.
func (k *Keeper) ask(ctx context.Context, to string, a Ask) (Answer, bool) {
	if to == k.cfg.Self {
		return k.decide(to, a), true
	}
	answer := make(chan Answer, 1)
	k.mutex.Lock()
	k.waiting[a.ID] = answer
	sent := k.cfg.Peers.SendAsk(to, a) == ring.Accepted
	if _, asked := k.unanswered[to]; sent && !asked {
		k.unanswered[to] = k.uptime()
	}
	k.mutex.Unlock()
	defer func() {
		k.mutex.Lock()
		delete(k.waiting, a.ID)
		k.mutex.Unlock()
	}()
	patience := answerPatience
	if !sent {
		patience = againPause
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case got := <-answer:
		return got, true
	case <-timer.C:
		return Answer{}, false
	case <-ctx.Done():
		return Answer{}, false
	}
}

// Answered takes an answer from another box. One that nobody waits for any more
// shows that the box can be reached; what it lends ends unused.
func (k *Keeper) Answered(from string, a Answer) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.unanswered, from)
	if answer, open := k.waiting[a.ID]; open {
		delete(k.waiting, a.ID)
		answer <- a
	}
}
