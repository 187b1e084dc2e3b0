// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"time"

	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/state/schedule"
)

// An endpoint that is cold, or names a limit, gets only what its group's home has counted
// for it, and only while that counts: a request that no home has placed is not sent there.

// countedBy is what a grant has counted. Asked is when the home was first asked: what
// the ask did not wait there, it was under way.
func countedBy(g schedule.Grant, asked time.Time) pace.Counted {
	return pace.Counted{Prefill: g.PacedPrefill, Decode: g.PacedDecode, Granted: asked.Add(g.Held)}
}

// SetColdBound replaces the bound on what cold endpoints get.
func (r *Relay) SetColdBound(b pace.Bound) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cfg.Cold = b
}

func (r *Relay) coldBound() pace.Bound {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.cfg.Cold
}

// isCold says whether an endpoint is cold and bounded, as far as this box knows.
func (v *run) isCold(w directory.Status) bool {
	if !v.r.coldBound().Applies(v.service.ColdPace) {
		return false
	}
	start := time.Duration(v.service.ColdMS) * time.Millisecond
	return v.r.cfg.Now().Before(w.ColdEnd(start))
}

// mayPrefill and mayDecode say whether an endpoint may get the request now. One that
// a home has counted it for is bounded here too.
func (v *run) mayPrefill(id string) bool {
	return !v.counted.Prefill && !v.bounded(id) || v.counted.PrefillAt(v.r.cfg.Now())
}

func (v *run) mayDecode(id string) bool {
	return !v.counted.Decode && !v.bounded(id) || v.counted.DecodeAt(v.r.cfg.Now())
}

// bounded says whether an endpoint is cold or names a limit, as far as this box knows.
func (v *run) bounded(id string) bool {
	w, known := v.r.cfg.Directory.Directory().Status(id)
	return known && v.isCold(w) || v.r.cfg.Notices.Limited(id)
}

// reasonNotCounted is why an attempt ended that no home has counted for its endpoint.
const reasonNotCounted = "endpoint_not_counted"
