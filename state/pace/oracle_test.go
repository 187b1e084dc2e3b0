// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pace

import (
	"cmp"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"runridge.example/runridge/tests/seed"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Run(m, 1000))
}

const (
	// step is the time between two looks at a world.
	step = 10 * time.Millisecond
	// detection is the least time after which a silent box is taken for dead, and
	// spread within how long after the first all others see it too.
	detection = 2200 * time.Millisecond
	spread    = time.Second
)

// duty is one box's time as home of the group, as it sees it itself: the world has
// other views of the same moment.
type duty struct {
	// box is the process; one that comes back is another.
	box         int
	begin, ends time.Duration
	// began is when it became home, which may be long before begin.
	began time.Duration
	// standsIn is from when it is asked in place of a silent home; 0 is not before begin.
	standsIn time.Duration
	// seen are the boxes that it sees.
	seen int
}

// world is a group with one cold endpoint, and the boxes that are home of it in turn.
type world struct {
	bound   Bound
	pace    float64
	all     int
	duties  []duty
	windows map[int]Window
	random  *rand.Rand
	// pending are grants on their way, and arrivals when requests were sent.
	pending  []sending
	arrivals []time.Duration
}

// sending is a grant whose request is under way.
type sending struct {
	box int
	// granted is its grant; told, if it is not negative, when its home hears that the
	// prefill is done; at when the request is sent.
	granted, told, at time.Duration
}

// change draws the end of one home and the begin of the next after a moment, and
// returns the next.
func (w *world) change(t *rapid.T, home duty, now time.Duration) duty {
	draw := func(from, to time.Duration, what string) time.Duration {
		return from + time.Duration(rapid.Int64Range(0, int64(to-from)).Draw(t, what))
	}
	next := duty{box: home.box + 1, seen: home.seen}
	switch rapid.SampledFrom([]string{"killed", "cut off", "moved", "returned", "frozen", "partition"}).Draw(t, "how") {
	case "killed":
		home.ends = now
		next.standsIn = now + draw(0, spread, "asked")
		next.begin = now + draw(detection, detection+spread, "detected")
	case "cut off":
		// Those behind the cut reach it, and it does not know yet.
		seen := now + draw(detection, detection+spread, "detected")
		home.ends = draw(seen-spread, seen+spread, "known here")
		next.standsIn = now + draw(0, spread, "asked")
		next.begin = seen
	case "moved":
		// Two live boxes that agree within the spread.
		home.ends = now + draw(0, spread, "known here")
		next.begin = now + draw(0, spread, "known there")
	case "returned":
		// Another box has it for a moment, by its own view.
		back := now + draw(0, ReturnTime, "back")
		home.ends = now
		other := duty{box: -1 - len(w.duties), begin: draw(now-spread, back, "there"), ends: back + draw(0, spread, "known there"), seen: home.seen}
		other.began = other.begin
		w.duties = append(w.duties, home, other)
		home.begin = back
		return home
	case "frozen":
		home.ends = now
		next.standsIn = now + draw(0, spread, "asked")
		next.begin = now + draw(detection, detection+spread, "detected")
		// It goes on as one that has just become home, until it hears.
		thawed := now + draw(stillFor, 6*time.Second, "frozen for")
		w.duties = append(w.duties, duty{box: home.box, begin: thawed, ends: thawed + draw(0, spread, "known here"), began: thawed, seen: home.seen})
	case "partition":
		// Each side has a home for good; the old one sees fewer once it has noticed.
		here := rapid.IntRange(0, home.seen).Draw(t, "here")
		noticed := now + draw(detection, detection+spread, "detected")
		home.ends = noticed
		w.duties = append(w.duties, duty{box: home.box, begin: noticed, ends: noticed + 4*time.Second, began: home.began, seen: here})
		next.begin, next.seen = draw(noticed-spread, noticed+spread, "there"), home.seen-here
	}
	next.began = next.begin
	w.duties = append(w.duties, home)
	return next
}

// stillFor is after how long a home notices that it stood still.
const stillFor = 500 * time.Millisecond

// grant lets each home of the moment give out what it may.
func (w *world) grant(now time.Duration) {
	within := func(most time.Duration) time.Duration { return time.Duration(w.random.Int64N(int64(most) + 1)) }
	for _, d := range w.duties {
		if now < d.begin || now >= d.ends {
			continue
		}
		limit := w.bound.Limit(w.pace, Standing{Home: true, For: now - d.began, Seen: d.seen, All: w.all})
		for range w.random.IntN(4) {
			if w.windows[d.box].Count(now) >= limit {
				break
			}
			s := sending{box: d.box, granted: now, told: -1}
			if w.random.IntN(2) == 0 {
				w.windows[d.box] = w.windows[d.box].WithOpen(now)
				s.told = now + within(OpenFor-Lag)
				s.at = s.told + within(Lag)
				if w.random.IntN(10) == 0 {
					// The word is lost.
					s.told = now + time.Hour
				}
			} else {
				w.windows[d.box] = w.windows[d.box].WithSent(now)
				s.at = now + within(Lag)
			}
			w.pending = append(w.pending, s)
			w.arrivals = append(w.arrivals, s.at)
		}
	}
	w.pending = slices.DeleteFunc(w.pending, func(s sending) bool {
		if s.told < 0 || s.told > now {
			return s.told < 0
		}
		w.windows[s.box] = w.windows[s.box].WithDone(s.granted, now)
		return true
	})
}

// fullest is the most arrivals in any second.
func fullest(arrivals []time.Duration) int {
	slices.SortFunc(arrivals, cmp.Compare[time.Duration])
	most, from := 0, 0
	for i, at := range arrivals {
		for at-arrivals[from] >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// TestOracle plays homes that die, are cut off, move, freeze and are parted, with
// views that differ for up to a second, and requests that are sent late.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			bound: Bound{Overage: rapid.Float64Range(0, 3).Draw(t, "overage"), Slack: rapid.Float64Range(0.5, 12).Draw(t, "slack")},
			pace:  rapid.SampledFrom([]float64{0.3, 1, 4, 15}).Draw(t, "pace"),
			all:   rapid.IntRange(2, 60).Draw(t, "boxes"), windows: make(map[int]Window),
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		}
		home := duty{began: -time.Minute, seen: w.all}
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			now := home.begin + time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "until"))
			home = w.change(t, home, now)
		}
		lasts := home.begin + 5*time.Second
		home.ends = lasts
		w.duties = append(w.duties, home)
		for now := time.Duration(0); now < lasts; now += step {
			w.grant(now)
		}
		if got, allowed := fullest(w.arrivals), w.bound.PerSecond(w.pace); float64(got) > allowed {
			t.Fatalf("%d requests in one second, allowed %.2f", got, allowed)
		}
	})
}

// TestGroupsCutAnewAndBack plays a group that is cut into two for half a second, while
// new endpoints are listed beside those that lapse: in one second its endpoint has four
// homes, two of them by different views.
func TestGroupsCutAnewAndBack(t *testing.T) {
	const ms, all = time.Millisecond, 58
	w := &world{
		bound: Bound{Overage: 1.5, Slack: 5}, pace: 1, all: all,
		windows: make(map[int]Window), random: rand.New(rand.NewPCG(1, 1)),
	}
	for i, d := range []duty{
		{began: -time.Minute, begin: 0, ends: 150 * ms},
		{began: 160 * ms, begin: 160 * ms, ends: 540 * ms},
		{began: 760 * ms, begin: 760 * ms, ends: 4 * time.Second},
		{began: 850 * ms, begin: 850 * ms, ends: time.Second},
	} {
		d.box, d.seen = i, all
		w.duties = append(w.duties, d)
	}
	for now := time.Duration(0); now < 4*time.Second; now += step {
		w.grant(now)
	}
	if got := fullest(w.arrivals); float64(got) > w.bound.PerSecond(w.pace) {
		t.Errorf("%d requests in one second, allowed %.1f", got, w.bound.PerSecond(w.pace))
	}
}
