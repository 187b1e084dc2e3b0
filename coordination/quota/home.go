// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quota

import (
	"maps"
	"slices"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/quota"
)

// Receive answers another box's question. The question doesn't show that the other box can
// be reached from here: a network partition may affect one direction only.
func (k *Keeper) Receive(from string, a Ask) {
	k.cfg.Peers.SendAnswer(from, k.decide(from, a))
}

// decide answers a question as the account's home, or reports that this box is not its
// home.
func (k *Keeper) decide(from string, a Ask) Answer {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	out := Answer{ID: a.ID, Outcome: Admitted}
	if a.Cost <= 0 {
		return out
	}
	limit, known := k.accounts[a.Account]
	if !known {
		// The tables of the two boxes differ; they will agree by a later question.
		out.Outcome = NotHome
		return out
	}
	terms, outcome := k.terms(a.Account)
	if outcome != Admitted {
		out.Outcome = outcome
		return out
	}
	now := k.uptime()
	b, there := k.buckets[a.Account]
	if !there {
		k.cfg.Log.WithFields(log.Fields{"account": a.Account, "stands_in": terms.acting}).Info("quota_home_started")
	}
	b.acting = terms.acting
	t := k.cfg.Bound.Terms(limit, terms.fleet.Seen, terms.fleet.All)
	if terms.acting {
		t = t.Acting()
	}
	b.Bucket = b.WithTime(now, t)
	level := b.Level()
	b.Bucket, out.Decision = b.WithNeed(a.Need, t)
	k.count(&b, a, out.Decision, now)
	k.buckets[a.Account] = b
	if !out.Admitted {
		out.Outcome = Over
		k.logRefused(from, a, out, t, level)
	}
	return out
}

// homeTerms are the conditions under which this box decides on an account.
type homeTerms struct {
	fleet  Fleet
	acting bool
}

// terms reports whether this box may decide on an account now, and under which conditions.
// The caller holds the mutex.
func (k *Keeper) terms(account string) (homeTerms, Outcome) {
	fleet := k.cfg.Fleet()
	if fleet.All == 0 {
		// A box that does not know the others cannot compute its share.
		return homeTerms{}, Checking
	}
	ranked := k.cfg.Ranked(account)
	switch slices.Index(ranked, k.cfg.Self) {
	case 0:
		return homeTerms{fleet: fleet}, Admitted
	case 1:
		if k.silent(ranked[0]) {
			return homeTerms{fleet: fleet, acting: true}, Admitted
		}
		if b, there := k.buckets[account]; there && b.acting {
			k.drop(account, "home_regained")
		}
		k.probe(ranked[0], account)
		return homeTerms{}, Checking
	default:
		return homeTerms{}, NotHome
	}
}

// probe sends a question without cost to a home to see whether it can be reached, unless
// one is pending. The caller holds the mutex.
func (k *Keeper) probe(box, account string) {
	if _, asked := k.unanswered[box]; asked {
		return
	}
	k.unanswered[box] = k.uptime()
	// A probe that does not fit the queue is handled like a lost one: no answer comes.
	_ = k.cfg.Peers.SendAsk(box, Ask{ID: probeID(k.cfg.Self), Account: account})
}

// probeID returns the ID of questions whose answer is not waited for.
func probeID(box string) lifecycle.AttemptID {
	return lifecycle.AttemptID{Request: lifecycle.RequestID{Box: box}}
}

// silent reports whether a box has failed to answer this one in time. The caller holds the
// mutex.
func (k *Keeper) silent(box string) bool {
	since, asked := k.unanswered[box]
	return asked && k.uptime()-since >= answerTimeout
}

// count records a decision for operators. The caller holds the mutex.
func (k *Keeper) count(b *bucket, a Ask, d quota.Decision, now time.Duration) {
	window := max(k.cfg.Bound.Window, time.Second)
	if now-b.since >= window {
		b.before, b.lent = b.lent, 0
		if now-b.since >= 2*window {
			b.before = 0
		}
		b.since = now
	}
	c := k.counts[a.Account]
	if d.Admitted {
		b.lent += a.Cost + d.More
		c.Admitted++
	} else {
		c.Refused++
	}
	k.counts[a.Account] = c
}

// logRefused logs a refusal with the state that it was decided on. The caller holds the
// mutex.
func (k *Keeper) logRefused(from string, a Ask, out Answer, t quota.Terms, level float64) {
	k.cfg.Log.WithFields(log.Fields{
		log.FieldAsk: a.ID.String(),
		"account":    a.Account,
		"peer":       from,
		"cost":       a.Cost,
		"level":      int64(level),
		"rate":       int64(t.Rate),
		"burst":      int64(t.Burst),
		"retry_ms":   out.RetryAfter.Milliseconds(),
	}).Info("quota_refused")
}

// Status returns the state of the quotas at this box, for operators.
func (k *Keeper) Status() Status {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.uptime()
	fleet := k.cfg.Fleet()
	s := Status{Sees: fleet.Seen, Of: fleet.All, WindowMS: k.cfg.Bound.Window.Milliseconds()}
	for _, name := range slices.Sorted(maps.Keys(k.buckets)) {
		b, limit := k.buckets[name], k.accounts[name]
		t := k.cfg.Bound.Terms(limit, fleet.Seen, fleet.All)
		s.Accounts = append(s.Accounts, AccountStatus{
			Account: name, Unit: limit.Unit, Rate: t.Rate, Burst: t.Burst,
			Level: b.WithTime(now, t).Level(), Used: max(b.lent, b.before), StandsIn: b.acting,
			Admitted: k.counts[name].Admitted, Refused: k.counts[name].Refused,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(k.purses)) {
		if left := k.purses[name].Balance(now); left > 0 {
			s.Purses = append(s.Purses, PurseStatus{Account: name, Left: left})
		}
	}
	return s
}
