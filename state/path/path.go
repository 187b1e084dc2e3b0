// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package path decides how a box connects to an endpoint: directly, or through another box while
// it does not reach the endpoint itself. The current time is an argument.
package path

import (
	"maps"
	"time"

	"runridge.example/runridge/state/locality"
)

const (
	// probeInterval is the time between two tries of a direct path that is lost.
	probeInterval = 500 * time.Millisecond
	// unreachedTime is how long an endpoint that neither this box nor others reached is not tried
	// again.
	unreachedTime = 250 * time.Millisecond
	// staleTime is how long what is known of a path that nobody tries is of use.
	staleTime = 30 * time.Second
)

// State is what a box knows of its paths to one endpoint. It is an immutable value; the zero value
// means that the direct path works.
type State struct {
	// lostAt is when the direct path failed after it had worked; zero if it works.
	lostAt time.Time
	// triedAt is when the direct path was last tried.
	triedAt time.Time
	// unreachedUntil is until when the endpoint counts as reached by none of the boxes that may pass
	// on a request, by the key of the regions that the request is allowed in.
	unreachedUntil map[string]time.Time
	// via is the box through which the endpoint was last reached.
	via string
}

// Direct reports whether the direct path works, as far as known.
func (s State) Direct() bool { return s.lostAt.IsZero() }

// Unreached reports whether a try now would be in vain for a request that is allowed in the given
// regions: no box that may pass it on reached the endpoint a moment ago.
func (s State) Unreached(now time.Time, allowed locality.Allowed) bool {
	return now.Before(s.unreachedUntil[locality.Allowed{}.Key()]) || now.Before(s.unreachedUntil[allowed.Key()])
}

// AnyUnreached reports whether a try now would be in vain for some requests.
func (s State) AnyUnreached(now time.Time) bool {
	for _, until := range s.unreachedUntil {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// ProbeDue reports whether a lost direct path should be tried again.
func (s State) ProbeDue(now time.Time) bool {
	return !s.Direct() && now.Sub(s.triedAt) >= probeInterval
}

// Stale reports whether the direct path was not tried for so long that nothing is known of it.
func (s State) Stale(now time.Time) bool { return now.Sub(s.triedAt) >= staleTime }

// Via returns the box through which the endpoint was last reached since the direct path failed;
// empty if none.
func (s State) Via() string { return s.via }

// LostFor returns how long the direct path has been lost; 0 if it works.
func (s State) LostFor(now time.Time) time.Duration {
	if s.Direct() {
		return 0
	}
	return now.Sub(s.lostAt)
}

// WithReached returns the state after the direct path worked.
func (s State) WithReached() State { return State{} }

// WithTry returns the state when a try of the direct path begins.
func (s State) WithTry(now time.Time) State {
	s.triedAt = now
	return s
}

// WithLost returns the state after the direct path failed.
func (s State) WithLost(now time.Time) State {
	if s.Direct() {
		s.lostAt = now
	}
	s.triedAt = now
	return s
}

// WithVia returns the state after another box reached the endpoint for a request that is allowed in
// the given regions.
func (s State) WithVia(box string, allowed locality.Allowed) State {
	s.via, s.unreachedUntil = box, maps.Clone(s.unreachedUntil)
	delete(s.unreachedUntil, locality.Allowed{}.Key())
	delete(s.unreachedUntil, allowed.Key())
	return s
}

// WithUnreached returns the state after neither this box nor the others that it asked reached the
// endpoint for a request that is allowed in the given regions.
func (s State) WithUnreached(now time.Time, allowed locality.Allowed) State {
	if !allowed.Bound() {
		s.via = ""
	}
	s.unreachedUntil = maps.Clone(s.unreachedUntil)
	if s.unreachedUntil == nil {
		s.unreachedUntil = make(map[string]time.Time)
	}
	s.unreachedUntil[allowed.Key()] = now.Add(unreachedTime)
	return s
}
