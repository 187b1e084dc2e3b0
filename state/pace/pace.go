// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package pace bounds how many requests a cold endpoint gets per second from all boxes
// together. An endpoint that has just started, or that has lost its caches, is slow and fails
// when it gets more than it can handle. The home of the endpoint's group counts the requests. A
// box that has just become the home gets a small separate share, so that it and its predecessor
// stay within the bound together. The package does no I/O; the current time is an argument.
package pace

import (
	"math"
	"time"
)

// Bound is how far the requests to a cold endpoint may exceed the pace that it can handle, as
// the operators' rules say. The zero value bounds nothing.
type Bound struct {
	// Overage is a factor on the pace, and Slack a number of requests per second on top of
	// that.
	Overage, Slack float64
}

// Unbounded is the limit of an endpoint that is not bounded.
const Unbounded = math.MaxInt

// Applies reports whether an endpoint with a pace, in requests per second, is bounded.
func (b Bound) Applies(pace float64) bool {
	return pace > 0 && (b.Overage > 0 || b.Slack > 0)
}

// PerSecond returns the maximum number of requests that an endpoint may get in any second.
func (b Bound) PerSecond(pace float64) float64 { return pace*b.Overage + b.Slack }

const (
	// homeShare is the part of the bound that the home of a group grants once no other box acts
	// as its home, and newShare the part for a box that has just become the home. They add up
	// to the whole bound, so both boxes may act at the same time. With halves for each, more
	// than half of the bound would stay unused for as long as there is one home
	// (TestCompareBoundings).
	homeShare = 0.8
	newShare  = 0.2
	// viewSpread is the time within which all boxes see that a group has another home. An
	// unreachable box is considered dead 2.2 to 3.2 s after it was last heard from.
	viewSpread = time.Second
	// quietTime is how long a new home grants nothing: a group that is split and joined again
	// has three homes within a second.
	quietTime = Span
	// settleTime is the time after which a box that has become the home of a group is the only
	// one whose requests arrive: its predecessor may grant until viewSpread later, its grants
	// are sent within OpenTimeout, and each counts for a second.
	settleTime = viewSpread + OpenTimeout + time.Second
)

// ReturnTime is the time within which a box that becomes the home again continues as the home
// that it was: any other home in between was a new one. While the endpoints of a zone came
// back, its group was split in two and joined again within 0.3 to 0.7 s.
const ReturnTime = time.Second

// Standing is what a box knows of its role in a group.
type Standing struct {
	// Home reports whether the box is the home of the group, as the box sees it. A box that is
	// only asked in place of a silent home grants nothing.
	Home bool
	// For is how long the box has been the home without being frozen.
	For time.Duration
	// Seen is the number of boxes that this one sees, and All the number that may exist. Boxes
	// that are partitioned from each other have a home each, whose parts add up to the whole.
	Seen, All int
}

// Limit returns how many requests to one cold endpoint a home may count at a time (see Window).
// It may be 0; then this box can't use the endpoint.
func (b Bound) Limit(pace float64, s Standing) int {
	if !b.Applies(pace) {
		return Unbounded
	}
	// A box that knows of no other boxes can't compute its part.
	if !s.Home || s.All <= 0 {
		return 0
	}
	share := homeShare
	switch {
	case s.For < quietTime:
		return 0
	case s.For < settleTime:
		share = newShare
	}
	part := min(float64(s.Seen)/float64(s.All), 1)
	return int(b.PerSecond(pace)*share*part + rounding)
}

// rounding keeps a product such as 0.8 x 10 from ending up just below its whole number.
const rounding = 1e-12
