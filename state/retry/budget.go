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
	// share is the part of the bound that is used. The rest covers what boxes
	// spent before a restart in which they lost their count.
	share = 0.5
)

// Budget counts one box's requests and repeats for one service; a value.
type Budget struct {
	// at is the number of the newest slot since the epoch.
	at       int64
	requests [slots]float64
	repeats  [slots]float64
	width    time.Duration
}

// defaultWindow is used where the config says nothing.
const defaultWindow = 10 * time.Second

func (b Budget) moved(now time.Time) Budget {
	if b.width <= 0 {
		b.width = defaultWindow / slots
	}
	at := now.UnixNano() / int64(b.width)
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
func (b Budget) WithRequest(now time.Time) Budget {
	b = b.moved(now)
	b.requests[b.at%slots]++
	return b
}

// Box is what one box knows of its part in the bound.
type Box struct {
	// Boxes is how many boxes share the slack.
	Boxes int
	// Started is when this box started. Its part of the slack grows from
	// nothing over the first window: what it spent before is not known.
	Started time.Time
}

// slack is the box's part of the fixed allowance.
func (c Config) slack(now time.Time, box Box) float64 {
	grown := min(max(float64(now.Sub(box.Started))/float64(max(c.Window, 1)), 0), 1)
	return c.Slack / float64(max(box.Boxes, 1)) * grown
}

// WithRepeat returns the budget after one further arrival, or false if this
// box may bring no more now.
func (b Budget) WithRepeat(now time.Time, cfg Config, box Box) (Budget, bool) {
	if cfg.Window > 0 && b.width != cfg.Window/slots {
		b = Budget{width: cfg.Window / slots}.moved(now)
	}
	b = b.moved(now)
	requests, repeats := 0.0, 0.0
	for i := range b.requests {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	allowed := share * (cfg.Ratio*requests + cfg.slack(now, box))
	if repeats+1 > allowed {
		return b, false
	}
	b.repeats[b.at%slots]++
	return b, true
}
