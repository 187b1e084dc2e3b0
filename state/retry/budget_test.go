// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package retry

import (
	"os"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"runridge.example/runridge/tests/seed"
)

var bound = Config{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}

// uptime is the uptime of a box that started long ago, and boxCount the number of boxes.
const (
	uptime   = time.Hour
	boxCount = 10
)

// spend tries a number of repeats and returns how many the budget allows.
func spend(b Budget, tries int) (Budget, int) {
	spent := 0
	for range tries {
		next, ok := b.WithRepeat(uptime, bound, boxCount)
		if ok {
			spent++
		}
		b = next
	}
	return b, spent
}

func TestBudget(t *testing.T) {
	convey.Convey("A box spends its part of the slack, and a share of its own requests", t, func() {
		b, spent := spend(Budget{}, 100)
		convey.So(spent, convey.ShouldEqual, 2)
		for range 100 {
			b = b.WithRequest(uptime)
		}
		_, more := spend(b, 100)
		convey.So(spent+more, convey.ShouldEqual, 20)
	})
	convey.Convey("The part of the slack grows with the uptime of a box", t, func() {
		_, ok := Budget{}.WithRepeat(0, bound, 1)
		convey.So(ok, convey.ShouldBeFalse)
		_, ok = Budget{}.WithRepeat(5*time.Second, bound, 1)
		convey.So(ok, convey.ShouldBeTrue)
	})
	convey.Convey("Spent repeats count for one window", t, func() {
		b, ok := Budget{}, true
		for ok {
			b, ok = b.WithRepeat(uptime, bound, boxCount)
		}
		_, ok = b.WithRepeat(uptime+9*time.Second, bound, boxCount)
		convey.So(ok, convey.ShouldBeFalse)
		_, ok = b.WithRepeat(uptime+11*time.Second, bound, boxCount)
		convey.So(ok, convey.ShouldBeTrue)
	})
}

// TestOracleBoxes checks the bound over all boxes in every window, with boxes that lose their
// counts in restarts.
func TestOracleBoxes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const boxes = 8
		budgets := make([]Budget, boxes)
		var requests, repeats []time.Duration
		started := make([]time.Duration, boxes)
		at := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, boxes-1).Draw(t, "box")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				budgets[i], started[i] = Budget{}, at
			case 1, 2, 3, 4:
				budgets[i] = budgets[i].WithRequest(at - started[i])
				requests = append(requests, at)
			default:
				next, ok := budgets[i].WithRepeat(at-started[i], bound, boxes)
				budgets[i] = next
				if ok {
					repeats = append(repeats, at)
				}
			}
		}
		for _, from := range repeats {
			spent := within(repeats, from, from+bound.Window)
			// The larger number of requests counts: that of the window or of the one before.
			had := max(within(requests, from, from+bound.Window), within(requests, from-bound.Window, from))
			if allowed := bound.Ratio*float64(had) + bound.Slack; float64(spent) > allowed {
				t.Fatalf("%d repeats from %v, allowed %.1f", spent, from, allowed)
			}
		}
	})
}

func within(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// TestMain fixes the seed of the model-based test.
func TestMain(m *testing.M) { os.Exit(seed.Run(m, 5000)) }
