// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pace

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func ExampleBucket() {
	const rate = 2
	b := NewBucket(0, 0)
	fmt.Println(b.Allows(), b.FreeAt(0, rate), b.FreeAt(2, rate))
	b = b.WithTime(time.Second, rate)
	fmt.Println(b.Allows(), b.WithTaken().Allows())
	// Output:
	// false 500ms 1.5s
	// true false
}

func TestLimitOf(t *testing.T) {
	cases := map[string]struct {
		perSecond float64
		want      Limit
	}{
		"a number":  {perSecond: 2.8, want: Limit{Named: true, PerSecond: 2.8}},
		"nothing":   {want: Limit{Named: true}},
		"less":      {perSecond: -1},
		"no number": {perSecond: math.NaN()},
		"infinite":  {perSecond: math.Inf(1)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := LimitOf(c.perSecond); got != c.want {
				t.Errorf("limit %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestShare(t *testing.T) {
	cases := map[string]struct {
		s    Standing
		want float64
	}{
		"the only home":              {s: Standing{Home: true, For: time.Minute, Seen: 8, All: 8}, want: 1},
		"a new home":                 {s: Standing{Home: true, For: limitSettleTime - 1, Seen: 8, All: 8}, want: contestedShare},
		"a box in place of the home": {s: Standing{For: time.Minute, Seen: 8, All: 8}, want: contestedShare},
		"a home that sees half":      {s: Standing{Home: true, For: time.Minute, Seen: 4, All: 8}, want: 0.5},
		"a home without known boxes": {s: Standing{Home: true, For: time.Minute}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := Share(c.s); got != c.want {
				t.Errorf("share %v, want %v", got, c.want)
			}
		})
	}
}

// limitWindow is the window in which the operators' rules check limits.
const limitWindow = 4 * time.Second

// maxInLimitWindow returns the highest number of arrivals in any limitWindow.
func maxInLimitWindow(arrivals []time.Duration) int {
	slices.SortFunc(arrivals, cmp.Compare[time.Duration])
	highest, from := 0, 0
	for i, at := range arrivals {
		for at-arrivals[from] >= limitWindow {
			from++
		}
		highest = max(highest, i-from+1)
	}
	return highest
}

// grantLimit lets every box that acts as the home, or is asked in place of it, grant all that
// it may of a limit.
func (w *world) grantLimit(now time.Duration, l Limit, buckets map[int]Bucket) {
	for _, d := range w.tenures {
		from := d.begin
		if d.askedFrom > 0 {
			from = min(from, d.askedFrom)
		}
		if now < from || now >= d.end {
			continue
		}
		b, known := buckets[d.box]
		if !known {
			b = NewBucket(now, 0)
		}
		share := Share(Standing{Home: now >= d.begin, For: now - d.since, Seen: d.seen, All: w.all})
		for b = b.WithTime(now, l.Rate(share)); b.Allows(); b = b.WithTaken() {
			delay := time.Duration(w.random.Int64N(int64(MaxSendDelay)))
			if w.random.IntN(2) == 0 {
				// It is sent after a prefill, which takes about as long each time.
				delay += 700*time.Millisecond + time.Duration(w.random.Int64N(int64(400*time.Millisecond)))
			}
			w.arrivals = append(w.arrivals, now+delay)
		}
		buckets[d.box] = b
	}
}

// TestOracleLimit simulates homes that crash, are cut off, move, freeze or are partitioned, and
// boxes that are asked in place of them. All of them grant as much of an endpoint's limit as
// they may.
func TestOracleLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			all: rapid.IntRange(2, 60).Draw(t, "boxes"), random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		}
		l := LimitOf(rapid.SampledFrom([]float64{0, 0.3, 1, 2.8, 15, 60}).Draw(t, "limit"))
		home := tenure{since: -time.Minute, seen: w.all}
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			now := home.begin + time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "until"))
			home = w.change(t, home, now)
		}
		end := home.begin + 5*time.Second
		home.end = end
		w.tenures = append(w.tenures, home)
		buckets := make(map[int]Bucket)
		for now := time.Duration(0); now < end; now += step {
			w.grantLimit(now, l, buckets)
		}
		if got, allowed := maxInLimitWindow(w.arrivals), 1.5*l.PerSecond*limitWindow.Seconds()+5; float64(got) > allowed {
			t.Fatalf("%d requests in %v, allowed %.1f", got, limitWindow, allowed)
		}
	})
}

// TestLimitIsUsed checks that a single home grants a limit in full.
func TestLimitIsUsed(t *testing.T) {
	for _, perSecond := range []float64{0.3, 2.8, 60} {
		w := &world{all: 7, random: rand.New(rand.NewPCG(1, 1))}
		w.tenures = []tenure{{since: -time.Minute, end: time.Minute, seen: 7}}
		buckets := make(map[int]Bucket)
		for now := time.Duration(0); now < time.Minute; now += step {
			w.grantLimit(now, LimitOf(perSecond), buckets)
		}
		if got, want := len(w.arrivals), int(0.95*perSecond*60); got < want {
			t.Errorf("limit %v: %v requests in a minute, want %v", perSecond, got, want)
		}
	}
}

func TestIdleBucketHoldsOneBurst(t *testing.T) {
	for rate, want := range map[float64]int{0.3: 1, 2.8: 1, 60: 15} {
		b, got := NewBucket(0, 0).WithTime(time.Hour, rate), 0
		for ; b.Allows() && got < 1000; b = b.WithTaken() {
			got++
		}
		if got != want {
			t.Errorf("%d requests at once after an idle hour at a rate of %v, want %d", got, rate, want)
		}
	}
}
