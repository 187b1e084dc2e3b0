// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cover

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// step is the resolution of the simulation, and wait is how long one read of the platform
	// takes.
	step = 10 * time.Millisecond
	wait = 600 * time.Millisecond
)

// box is one box of a simulated fleet.
type box struct {
	cover Cover
	// reading is when its current read ends; zero if there is none.
	reading time.Time
	reads   int
	// A partitioned box neither receives nor sends messages, the platform refuses the calls of
	// a refused one, and a dead one does nothing.
	partitioned, refused, dead bool
	// uncovered is how long the box has known nothing of the platform, and longest the longest
	// such time.
	uncovered, longest time.Duration
}

// fleet simulates boxes whose messages reach the others within one step.
type fleet struct {
	now    time.Time
	boxes  []*box
	chance *rand.Rand
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), chance: rand.New(rand.NewPCG(1, 2))}
	for range n {
		f.boxes = append(f.boxes, &box{cover: New(f.now)})
	}
	return f
}

// place returns the place of a box among the live ones; the dead boxes are known to be dead.
func (f *fleet) place(i int) Place {
	rank, boxes := 0, 0
	for j, b := range f.boxes {
		if b.dead {
			continue
		}
		boxes++
		if j < i {
			rank++
		}
	}
	return Place{Rank: rank, Boxes: boxes}
}

// run simulates the fleet for a time.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for i, b := range f.boxes {
			if b.dead {
				continue
			}
			b.uncovered += step
			b.longest = max(b.longest, b.uncovered)
			f.act(i, b)
		}
	}
}

func (f *fleet) act(i int, b *box) {
	p := f.place(i)
	if b.reading.IsZero() {
		if decided := b.cover.Decide(f.now, p); decided.Read {
			b.reads++
			b.reading = f.now.Add(step)
			switch {
			case decided.AtOnce:
			case decided.MaxWait > 0:
				b.reading = f.now.Add(min(wait, decided.MaxWait))
			default:
				b.reading = f.now.Add(wait)
			}
		}
		return
	}
	if f.now.Before(b.reading) {
		return
	}
	b.reading = time.Time{}
	b.cover = b.cover.WithRead(f.now, p, !b.refused, f.chance.Float64())
	if !b.refused {
		b.uncovered = 0
	}
	if !b.cover.Decide(f.now, p).Announce || b.partitioned {
		return
	}
	for j, other := range f.boxes {
		if j == i || other.partitioned || other.dead {
			continue
		}
		if b.refused {
			other.cover = other.cover.WithLost(f.now, f.place(j), f.chance.Float64())
			continue
		}
		other.cover = other.cover.WithUpdate(f.now, f.place(j), p)
		other.uncovered = 0
	}
}

// resetMeasurements resets the counters of all boxes.
func (f *fleet) resetMeasurements() {
	for _, b := range f.boxes {
		b.reads, b.longest, b.uncovered = 0, 0, 0
	}
}

func TestFleet(t *testing.T) {
	const size = 100
	cases := map[string]struct {
		// fault starts after ten seconds and lasts for ten seconds.
		fault func(f *fleet)
		// readers is the maximum number of boxes that read, reads the maximum number of reads
		// in total, and uncovered the longest time for which a healthy box may know nothing.
		readers, reads int
		uncovered      time.Duration
	}{
		"no fault": {
			fault:   func(*fleet) {},
			readers: Readers, reads: Readers * 17, uncovered: Validity,
		},
		"the readers die": {
			fault:   func(f *fleet) { f.boxes[0].dead, f.boxes[1].dead, f.boxes[2].dead = true, true, true },
			readers: Readers, reads: Readers * 17, uncovered: 2 * Validity,
		},
		"the readers are partitioned, the others consider them alive": {
			fault: func(f *fleet) {
				f.boxes[0].partitioned, f.boxes[1].partitioned, f.boxes[2].partitioned = true, true, true
			},
			readers: Readers + 40, reads: Readers*17 + 60, uncovered: 2 * Validity,
		},
		"the platform refuses the readers": {
			fault:   func(f *fleet) { f.boxes[0].refused, f.boxes[1].refused, f.boxes[2].refused = true, true, true },
			readers: Readers + 20, reads: Readers*17 + 60, uncovered: Validity + 2*wait + time.Second,
		},
		"the platform refuses one reader": {
			fault:   func(f *fleet) { f.boxes[1].refused = true },
			readers: Readers, reads: Readers * 17, uncovered: Validity,
		},
		"the platform refuses all boxes": {
			fault: func(f *fleet) {
				for _, b := range f.boxes {
					b.refused = true
				}
			},
			readers: size, reads: Readers*17 + 2*int(10*time.Second/tryGap), uncovered: 11 * time.Second,
		},
		"one box is partitioned": {
			fault:   func(f *fleet) { f.boxes[size-1].partitioned = true },
			readers: Readers + 1, reads: (Readers + 1) * 17, uncovered: Validity + maxTakeoverDelay + wait + 10*step,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(size)
			f.run(10 * time.Second)
			f.resetMeasurements()
			c.fault(f)
			f.run(10 * time.Second)
			readers, reads := 0, 0
			for i, b := range f.boxes {
				reads += b.reads
				if b.reads > 0 {
					readers++
				}
				healthy := !b.dead && (!b.refused || i >= Readers)
				if healthy && b.longest > c.uncovered {
					t.Errorf("box %d knew nothing for %v, want at most %v", i, b.longest, c.uncovered)
				}
			}
			if readers > c.readers || reads > c.reads {
				t.Errorf("%d boxes read %d times, want at most %d and %d", readers, reads, c.readers, c.reads)
			}
		})
	}
}

func TestReadersTakeOverAgain(t *testing.T) {
	f := newFleet(20)
	f.run(5 * time.Second)
	for _, b := range f.boxes[:Readers] {
		b.refused = true
	}
	f.run(10 * time.Second)
	for _, b := range f.boxes[:Readers] {
		b.refused = false
	}
	f.run(3 * time.Second)
	f.resetMeasurements()
	f.run(5 * time.Second)
	for i, b := range f.boxes {
		if (b.reads > 0) != (i < Readers) {
			t.Errorf("box %d read %d times after the readers were back", i, b.reads)
		}
	}
}

func TestStart(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(now)
	cases := map[string]struct {
		after time.Duration
		place Place
		read  bool
	}{
		"a box that knows no other yet":  {place: Place{Boxes: 1}},
		"the only box":                   {after: startTime, place: Place{Boxes: 1}, read: true},
		"a reader that knows the others": {place: Place{Rank: 2, Boxes: 9}, read: true},
		"another box before any update":  {after: startTime, place: Place{Rank: 3, Boxes: 9}},
		"another box without any update": {after: startTime + Validity + maxTakeoverDelay, place: Place{Rank: 8, Boxes: 9}, read: true},
		"a box that has left the order":  {after: time.Second, place: Place{Rank: -1, Boxes: 9}},
	}
	for name, c2 := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.Decide(now.Add(c2.after), c2.place).Read; got != c2.read {
				t.Errorf("reads: %v, want %v", got, c2.read)
			}
		})
	}
}

func TestPasses(t *testing.T) {
	now := time.Unix(1000, 0)
	updated := New(now).WithUpdate(now, Place{Rank: 9, Boxes: 10}, Place{Rank: 1, Boxes: 10})
	cases := map[string]struct {
		cover  Cover
		after  time.Duration
		origin Place
		want   bool
	}{
		"an update of a reader":                             {cover: updated, origin: Place{Rank: 0}, want: true},
		"an update of a stand-in while a reader sends":      {cover: updated, origin: Place{Rank: 5}},
		"an update of a stand-in without any reader":        {cover: New(now), origin: Place{Rank: 5}, want: true},
		"an update of a stand-in after the readers stopped": {cover: updated, after: Validity, origin: Place{Rank: 5}, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.cover.Forwards(now.Add(c.after), c.origin); got != c.want {
				t.Errorf("forwards: %v, want %v", got, c.want)
			}
		})
	}
}
