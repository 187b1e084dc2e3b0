// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pace

import (
	"slices"
	"time"
)

const (
	// SendWithin is how long after its grant, or after the message that its prefill is done, a
	// box may start to send a request to a cold endpoint; later it has to ask again. The
	// remaining time up to MaxSendDelay allows for opening a connection.
	SendWithin = 150 * time.Millisecond
	// MaxSendDelay is the maximum time from the grant, or from that message, until the request
	// is sent.
	MaxSendDelay = 200 * time.Millisecond
	// OpenTimeout is how long after its grant a request may be sent to the cold endpoint that
	// decodes it. A box gives up on a prefill after 1.5 times its target: 1.4 s for a target of
	// 0.9 s.
	OpenTimeout = 2 * time.Second
	// Span is how long a request counts after the last moment at which it is known not to have
	// been sent: a second, plus the time until it is sent.
	Span = time.Second + MaxSendDelay
)

// Window counts the recent grants for one cold endpoint. A request counts from its grant until
// one second after the latest time at which it can be sent, so all requests sent within any
// second count at the end of that second: as long as the count is within a limit, so are the
// arrivals of each second. It is an immutable value; times are relative to the start of the
// group.
//
// A token bucket has to fit its burst plus the refill of the second into the bound: it uses
// 0.30 of a bound of 6.5 per second, the window 0.65 (TestCompareBoundings).
type Window struct {
	// sent holds the last known times at which requests had not been sent, in ascending order.
	sent []time.Duration
	// open holds the times of the grants whose requests have yet to be sent.
	open []time.Duration
}

// WithSent returns the window after a request that will be sent within MaxSendDelay of now.
func (w Window) WithSent(now time.Duration) Window {
	// Older requests no longer count.
	sent := slices.DeleteFunc(slices.Clone(w.sent), func(at time.Duration) bool { return now-at >= Span })
	i, _ := slices.BinarySearch(sent, now)
	w.sent = slices.Insert(sent, i, now)
	return w
}

// WithOpen returns the window after a grant whose request is sent later, once its prefill is
// done.
func (w Window) WithOpen(granted time.Duration) Window {
	w.open = slices.DeleteFunc(slices.Clone(w.open), func(at time.Duration) bool { return granted-at >= OpenTimeout+Span })
	w.open = append(w.open, granted)
	return w
}

// WithDone returns the window after the message that an open request will be sent within
// MaxSendDelay of now, or was sent already.
func (w Window) WithDone(granted, now time.Duration) Window {
	i := slices.Index(w.open, granted)
	if i < 0 {
		return w
	}
	w.open = slices.Delete(slices.Clone(w.open), i, i+1)
	return w.WithSent(min(now, granted+OpenTimeout))
}

// Count returns how many requests count now.
func (w Window) Count(now time.Duration) int {
	count := 0
	for _, at := range w.sent {
		if now-at < Span {
			count++
		}
	}
	for _, granted := range w.open {
		if now-granted < OpenTimeout+Span {
			count++
		}
	}
	return count
}

// FreeAt lists when each slot of the limit is free: now, or when the request in it stops
// counting. An open request is assumed to be sent now.
func (w Window) FreeAt(now time.Duration, limit int) []time.Duration {
	var busy []time.Duration
	for _, at := range w.sent {
		if now-at < Span {
			busy = append(busy, at+Span)
		}
	}
	for _, granted := range w.open {
		if now-granted < OpenTimeout+Span {
			busy = append(busy, now+Span)
		}
	}
	slices.Sort(busy)
	// If there are more requests than the limit, the first ones to expire free no slot.
	busy = busy[max(len(busy)-limit, 0):]
	out := make([]time.Duration, 0, limit)
	for range limit - len(busy) {
		out = append(out, now)
	}
	return append(out, busy...)
}
