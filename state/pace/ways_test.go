// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pace

import (
	"math/rand/v2"
	"testing"
	"time"
)

// bounding is one of the algorithms compared for bounding the requests to a cold endpoint.
type bounding interface {
	// allows reports whether the acting box may send one more request now, and counts the
	// request if so.
	allows(now time.Duration, box int, s Standing) bool
}

// windows is the algorithm in use: a window at each home, with one share of the bound for an
// established home and another for a new one.
type windows struct {
	perSecond, homeShare, newShare float64
	each                           map[int]Window
}

func (w *windows) allows(now time.Duration, box int, s Standing) bool {
	share := w.homeShare
	if s.For < settleTime {
		share = w.newShare
	}
	if w.each[box].Count(now) >= int(w.perSecond*share+rounding) {
		return false
	}
	w.each[box] = w.each[box].WithSent(now)
	return true
}

// buckets uses a token bucket at each home, with the same shares. The burst plus the refill in
// the time over which the grants of one second arrive stay within the bound.
type buckets struct {
	perSecond, homeShare, newShare float64
	level                          map[int]float64
	at                             map[int]time.Duration
}

// burstPart is the part of a share that is the burst of the bucket.
const burstPart = 0.6

func (b *buckets) allows(now time.Duration, box int, s Standing) bool {
	share := b.homeShare
	if s.For < settleTime {
		share = b.newShare
	}
	burst := float64(int(b.perSecond*share*burstPart + rounding))
	rate := (b.perSecond*share - burst) / Span.Seconds()
	level, known := b.level[box]
	if !known {
		level = burst
	}
	level = min(level+rate*(now-b.at[box]).Seconds(), burst)
	b.at[box] = now
	b.level[box] = level
	if level < 1 {
		return false
	}
	b.level[box]--
	return true
}

// shares gives every box a fixed part of the bound, whichever box is the home.
type shares struct {
	perSecond float64
	boxes     int
	each      map[int]Window
}

func (w *shares) allows(now time.Duration, _ int, _ Standing) bool {
	// The busiest boxes ask first; all have the same part.
	for box := range w.boxes {
		if w.each[box].Count(now) < int(w.perSecond/float64(w.boxes)+rounding) {
			w.each[box] = w.each[box].WithSent(now)
			return true
		}
	}
	return false
}

// TestCompareBoundings requests more than an endpoint can handle for 20 seconds, with one home,
// or with another home that takes over after 10 seconds while the old one acts for one more
// second. Part of a bound of 6.5 (27.5) per second that is used, and the busiest second:
//
//	                       one home                    with the change
//	shares by box (58)     0.00 (0.00)   0 (0)         0.00 (0.00)   0 (0)
//	halves, a window       0.39 (0.40)   3 (13)        0.44 (0.45)   6 (26)
//	0.8 and 0.2, a bucket  0.30 (0.29)   4 (20)        0.25 (0.27)   4 (20)
//	0.8 and 0.2, a window  0.65 (0.68)   5 (22)        0.61 (0.64)   6 (27)
func TestCompareBoundings(t *testing.T) {
	const duration, boxes = 20 * time.Second, 58
	for _, perSecond := range []float64{6.5, 27.5} {
		boundings := map[string]func() bounding{
			"shares by box": func() bounding { return &shares{perSecond, boxes, make(map[int]Window)} },
			"halves, window": func() bounding {
				return &windows{perSecond, 0.5, 0.5, make(map[int]Window)}
			},
			"0.8 and 0.2, bucket": func() bounding {
				return &buckets{perSecond, homeShare, newShare, make(map[int]float64), make(map[int]time.Duration)}
			},
			"0.8 and 0.2, window": func() bounding {
				return &windows{perSecond, homeShare, newShare, make(map[int]Window)}
			},
		}
		for name, newBounding := range boundings {
			for _, changes := range []bool{false, true} {
				arrivals := simulate(newBounding(), duration, changes)
				used := float64(len(arrivals)) / duration.Seconds() / perSecond
				highest := maxPerSecond(arrivals)
				t.Logf("%.1f a second, home changes %v, %s: %.2f used, %d in the busiest second", perSecond, changes, name, used, highest)
				if float64(highest) > perSecond {
					t.Errorf("%s: %d in one second, allowed %.1f", name, highest, perSecond)
				}
				if name == "0.8 and 0.2, window" && !changes && used < 0.6 {
					t.Errorf("only %.2f of the bound is used", used)
				}
			}
		}
	}
}

// simulate requests as much as an algorithm allows, and returns the arrival times.
func simulate(b bounding, duration time.Duration, changes bool) []time.Duration {
	random := rand.New(rand.NewPCG(1, 2))
	var arrivals []time.Duration
	ask := func(now time.Duration, box int, s Standing) {
		for b.allows(now, box, s) {
			arrivals = append(arrivals, now+time.Duration(random.Int64N(int64(MaxSendDelay))))
		}
	}
	for now := time.Duration(0); now < duration; now += step {
		takeover := duration / 2
		if !changes || now < takeover+viewSpread {
			ask(now, 0, Standing{Home: true, For: time.Hour})
		}
		if changes && now >= takeover {
			ask(now, 1, Standing{Home: true, For: now - takeover})
		}
	}
	return arrivals
}
