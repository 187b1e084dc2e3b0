// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pace

import "time"

// Counted is what the home of a group has counted of one attempt, for engines that are
// cold or name a limit. It counts for a short time: a grant that has been under way for
// too long is not sent there.
type Counted struct {
	// Prefill and Decode say for which engine it was counted.
	Prefill, Decode bool
	// Granted is when it was granted at the earliest, and Prefilled when its home was
	// sent a message that its prefill is done; zero is not yet.
	Granted, Prefilled time.Time
}

// PrefillAt says whether a prefill that was counted may be sent now.
func (c Counted) PrefillAt(now time.Time) bool {
	return c.Prefill && now.Sub(c.Granted) <= SendWithin
}

// DecodeAt says whether a request for an answer that was counted may be sent now.
func (c Counted) DecodeAt(now time.Time) bool {
	if c.Prefilled.IsZero() {
		return c.Decode && now.Sub(c.Granted) <= SendWithin
	}
	return c.Decode && now.Sub(c.Prefilled) <= SendWithin && now.Sub(c.Granted) <= OpenFor
}
