// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pace

import "time"

// Notice is what an endpoint says of itself in an answer.
type Notice struct {
	// Limit is how much it takes from all boxes together.
	Limit Limit
	// Leaving says that it is about to end and wants no new requests.
	Leaving bool
	// Rest is for how long it wants no request from the box that it answers; 0 is not
	// said.
	Rest time.Duration
}
