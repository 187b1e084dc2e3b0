// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pace

import "math"

// Limit is how many requests per second an endpoint accepts from all boxes together, as the
// endpoint announces it. The zero value means that it announces no limit.
type Limit struct {
	Named     bool
	PerSecond float64
}

// LimitOf returns a limit in requests per second. A negative number, an infinite one and NaN
// mean no limit.
func LimitOf(perSecond float64) Limit {
	if !(perSecond >= 0) || math.IsInf(perSecond, 1) {
		return Limit{}
	}
	return Limit{Named: true, PerSecond: perSecond}
}
