// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quota_test

import (
	"os"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"runridge.example/runridge/state/quota"
	"runridge.example/runridge/state/table"
	"runridge.example/runridge/tests/seed"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Run(m, 2000))
}

const s = time.Second

func TestBucket(t *testing.T) {
	terms := quota.Terms{Rate: 100, Burst: 50}
	lends := quota.Terms{Rate: 100, Burst: 50, CanLend: true}
	cases := map[string]struct {
		terms quota.Terms
		// idle is how long the bucket refills before the need.
		idle  time.Duration
		need  quota.Need
		want  quota.Decision
		level float64
	}{
		"a new home has nothing":          {terms, 0, quota.Need{Cost: 10, Patience: s}, quota.Decision{RetryAfter: s / 10}, 0},
		"a new home has its start":        {quota.Terms{Rate: 100, Burst: 50, Start: 30}, 0, quota.Need{Cost: 10}, quota.Decision{Admitted: true}, 20},
		"no start beyond the burst":       {quota.Terms{Rate: 100, Burst: 50, Start: 300}, 0, quota.Need{Cost: 10}, quota.Decision{Admitted: true}, 40},
		"accumulated tokens are granted":  {terms, s / 5, quota.Need{Cost: 10}, quota.Decision{Admitted: true}, 10},
		"no more than the burst":          {terms, 10 * s, quota.Need{Cost: 10}, quota.Decision{Admitted: true}, 40},
		"a short wait is accepted":        {terms, s / 10, quota.Need{Cost: 20, Wait: s / 5}, quota.Decision{Admitted: true, Wait: s / 10}, -10},
		"a longer one is not":             {terms, s / 10, quota.Need{Cost: 40, Wait: s / 5, Patience: s}, quota.Decision{RetryAfter: 3 * s / 10}, 10},
		"no longer than a caller accepts": {terms, 0, quota.Need{Cost: 50, Patience: s / 10}, quota.Decision{RetryAfter: s / 10}, 0},
		"more than the burst, when full":  {terms, s, quota.Need{Cost: 200}, quota.Decision{Admitted: true}, -150},
		"more than the burst, not full":   {terms, s / 4, quota.Need{Cost: 200, Patience: s}, quota.Decision{RetryAfter: s / 4}, 25},
		"terms without loans":             {terms, s, quota.Need{Cost: 10, More: 10}, quota.Decision{Admitted: true}, 40},
		"tokens are lent ahead of need":   {lends, s, quota.Need{Cost: 10, More: 10}, quota.Decision{Admitted: true, More: 10}, 30},
		"half of the burst is kept back":  {lends, s, quota.Need{Cost: 10, More: 40}, quota.Decision{Admitted: true, More: 15}, 25},
		"nothing ahead near the limit":    {lends, s / 5, quota.Need{Cost: 10, More: 10}, quota.Decision{Admitted: true}, 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				b := quota.Bucket{}.WithTime(0, c.terms).WithTime(c.idle, c.terms)
				b, got := b.WithNeed(c.need, c.terms)
				convey.So(got, convey.ShouldResemble, c.want)
				convey.So(b.Level(), convey.ShouldAlmostEqual, c.level)
			})
		})
	}
}

func TestRetriesAreSpread(t *testing.T) {
	convey.Convey("Each refused caller is told a later time than the one before, up to its patience", t, func() {
		terms := quota.Terms{Rate: 100, Burst: 50}
		b := quota.Bucket{}.WithTime(0, terms)
		need := quota.Need{Cost: 10, Patience: s / 4}
		var retryAfter []time.Duration
		for range 4 {
			var d quota.Decision
			b, d = b.WithNeed(need, terms)
			retryAfter = append(retryAfter, d.RetryAfter)
		}
		convey.So(retryAfter, convey.ShouldResemble, []time.Duration{s / 10, s / 5, s / 4, s / 4})
	})
}

func TestTerms(t *testing.T) {
	bound := quota.Bound{Window: 8 * s, Overage: 0.1, Slack: 160}
	limit := table.Quota{Rate: 100, Burst: 50}
	cases := map[string]struct {
		seen, all int
		want      quota.Terms
	}{
		"all boxes are seen":  {10, 10, quota.Terms{Rate: 100, Burst: 50, Start: 20, CanLend: true}},
		"half of them":        {5, 10, quota.Terms{Rate: 55, Burst: 25, Start: 10}},
		"all but one":         {9, 10, quota.Terms{Rate: 99, Burst: 45, Start: 18}},
		"one that is cut off": {1, 10, quota.Terms{Rate: 11, Burst: 5, Start: 2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				got := bound.Terms(limit, c.seen, c.all)
				convey.So(got.Rate, convey.ShouldAlmostEqual, c.want.Rate)
				convey.So(got.Burst, convey.ShouldAlmostEqual, c.want.Burst)
				convey.So(got.Start, convey.ShouldAlmostEqual, c.want.Start)
				convey.So(got.CanLend, convey.ShouldEqual, c.want.CanLend)
			})
		})
	}
	convey.Convey("Without an overage nothing is lent ahead of need", t, func() {
		strict := quota.Bound{Window: 8 * s}
		convey.So(strict.Terms(limit, 3, 3).CanLend, convey.ShouldBeFalse)
		convey.So(strict.LoanLife(), convey.ShouldEqual, 0)
		convey.So(bound.LoanLife(), convey.ShouldEqual, 800*time.Millisecond)
	})
}

func TestPurse(t *testing.T) {
	const life = 800 * time.Millisecond
	convey.Convey("A purse is spent, expires, and takes back what was not used", t, func() {
		p := quota.Purse{}.WithLent(0, 100, life)
		p, lacks := p.WithCharge(life/2, 30)
		convey.So(lacks, convey.ShouldEqual, 0)
		p, lacks = p.WithCharge(life/2, 100)
		convey.So(lacks, convey.ShouldEqual, 30)
		p = p.WithReturned(life/2, 70)
		convey.So(p.Balance(life/2), convey.ShouldEqual, 70)
		convey.So(p.Balance(life), convey.ShouldEqual, 0)
		convey.So(p.WithReturned(life, 70).Balance(life), convey.ShouldEqual, 0)
		_, lacks = p.WithCharge(life, 10)
		convey.So(lacks, convey.ShouldEqual, 10)
	})
	convey.Convey("A new loan does not revive an expired balance", t, func() {
		p := quota.Purse{}.WithLent(0, 100, life).WithLent(2*life, 10, life)
		convey.So(p.Balance(2*life), convey.ShouldEqual, 10)
	})
	convey.Convey("A steady use asks ahead for about what it uses in one life", t, func() {
		p := quota.Purse{}
		for i := range 200 {
			p = p.WithUse(time.Duration(i)*life/10, 10, life)
		}
		convey.So(p.Ahead(200*life/10, life), convey.ShouldBeBetween, 90, 110)
	})
}

// TestOracleBucket checks random sequences of needs against an exact count over every window:
// with one home, no window has more than rate and burst allow.
func TestOracleBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := quota.Terms{
			Rate:  rapid.Float64Range(1, 1000).Draw(t, "rate"),
			Burst: rapid.Float64Range(0, 1000).Draw(t, "burst"),
		}
		type use struct {
			at   time.Duration
			cost float64
		}
		var uses []use
		var b quota.Bucket
		now := time.Duration(0)
		largest := 0.0
		for range rapid.IntRange(1, 60).Draw(t, "needs") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause ms")) * time.Millisecond
			cost := rapid.Float64Range(0.1, 500).Draw(t, "cost")
			wait := time.Duration(rapid.IntRange(0, 300).Draw(t, "wait ms")) * time.Millisecond
			var d quota.Decision
			b, d = b.WithTime(now, terms).WithNeed(quota.Need{Cost: cost, Wait: wait, Patience: s}, terms)
			if d.Admitted {
				uses = append(uses, use{now + d.Wait, cost})
				largest = max(largest, cost)
			}
		}
		for i, first := range uses {
			sum := 0.0
			for _, u := range uses[i:] {
				sum += u.cost
				// A request larger than the burst is only admitted by a full bucket.
				allowed := terms.Rate*(u.at-first.at).Seconds() + max(terms.Burst, largest)
				if sum > allowed+1e-6 {
					t.Fatalf("from %v to %v %f units, allowed %f", first.at, u.at, sum, allowed)
				}
			}
		}
	})
}
