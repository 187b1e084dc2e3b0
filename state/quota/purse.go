// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quota

import (
	"math"
	"time"
)

// Purse holds the tokens of one account's quota that were lent to one box. It is an immutable
// value; the zero value is empty.
type Purse struct {
	balance float64
	expires time.Duration
	// used is the recent use in units, as of at; it decays by half in each loan life.
	used float64
	at   time.Duration
}

// WithCharge takes a cost out of the purse and returns the part that the purse lacks, which the
// box has to ask for. A cost is always charged to the balance first, so a box never accumulates
// more than one loan ahead of need.
func (p Purse) WithCharge(now time.Duration, cost float64) (Purse, float64) {
	if now >= p.expires {
		p.balance = 0
	}
	taken := min(p.balance, cost)
	p.balance -= taken
	return p, cost - taken
}

// WithLent adds a loan, which expires one life after it was requested.
func (p Purse) WithLent(requested time.Duration, units float64, life time.Duration) Purse {
	if units <= 0 || life <= 0 {
		return p
	}
	if requested >= p.expires {
		p.balance = 0
	}
	p.balance += units
	p.expires = max(p.expires, requested+life)
	return p
}

// WithReturned puts back units that were taken out, unless the loan has expired meanwhile.
func (p Purse) WithReturned(now time.Duration, units float64) Purse {
	if now < p.expires {
		p.balance += units
	}
	return p
}

// WithUse counts what the box's requests use of the account. Ahead sizes the next loan by it.
func (p Purse) WithUse(now time.Duration, cost float64, life time.Duration) Purse {
	p.used = p.recentUse(now, life) + cost
	p.at = now
	return p
}

func (p Purse) recentUse(now, life time.Duration) float64 {
	if life <= 0 {
		return 0
	}
	return p.used * math.Exp2(-max(now-p.at, 0).Seconds()/life.Seconds())
}

// Ahead returns how much the box should ask for ahead of need: what it uses in one life at its
// current rate. A single use decays to half in a life, so for a steady use the decayed sum is
// 1/ln 2 times the use per life.
func (p Purse) Ahead(now, life time.Duration) float64 {
	return p.recentUse(now, life) * math.Ln2
}

// Balance returns the units that may still be spent.
func (p Purse) Balance(now time.Duration) float64 {
	if now >= p.expires {
		return 0
	}
	return p.balance
}

// Idle reports whether the purse holds nothing worth keeping.
func (p Purse) Idle(now, life time.Duration) bool {
	return now >= p.expires && now-p.at > idleLives*max(life, time.Second)
}

// idleLives is the number of loan lives without use after which a purse is dropped.
const idleLives = 30
