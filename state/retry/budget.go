// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package retry bounds how many further arrivals the retries of all boxes may
// bring to a service, without a word between the boxes: each box spends a
// share of its own requests and its part of the fixed allowance.
package retry

import "time"

// Config is the bound that holds for a service over all boxes.
type Config struct {
	// Ratio is the further arrivals allowed for each request, in any Window.
	Ratio float64
	// Slack is what is allowed besides.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// slots is the number of parts that a window is counted in.
	slots = 20
	// slackShare is the part of the fixed allowance that is used. The rest covers
	// what boxes spent before a restart in which they lost their count.
	slackShare = 0.5
	// ratioShare is the part of the allowance for requests that is used. A box
	// that restarts loses the count of its requests with that of its repeats; the
	// rest covers requests and repeats that fall into different windows.
	ratioShare = 0.9
)

// Budget counts one box's requests and repeats for one service; a value. Its
// times are how long the box has run, which no step of the wall clock changes.
type Budget struct {
	// at is the number of the newest slot since the box's start.
	at       int64
	requests [slots]float64
	repeats  [slots]float64
	width    time.Duration
}

// defaultWindow is used where the config says nothing.
const defaultWindow = 10 * time.Second

func (b Budget) moved(uptime time.Duration) Budget {
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
	b = b.moved(uptime)
	b.requests[b.at%slots]++
	return b
}

// slack is a box's part of the fixed allowance, of so many boxes. It grows from
// nothing over the first window: what the box spent before its start is not
// known.
func (c Config) slack(uptime time.Duration, boxes int) float64 {
	grown := min(max(float64(uptime)/float64(max(c.Window, 1)), 0), 1)
	return c.Slack / float64(max(boxes, 1)) * grown
}

// WithRepeat returns the budget after one further arrival, or false if this
// box, one of so many that share the bound, may bring no more now.
func (b Budget) WithRepeat(uptime time.Duration, cfg Config, boxes int) (Budget, bool) {
	if cfg.Window > 0 && b.width != cfg.Window/slots {
		b = Budget{width: cfg.Window / slots}.moved(uptime)
	}
	b = b.moved(uptime)
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
