// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import "net/http"

// reasonStatusWithheld is the reason why a caller does not get the answer of an endpoint.
const reasonStatusWithheld = "status_withheld"

// promisesNotRun reports whether callers take a status for a promise that the request has not run and
// never will, so that they may repeat any request.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// withholds reports whether the answer of an endpoint that may have run the request must not reach the
// caller, because its status would make the caller repeat a request that may run only once.
func (h *handler) withholds(a *Answer) bool {
	return !h.route.Idempotent() && promisesNotRun(a.Status)
}
