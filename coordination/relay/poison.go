// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"net/http"

	"runridge.example/runridge/coordination/quarantine"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/poison"
)

// Callers retry a poison request under a new ID at any box, after the state of its previous
// handler is gone. So each path to an endpoint asks the quarantine, which identifies requests
// by fingerprint and learns from other boxes what they did. With max_attempts and the retry
// budget alone, 12 tries of one request ended 24 endpoints (TestPoisonRequest).

// reasonPoison is the reason for refusing a request that ended endpoints before.
const reasonPoison = string(lifecycle.ReasonPoison)

// suspect returns the request as the quarantine tracks it.
func (h *handler) suspect() *quarantine.Request {
	if h.quarantined == nil {
		h.quarantined = h.relay.cfg.Quarantine.Request(h.request.ID, h.service.Name, poison.Request{
			Method: h.request.Method, Host: h.request.Host, Target: h.request.Target, Account: h.accountName(), Body: h.request.Body,
			Parts: h.request.Prompt.Parts,
		})
	}
	return h.quarantined
}

// refusePoison refuses the request, which has not run, with a retry delay as long as the
// quarantine remembers it.
func (h *handler) refusePoison() { h.refuse(http.StatusServiceUnavailable, reasonPoison, poison.Keep) }
