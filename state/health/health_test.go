// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package health_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/state/health"
)

// firstEjection runs orders, of which a part fails, through a breaker. It returns the number of
// orders until the first ejection, or 0 if there was none.
func firstEjection(seed uint64, orders int, fails, usual float64) int {
	r := rand.New(rand.NewPCG(seed, seed))
	now := time.Unix(0, 0)
	var b health.Breaker
	for n := range orders {
		if r.Float64() >= fails {
			b = b.WithSuccess(usual)
			continue
		}
		b = b.WithFailure(now, health.DefaultConfig(), health.Failure{Usual: usual, Total: 3}, r)
		if b.Ejected(now) {
			return n + 1
		}
	}
	return 0
}

func TestFailuresInARow(t *testing.T) {
	convey.Convey("Where failures are rare, three in a row eject an endpoint", t, func() {
		convey.So(firstEjection(1, 10, 1, 0), convey.ShouldEqual, 3)
	})
	convey.Convey("Where failures are usual, it takes more", t, func() {
		convey.So(firstEjection(1, 20, 1, 0.15), convey.ShouldBeBetween, 6, 12)
	})
}

// TestUsualErrorsDoNotEject runs an application that answers a seventh of all requests with an
// error, for a minute at 60 requests per second, and endpoints that have become sick. If three
// failures in a row ejected an endpoint, the healthy ones would be ejected 8 to 15 times a
// minute.
func TestUsualErrorsDoNotEject(t *testing.T) {
	ejected, slowest := 0, 0
	for seed := range uint64(20) {
		if firstEjection(seed, 3600, 0.14, 0.14) > 0 {
			ejected++
		}
		after := firstEjection(seed, 3600, 0.6, 0.14)
		if after == 0 {
			t.Fatalf("seed %d: an endpoint that fails six in ten orders is never ejected", seed)
		}
		slowest = max(slowest, after)
	}
	if ejected > 2 {
		t.Errorf("%d of 20 healthy endpoints were ejected within a minute", ejected)
	}
	if slowest > 120 {
		t.Errorf("an endpoint that fails six in ten orders got %d requests before it was ejected", slowest)
	}
}

func TestReturnAfterEjection(t *testing.T) {
	convey.Convey("After its return, one more rare failure ejects it again", t, func() {
		r := rand.New(rand.NewPCG(1, 1))
		now := time.Unix(0, 0)
		failure := health.Failure{Total: 3}
		var b health.Breaker
		for range 3 {
			b = b.WithFailure(now, health.DefaultConfig(), failure, r)
		}
		first := b.EjectedFor(now)
		convey.So(first, convey.ShouldBeGreaterThan, 0)
		later := now.Add(first)
		convey.So(b.Trial(later), convey.ShouldBeTrue)
		b = b.WithTrial().WithFailure(later, health.DefaultConfig(), failure, r)
		convey.So(b.EjectedFor(later), convey.ShouldBeGreaterThan, 0)
		convey.Convey("One successful trial ends the trials, so that it gets its share of work again", func() {
			later = later.Add(b.EjectedFor(later))
			b = b.WithTrial().WithSuccess(0)
			convey.So(b.Ejected(later), convey.ShouldBeFalse)
			convey.So(b.Trial(later), convey.ShouldBeFalse)
			b = b.WithFailure(later, health.DefaultConfig(), failure, r)
			convey.So(b.Ejected(later), convey.ShouldBeFalse)
			b = b.WithFailure(later, health.DefaultConfig(), failure, r)
			convey.So(b.Ejected(later), convey.ShouldBeTrue)
			convey.So(b.Trial(later.Add(b.EjectedFor(later))), convey.ShouldBeTrue)
		})
		convey.Convey("Several successes clear it", func() {
			for range 40 {
				b = b.WithSuccess(0)
			}
			convey.So(b.Suspect(), convey.ShouldBeFalse)
		})
	})
}

func TestFailedTrials(t *testing.T) {
	refusedConnection := health.DefaultConfig()
	refusedConnection.Failures = 1
	cases := map[string]struct {
		usual float64
		out   bool
	}{
		"where failures are rare, one ejects it again": {usual: 0, out: true},
		"where failures are usual, one says little":    {usual: 0.15, out: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 1))
			now := time.Unix(0, 0)
			b := health.Breaker{}.WithFailure(now, refusedConnection, health.Failure{Total: 3}, r)
			later := now.Add(b.EjectedFor(now))
			if !b.Ejected(now) || !b.Trial(later) {
				t.Fatal("a refused connection does not eject the endpoint")
			}
			b = b.WithTrial().WithFailure(later, health.DefaultConfig(), health.Failure{Usual: c.usual, Total: 3}, r)
			if b.Ejected(later) != c.out {
				t.Errorf("out after a failed trial: %v, not %v", b.Ejected(later), c.out)
			}
		})
	}
}
