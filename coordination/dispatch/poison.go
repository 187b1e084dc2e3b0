// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/poison"
)

// Callers retry a poison prompt under a new ID at any box, after the state of its previous
// driver is gone. So each order to an engine asks the quarantine first. Without it, nine tries
// of one prompt ended 27 engines (TestPoisonPrompt).

// poisonRetryMS is the retry delay of a poison request: as long as the quarantine remembers it.
const poisonRetryMS = int(poison.Keep / time.Millisecond)

// stopIfPoison ends the request if it is poison, and reports whether it did.
func (d *driver) stopIfPoison() bool {
	if !d.suspect.Poisonous() {
		return false
	}
	d.step(lifecycle.Stop{Reason: lifecycle.ReasonPoison, RetryAfterMS: poisonRetryMS})
	return true
}
