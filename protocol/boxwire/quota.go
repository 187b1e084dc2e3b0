// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"math"
	"time"

	"runridge.example/runridge/coordination/quota"
	limits "runridge.example/runridge/state/quota"
)

// QuotaAsk asks the home of an account for part of its quota. It takes some 20 bytes.
type QuotaAsk struct {
	Attempt
	Account string
	// Cost is what the request needs and More what is asked for ahead of need, in whole units.
	Cost, More         int64
	WaitMS, PatienceMS int64
}

// QuotaAnswer is the home's answer to a QuotaAsk. It takes some 12 bytes.
type QuotaAnswer struct {
	Attempt
	Outcome uint8
	More    int64
	WaitMS  int64
	RetryMS int64
}

// Kind returns KindQuotaAsk.
func (*QuotaAsk) Kind() Kind { return KindQuotaAsk }

// Kind returns KindQuotaAnswer.
func (*QuotaAnswer) Kind() Kind { return KindQuotaAnswer }

// FromQuotaAsk converts an ask to its message. The cost is rounded up, what is asked
// for ahead of need is rounded down.
func FromQuotaAsk(a quota.Ask) *QuotaAsk {
	return &QuotaAsk{
		Attempt:    FromAttempt(a.ID),
		Account:    a.Account,
		Cost:       int64(math.Ceil(a.Cost)),
		More:       int64(a.More),
		WaitMS:     a.Wait.Milliseconds(),
		PatienceMS: a.Patience.Milliseconds(),
	}
}

// Ask converts the message back; the attempt belongs to the sender.
func (m *QuotaAsk) Ask(sender Owner) quota.Ask {
	return quota.Ask{
		ID:      m.ID(sender),
		Account: m.Account,
		Need: limits.Need{
			Cost:     float64(m.Cost),
			More:     float64(m.More),
			Wait:     time.Duration(m.WaitMS) * time.Millisecond,
			Patience: time.Duration(m.PatienceMS) * time.Millisecond,
		},
	}
}

// FromQuotaAnswer converts an answer to its message. Waits are rounded up.
func FromQuotaAnswer(a quota.Answer) *QuotaAnswer {
	return &QuotaAnswer{
		Attempt: FromAttempt(a.ID),
		Outcome: uint8(a.Outcome),
		More:    int64(a.More),
		WaitMS:  ceilMS(a.Wait),
		RetryMS: ceilMS(a.RetryAfter),
	}
}

// ceilMS returns a duration in whole milliseconds, rounded up.
func ceilMS(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// Answer converts the message back; the attempt belongs to this box.
func (m *QuotaAnswer) Answer(self Owner) quota.Answer {
	return quota.Answer{
		ID:      m.ID(self),
		Outcome: quota.Outcome(m.Outcome),
		Decision: limits.Decision{
			Admitted:   quota.Outcome(m.Outcome) == quota.Admitted,
			More:       float64(m.More),
			Wait:       time.Duration(m.WaitMS) * time.Millisecond,
			RetryAfter: time.Duration(m.RetryMS) * time.Millisecond,
		},
	}
}
