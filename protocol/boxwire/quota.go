// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"math"
	"time"

	"runridge.example/runridge/coordination/quota"
	limits "runridge.example/runridge/state/quota"
)

// QuotaAsk asks an account's home for part of its quota: some 20 bytes.
type QuotaAsk struct {
	Attempt
	Account string
	// Cost and More are whole units.
	Cost, More         int64
	WaitMS, PatienceMS int64
}

// QuotaAnswer is the home's word: some 12 bytes.
type QuotaAnswer struct {
	Attempt
	Outcome uint8
	More    int64
	WaitMS  int64
	RetryMS int64
}

// Kind is KindQuotaAsk.
func (*QuotaAsk) Kind() Kind { return KindQuotaAsk }

// Kind is KindQuotaAnswer.
func (*QuotaAnswer) Kind() Kind { return KindQuotaAnswer }

// FromQuotaAsk converts an ask. Its cost is rounded up, what is asked for ahead
// of need down.
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

// Ask converts it back; the attempt is the sender's.
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

// FromQuotaAnswer converts an answer. Waits are rounded up.
func FromQuotaAnswer(a quota.Answer) *QuotaAnswer {
	return &QuotaAnswer{
		Attempt: FromAttempt(a.ID),
		Outcome: uint8(a.Outcome),
		More:    int64(a.More),
		WaitMS:  upMS(a.Wait),
		RetryMS: upMS(a.RetryAfter),
	}
}

// upMS is a time in whole milliseconds, rounded up.
func upMS(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// Answer converts it back; the attempt is this box's.
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
