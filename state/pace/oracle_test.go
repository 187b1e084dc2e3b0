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
	// step is the simulated time between two rounds of grants.
	step = 10 * time.Millisecond
	// detection is the least time after which a silent box is considered dead, and spread is
	// the time within which all other boxes see that once the first one does.
	detection = 2200 * time.Millisecond
	spread    = time.Second
)

// tenure is the time in which one box is the home of the group, as the box itself sees it.
// Other boxes of the world may see the same moment differently.
type tenure struct {
	// box identifies the process; a process that is restarted is another box.
	box        int
	begin, end time.Duration
	// since is when it became the home, which may be long before begin.
	since time.Duration
	// askedFrom is when other boxes start to ask it in place of a silent home; 0 means not
	// before begin.
	askedFrom time.Duration
	// seen is the number of boxes that it sees.
	seen int
}

// world simulates a group with one cold endpoint and the boxes that become its home in turn.
type world struct {
	bound   Bound
	pace    float64
	all     int
	tenures []tenure
	windows map[int]Window
	random  *rand.Rand
	// pending holds the grants whose requests are still open, and arrivals the times at which
	// requests were sent.
	pending  []openGrant
	arrivals []time.Duration
}

// openGrant is a grant whose request is in flight.
type openGrant struct {
	box int
	// granted is the time of the grant. notified, unless negative, is when the home learns that
	// the prefill is done, and at is when the request is sent.
	granted, notified, at time.Duration
}

// change draws the end of the current tenure and the start of the next one after a moment, and
// returns the next one.
func (w *world) change(t *rapid.T, home tenure, now time.Duration) tenure {
	draw := func(from, to time.Duration, label string) time.Duration {
		return from + time.Duration(rapid.Int64Range(0, int64(to-from)).Draw(t, label))
	}
	next := tenure{box: home.box + 1, seen: home.seen}
	switch rapid.SampledFrom([]string{"killed", "cut off", "moved", "returned", "frozen", "partition"}).Draw(t, "how") {
	case "killed":
		home.end = now
		next.askedFrom = now + draw(0, spread, "asked")
		next.begin = now + draw(detection, detection+spread, "detected")
	case "cut off":
		// The boxes on the other side of the cut still reach it, and it does not notice yet.
		seen := now + draw(detection, detection+spread, "detected")
		home.end = draw(seen-spread, seen+spread, "known here")
		next.askedFrom = now + draw(0, spread, "asked")
		next.begin = seen
	case "moved":
		// Two live boxes that agree on the home within the spread.
		home.end = now + draw(0, spread, "known here")
		next.begin = now + draw(0, spread, "known there")
	case "returned":
		// Another box is the home for a moment, as that box sees it.
		back := now + draw(0, ReturnTime, "back")
		home.end = now
		other := tenure{box: -1 - len(w.tenures), begin: draw(now-spread, back, "there"), end: back + draw(0, spread, "known there"), seen: home.seen}
		other.since = other.begin
		w.tenures = append(w.tenures, home, other)
		home.begin = back
		return home
	case "frozen":
		home.end = now
		next.askedFrom = now + draw(0, spread, "asked")
		next.begin = now + draw(detection, detection+spread, "detected")
		// Once resumed, it acts as a box that has just become the home, until it learns of the
		// other.
		resumed := now + draw(freezeDetection, 6*time.Second, "frozen for")
		w.tenures = append(w.tenures, tenure{box: home.box, begin: resumed, end: resumed + draw(0, spread, "known here"), since: resumed, seen: home.seen})
	case "partition":
		// Each side of the partition keeps its own home; the old home sees fewer boxes once it
		// has noticed.
		here := rapid.IntRange(0, home.seen).Draw(t, "here")
		noticed := now + draw(detection, detection+spread, "detected")
		home.end = noticed
		w.tenures = append(w.tenures, tenure{box: home.box, begin: noticed, end: noticed + 4*time.Second, since: home.since, seen: here})
		next.begin, next.seen = draw(noticed-spread, noticed+spread, "there"), home.seen-here
	}
	next.since = next.begin
	w.tenures = append(w.tenures, home)
	return next
}

// freezeDetection is the time after which a home notices that it was frozen.
const freezeDetection = 500 * time.Millisecond

// grant lets every current home make the grants that it may make.
func (w *world) grant(now time.Duration) {
	within := func(limit time.Duration) time.Duration { return time.Duration(w.random.Int64N(int64(limit) + 1)) }
	for _, d := range w.tenures {
		if now < d.begin || now >= d.end {
			continue
		}
		limit := w.bound.Limit(w.pace, Standing{Home: true, For: now - d.since, Seen: d.seen, All: w.all})
		for range w.random.IntN(4) {
			if w.windows[d.box].Count(now) >= limit {
				break
			}
			s := openGrant{box: d.box, granted: now, notified: -1}
			if w.random.IntN(2) == 0 {
				w.windows[d.box] = w.windows[d.box].WithOpen(now)
				s.notified = now + within(OpenTimeout-MaxSendDelay)
				s.at = s.notified + within(MaxSendDelay)
				if w.random.IntN(10) == 0 {
					// The notification is lost.
					s.notified = now + time.Hour
				}
			} else {
				w.windows[d.box] = w.windows[d.box].WithSent(now)
				s.at = now + within(MaxSendDelay)
			}
			w.pending = append(w.pending, s)
			w.arrivals = append(w.arrivals, s.at)
		}
	}
	w.pending = slices.DeleteFunc(w.pending, func(s openGrant) bool {
		if s.notified < 0 || s.notified > now {
			return s.notified < 0
		}
		w.windows[s.box] = w.windows[s.box].WithDone(s.granted, now)
		return true
	})
}

// maxPerSecond returns the highest number of arrivals within any second.
func maxPerSecond(arrivals []time.Duration) int {
	slices.SortFunc(arrivals, cmp.Compare[time.Duration])
	highest, from := 0, 0
	for i, at := range arrivals {
		for at-arrivals[from] >= time.Second {
			from++
		}
		highest = max(highest, i-from+1)
	}
	return highest
}

// TestOracle simulates homes that crash, are cut off, move, freeze or are partitioned. Their
// views of the group differ for up to a second, and requests are sent late.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			bound: Bound{Overage: rapid.Float64Range(0, 3).Draw(t, "overage"), Slack: rapid.Float64Range(0.5, 12).Draw(t, "slack")},
			pace:  rapid.SampledFrom([]float64{0.3, 1, 4, 15}).Draw(t, "pace"),
			all:   rapid.IntRange(2, 60).Draw(t, "boxes"), windows: make(map[int]Window),
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		}
		home := tenure{since: -time.Minute, seen: w.all}
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			now := home.begin + time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "until"))
			home = w.change(t, home, now)
		}
		end := home.begin + 5*time.Second
		home.end = end
		w.tenures = append(w.tenures, home)
		for now := time.Duration(0); now < end; now += step {
			w.grant(now)
		}
		if got, allowed := maxPerSecond(w.arrivals), w.bound.PerSecond(w.pace); float64(got) > allowed {
			t.Fatalf("%d requests in one second, allowed %.2f", got, allowed)
		}
	})
}

// TestGroupSplitAndRejoined simulates a group that is split in two for half a second, because
// new endpoints are listed while the old ones expire. Within one second the endpoint has four
// homes, two of them because views of the group differ.
func TestGroupSplitAndRejoined(t *testing.T) {
	const ms, all = time.Millisecond, 58
	w := &world{
		bound: Bound{Overage: 1.5, Slack: 5}, pace: 1, all: all,
		windows: make(map[int]Window), random: rand.New(rand.NewPCG(1, 1)),
	}
	for i, d := range []tenure{
		{since: -time.Minute, begin: 0, end: 150 * ms},
		{since: 160 * ms, begin: 160 * ms, end: 540 * ms},
		{since: 760 * ms, begin: 760 * ms, end: 4 * time.Second},
		{since: 850 * ms, begin: 850 * ms, end: time.Second},
	} {
		d.box, d.seen = i, all
		w.tenures = append(w.tenures, d)
	}
	for now := time.Duration(0); now < 4*time.Second; now += step {
		w.grant(now)
	}
	if got := maxPerSecond(w.arrivals); float64(got) > w.bound.PerSecond(w.pace) {
		t.Errorf("%d requests in one second, allowed %.1f", got, w.bound.PerSecond(w.pace))
	}
}
