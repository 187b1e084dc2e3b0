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
	fmt.Println(b.Allows(), b.Free(0, rate), b.Free(2, rate))
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
		"a number":     {perSecond: 2.8, want: Limit{Named: true, PerSecond: 2.8}},
		"nothing":      {want: Limit{Named: true}},
		"less":         {perSecond: -1},
		"no number":    {perSecond: math.NaN()},
		"no end of it": {perSecond: math.Inf(1)},
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
		"the only home":                  {s: Standing{Home: true, For: time.Minute, Seen: 8, All: 8}, want: 1},
		"a home that begins":             {s: Standing{Home: true, For: limitSettleTime - 1, Seen: 8, All: 8}, want: besideShare},
		"a box that stands in":           {s: Standing{For: time.Minute, Seen: 8, All: 8}, want: besideShare},
		"a home that sees half":          {s: Standing{Home: true, For: time.Minute, Seen: 4, All: 8}, want: 0.5},
		"a home that knows of no others": {s: Standing{Home: true, For: time.Minute}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := Share(c.s); got != c.want {
				t.Errorf("share %v, want %v", got, c.want)
			}
		})
	}
}

// limitWindow is the window that the users judge limits by.
const limitWindow = 4 * time.Second

// mostIn is the most arrivals in any window of the users'.
func mostIn(arrivals []time.Duration) int {
	slices.SortFunc(arrivals, cmp.Compare[time.Duration])
	most, from := 0, 0
	for i, at := range arrivals {
		for at-arrivals[from] >= limitWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// takeLimit lets each home of the moment, and each box that stands in for one, grant all
// that it may of a limit.
func (w *world) takeLimit(now time.Duration, l Limit, buckets map[int]Bucket) {
	for _, d := range w.duties {
		from := d.begin
		if d.standsIn > 0 {
			from = min(from, d.standsIn)
		}
		if now < from || now >= d.ends {
			continue
		}
		b, known := buckets[d.box]
		if !known {
			b = NewBucket(now, 0)
		}
		share := Share(Standing{Home: now >= d.begin, For: now - d.began, Seen: d.seen, All: w.all})
		for b = b.WithTime(now, l.Rate(share)); b.Allows(); b = b.WithTaken() {
			lag := time.Duration(w.random.Int64N(int64(Lag)))
			if w.random.IntN(2) == 0 {
				// It is sent after a prefill, which takes about as long each time.
				lag += 700*time.Millisecond + time.Duration(w.random.Int64N(int64(400*time.Millisecond)))
			}
			w.arrivals = append(w.arrivals, now+lag)
		}
		buckets[d.box] = b
	}
}

// TestOracleLimit plays homes that die, are cut off, move, freeze and are parted, and boxes
// that stand in for them, all of which ask for more than an endpoint takes.
func TestOracleLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			all: rapid.IntRange(2, 60).Draw(t, "boxes"), random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		}
		l := LimitOf(rapid.SampledFrom([]float64{0, 0.3, 1, 2.8, 15, 60}).Draw(t, "limit"))
		home := duty{began: -time.Minute, seen: w.all}
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			now := home.begin + time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "until"))
			home = w.change(t, home, now)
		}
		lasts := home.begin + 5*time.Second
		home.ends = lasts
		w.duties = append(w.duties, home)
		buckets := make(map[int]Bucket)
		for now := time.Duration(0); now < lasts; now += step {
			w.takeLimit(now, l, buckets)
		}
		if got, allowed := mostIn(w.arrivals), 1.5*l.PerSecond*limitWindow.Seconds()+5; float64(got) > allowed {
			t.Fatalf("%d requests in %v, allowed %.1f", got, limitWindow, allowed)
		}
	})
}

// TestLimitIsUsed holds that one home grants a limit whole.
func TestLimitIsUsed(t *testing.T) {
	for _, perSecond := range []float64{0.3, 2.8, 60} {
		w := &world{all: 7, random: rand.New(rand.NewPCG(1, 1))}
		w.duties = []duty{{began: -time.Minute, ends: time.Minute, seen: 7}}
		buckets := make(map[int]Bucket)
		for now := time.Duration(0); now < time.Minute; now += step {
			w.takeLimit(now, LimitOf(perSecond), buckets)
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
