// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"time"

	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/poison"
	"runridge.example/runridge/state/prefix"
)

// Callers retry a poison prompt under a new ID at any box, after the state of its previous
// driver is gone. So each order to an engine asks the quarantine first. Without it, nine tries
// of one prompt ended 27 engines (TestPoisonPrompt).

// poisonRetryMS is the retry delay of a poison request: as long as the quarantine remembers it.
const poisonRetryMS = int(poison.Keep / time.Millisecond)

// partsOf returns the marked prefixes of a prompt as the parts that other prompts may share.
func partsOf(marks []prefix.Mark) []string {
	out := make([]string, 0, len(marks))
	for _, m := range marks {
		out = append(out, fmt.Sprintf("%x:%d", m.Hash, m.Bytes))
	}
	return out
}

// stopIfPoison ends the request if it is poison, and reports whether it did.
func (d *driver) stopIfPoison() bool {
	if !d.suspect.Poisonous() {
		return false
	}
	d.step(lifecycle.Stop{Reason: lifecycle.ReasonPoison, RetryAfterMS: poisonRetryMS})
	return true
}
