// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package estimate_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/state/estimate"
)

func TestFactor(t *testing.T) {
	const expected = 10 * time.Millisecond
	convey.Convey("Starting values that are off by a factor of five are replaced by the first observations", t, func() {
		f := estimate.Factor{}.With(expected, 5*expected)
		convey.So(f.Value(), convey.ShouldAlmostEqual, 5, 0.01)
		f = f.With(expected, 3*expected)
		convey.So(f.Value(), convey.ShouldAlmostEqual, 4, 0.01)
	})
	convey.Convey("After many observations an outlier has little effect", t, func() {
		f := estimate.Factor{}
		for range 20 {
			f = f.With(expected, expected)
		}
		f = f.With(expected, 100*expected)
		convey.So(f.Value(), convey.ShouldBeBetween, 1, 1.16)
	})
	convey.Convey("A time that is not positive is ignored", t, func() {
		convey.So(estimate.Factor{}.With(expected, 0), convey.ShouldResemble, estimate.Factor{})
	})
}
