// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pace

import "time"

// Notice is what an endpoint announces about itself in an answer.
type Notice struct {
	// Limit is how many requests it accepts from all boxes together.
	Limit Limit
	// Leaving means that it is about to shut down and wants no new requests.
	Leaving bool
	// Rest is how long it wants no request from the box that it answers; 0 means that it did
	// not say.
	Rest time.Duration
}
