// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"time"

	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/state/schedule"
)

// An endpoint that is cold or announces a limit receives only requests that the home of its
// group has counted for it, and only while that count is valid. A box that places a request
// without a home does not use such endpoints.

// countedBy returns what a grant has counted. askedAt is when the home was first asked; the
// grant is dated by it plus the time the ask waited there, so that the time on the network
// counts as elapsed.
func countedBy(g schedule.Grant, askedAt time.Time) pace.Counted {
	return pace.Counted{Prefill: g.PacedPrefill, Decode: g.PacedDecode, Granted: askedAt.Add(g.QueueTime)}
}

// SetColdBound replaces the limit on requests to cold endpoints.
func (r *Relay) SetColdBound(b pace.Bound) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cfg.ColdBound = b
}

func (r *Relay) coldBound() pace.Bound {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.cfg.ColdBound
}

// isCold reports whether an endpoint is cold and limited for that, as far as this box knows.
func (h *handler) isCold(w directory.Status) bool {
	if !h.relay.coldBound().Applies(h.service.ColdPace) {
		return false
	}
	start := time.Duration(h.service.ColdMS) * time.Millisecond
	return h.relay.cfg.Now().Before(w.ColdEnd(start))
}

// mayPrefill reports whether the prefill may be sent to an endpoint now. An endpoint that the
// home has counted the attempt for is limited even if this box does not know it as cold or
// limited.
func (h *handler) mayPrefill(id string) bool {
	return !h.counted.Prefill && !h.isPaced(id) || h.counted.PrefillAt(h.relay.cfg.Now())
}

// mayDecode is like mayPrefill, for the request for the answer.
func (h *handler) mayDecode(id string) bool {
	return !h.counted.Decode && !h.isPaced(id) || h.counted.DecodeAt(h.relay.cfg.Now())
}

// isPaced reports whether an endpoint is cold or announces a limit, as far as this box knows.
func (h *handler) isPaced(id string) bool {
	w, known := h.relay.cfg.Directory.Directory().Status(id)
	return known && h.isCold(w) || h.relay.cfg.Notices.Limited(id)
}

// reasonNotCounted is the reason of an attempt that ended because no home had counted it for
// its endpoint.
const reasonNotCounted = "endpoint_not_counted"
