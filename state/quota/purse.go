// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quota

import (
	"math"
	"time"
)

// Purse is what one box was lent of one account's quota. It is an immutable
// value; the zero value is empty.
type Purse struct {
	left float64
	ends time.Duration
	// used decays by half in each loan life, as of at.
	used float64
	at   time.Duration
}

// WithSpent takes a cost out of the purse. What the purse lacks of it is returned
// and has to be asked for: what lies in a purse is never set against less than
// it is, so that no more than one loan ahead of need gathers in a box.
func (p Purse) WithSpent(now time.Duration, cost float64) (Purse, float64) {
	if now >= p.ends {
		p.left = 0
	}
	taken := min(p.left, cost)
	p.left -= taken
	return p, cost - taken
}

// WithLent adds what was lent and ends one life after it was asked for.
func (p Purse) WithLent(asked time.Duration, units float64, life time.Duration) Purse {
	if units <= 0 || life <= 0 {
		return p
	}
	if asked >= p.ends {
		p.left = 0
	}
	p.left += units
	p.ends = max(p.ends, asked+life)
	return p
}

// WithReturned puts back what was taken out of it, if it has not ended meanwhile.
func (p Purse) WithReturned(now time.Duration, units float64) Purse {
	if now < p.ends {
		p.left += units
	}
	return p
}

// WithUse notes what the box's requests use of the account, so that the next
// loan can be as large as the use in one life.
func (p Purse) WithUse(now time.Duration, cost float64, life time.Duration) Purse {
	p.used = p.recent(now, life) + cost
	p.at = now
	return p
}

func (p Purse) recent(now, life time.Duration) float64 {
	if life <= 0 {
		return 0
	}
	return p.used * math.Exp2(-max(now-p.at, 0).Seconds()/life.Seconds())
}

// Ahead is how much the box should ask for ahead of need: what it uses in one
// life at its present rate. One use decays to half in a life, so the sum of a
// steady use is 1/ln 2 of it.
func (p Purse) Ahead(now, life time.Duration) float64 {
	return p.recent(now, life) * math.Ln2
}

// Left is what may still be spent, in units.
func (p Purse) Left(now time.Duration) float64 {
	if now >= p.ends {
		return 0
	}
	return p.left
}

// Idle says that the purse holds nothing worth keeping.
func (p Purse) Idle(now, life time.Duration) bool {
	return now >= p.ends && now-p.at > idleLives*max(life, time.Second)
}

// idleLives is after how many lives without use a purse is dropped.
const idleLives = 30
