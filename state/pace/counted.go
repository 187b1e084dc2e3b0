// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pace

import "time"

// Counted says what the home of a group has counted of one attempt, for engines that are cold
// or announce a limit. It is valid for a short time: a grant that is too old is not sent.
type Counted struct {
	// Prefill and Decode say for which engines the attempt was counted.
	Prefill, Decode bool
	// Granted is the earliest time at which the attempt may have been granted. Prefilled is
	// when the home was notified that the prefill is done; zero until then.
	Granted, Prefilled time.Time
}

// PrefillAt reports whether a prefill that was counted may be sent now.
func (c Counted) PrefillAt(now time.Time) bool {
	return c.Prefill && now.Sub(c.Granted) <= SendWithin
}

// DecodeAt reports whether a decode request that was counted may be sent now.
func (c Counted) DecodeAt(now time.Time) bool {
	if c.Prefilled.IsZero() {
		return c.Decode && now.Sub(c.Granted) <= SendWithin
	}
	return c.Decode && now.Sub(c.Prefilled) <= SendWithin && now.Sub(c.Granted) <= OpenTimeout
}
