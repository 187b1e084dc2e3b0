// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package retry bounds the additional arrivals that the retries of all boxes bring to a
// service, without communication between the boxes: each box spends a share of its own requests
// and its part of the fixed allowance.
package retry

import "time"

// Config is the bound for a service over all boxes.
type Config struct {
	// Ratio is the number of additional arrivals allowed per request, in any Window.
	Ratio float64
	// Slack is the fixed allowance of additional arrivals in any Window.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// slots is the number of intervals in which a window is counted.
	slots = 20
	// slackShare is the part of the fixed allowance that is used. The rest covers what boxes
	// spent before a restart that lost their counts.
	slackShare = 0.5
	// ratioShare is the part of the allowance for requests that is used. A box that restarts
	// loses the counts of its requests and its repeats together; the rest covers requests and
	// repeats in different windows.
	ratioShare = 0.9
)

// Budget counts the requests and repeats of one box for one service. It is an immutable value.
// Times are the uptime of the box, so steps of the wall clock don't affect it.
type Budget struct {
	// at is the index of the newest slot, counted from the start of the box.
	at       int64
	requests [slots]float64
	repeats  [slots]float64
	width    time.Duration
}

// defaultWindow applies if no window is configured.
const defaultWindow = 10 * time.Second

// advanced returns the budget with the slots cleared that have begun since the last call.
func (b Budget) advanced(uptime time.Duration) Budget {
	if b.width <= 0 {
		b.width = defaultWindow / slots
	}
	at := int64(uptime / b.width)
	for ; b.at < at && at-b.at < slots; b.at++ {
		i := (b.at + 1) % slots
		b.requests[i], b.repeats[i] = 0, 0
	}
	if at-b.at >= slots {
		b.requests, b.repeats = [slots]float64{}, [slots]float64{}
	}
	b.at = max(b.at, at)
	return b
}

// WithRequest returns the budget after one request.
func (b Budget) WithRequest(uptime time.Duration) Budget {
	b = b.advanced(uptime)
	b.requests[b.at%slots]++
	return b
}

// slack returns one box's part of the fixed allowance. It grows from zero over the first
// window, because what the box spent before its start is unknown.
func (c Config) slack(uptime time.Duration, boxes int) float64 {
	ramp := min(max(float64(uptime)/float64(max(c.Window, 1)), 0), 1)
	return c.Slack / float64(max(boxes, 1)) * ramp
}

// WithRepeat returns the budget after one additional arrival, or false if this box, one of so
// many that share the bound, must not add any now.
func (b Budget) WithRepeat(uptime time.Duration, cfg Config, boxes int) (Budget, bool) {
	if cfg.Window > 0 && b.width != cfg.Window/slots {
		b = Budget{width: cfg.Window / slots}.advanced(uptime)
	}
	b = b.advanced(uptime)
	requests, repeats := 0.0, 0.0
	for i := range b.requests {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	allowed := ratioShare*cfg.Ratio*requests + slackShare*cfg.slack(uptime, boxes)
	if repeats+1 > allowed {
		return b, false
	}
	b.repeats[b.at%slots]++
	return b, true
}
