// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slopes_test

import (
	"math"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/bench/slopes"
)

const text = `day                  own/srv  score
sweep-30              33/301   0.81

middle / busiest or longest, by own machines
                                                          30             100             300  power  at 337
router: processor %                                6.9 / 8.5       7.9 / 9.7     12.9 / 16.2   0.28  16.8
config acked, ms                                 35.0 / 36.0     57.0 / 58.0               -   0.41  135
power: the busiest grows as machines to this power
`

func TestParse(t *testing.T) {
	convey.Convey("Sizes and figures are parsed, including a size without a value", t, func() {
		s, err := slopes.Parse(text)
		convey.So(err, convey.ShouldBeNil)
		convey.So(s.Boxes, convey.ShouldResemble, []float64{30, 100, 300})
		convey.So(s.Figures, convey.ShouldHaveLength, 2)
		convey.So(s.Figures[0].Name, convey.ShouldEqual, "processor %")
		convey.So(s.Figures[0].Busiest, convey.ShouldResemble, []float64{8.5, 9.7, 16.2})
		convey.So(math.IsNaN(s.Figures[1].Middle[2]), convey.ShouldBeTrue)
	})
	convey.Convey("All sizes are parsed if there is no size to extrapolate to", t, func() {
		s, err := slopes.Parse(strings.Replace(text, "at 337", "at null", 1))
		convey.So(err, convey.ShouldBeNil)
		convey.So(s.Boxes, convey.ShouldResemble, []float64{30, 100, 300})
	})
	convey.Convey("A text without a table is an error", t, func() {
		_, err := slopes.Parse("nothing")
		convey.So(err, convey.ShouldNotBeNil)
	})
}

func TestFit(t *testing.T) {
	convey.Convey("A power law is fitted despite missing values", t, func() {
		f, ok := slopes.FitOf([]float64{30, 100, 300}, []float64{3 * math.Sqrt(30), math.NaN(), 3 * math.Sqrt(300)})
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(f.Power, convey.ShouldAlmostEqual, 0.5)
		convey.So(f.At(400), convey.ShouldAlmostEqual, 60)
		_, ok = slopes.FitOf([]float64{30, 100}, []float64{0, 1})
		convey.So(ok, convey.ShouldBeFalse)
	})
}
