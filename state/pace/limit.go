// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pace

import "math"

// Limit is how many requests a second an endpoint takes from all boxes together, as it
// says itself. The zero value is an endpoint that names no limit.
type Limit struct {
	Named     bool
	PerSecond float64
}

// LimitOf is a limit of so many requests a second. A negative number, one that is not
// finite and NaN name none.
func LimitOf(perSecond float64) Limit {
	if !(perSecond >= 0) || math.IsInf(perSecond, 1) {
		return Limit{}
	}
	return Limit{Named: true, PerSecond: perSecond}
}
