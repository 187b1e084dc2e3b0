// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package held

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"runridge.example/runridge/modules/log"
)

// manualClock is a clock that a test sets.
type manualClock struct{ now time.Time }

func newManualClock() *manualClock { return &manualClock{now: time.Unix(1000, 0)} }

func (m *manualClock) advance(d time.Duration) { m.now = m.now.Add(d) }

func (m *manualClock) budget(size int64) *Budget {
	return New(Config{Bytes: size, Log: log.Discard(), Now: func() time.Time { return m.now }})
}

func TestPaceYields(t *testing.T) {
	now := time.Unix(1000, 0)
	old := func(moved int64) pace { return pace{begun: now.Add(-10 * time.Second), moved: moved} }
	young := pace{begun: now.Add(-minAge / 2)}
	cases := map[string]struct {
		pace  pace
		other *pace
		want  bool
	}{
		"a young hold is not evicted":              {young, nil, false},
		"an old hold yields to one without a pace": {old(1 << 20), nil, true},
		"an old hold yields to a young one":        {old(1 << 20), &young, true},
		"a slower hold yields":                     {old(10), &pace{begun: now.Add(-10 * time.Second), moved: 20}, true},
		"a faster hold does not yield":             {old(30), &pace{begun: now.Add(-10 * time.Second), moved: 20}, false},
		"an equally fast hold does not yield":      {old(20), &pace{begun: now.Add(-10 * time.Second), moved: 20}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.pace.yieldsTo(now, c.other); got != c.want {
				t.Fatalf("yields: %v", got)
			}
		})
	}
}

func TestSlowestIsEvicted(t *testing.T) {
	convey.Convey("Without room the slowest hold is evicted, but neither young ones nor a complete body", t, func() {
		m := newManualClock()
		b := m.budget(300)
		gone := make(chan string, 3)
		open := func(name string) *Hold {
			h := b.Open(Upload, name, func() { gone <- name })
			convey.So(h.Take(100), convey.ShouldBeTrue)
			return h
		}
		slow, whole := open("slow"), open("whole")
		fast := open("fast")
		slow.Moved(1)
		fast.Moved(100)
		whole.Complete()
		young := b.Open(Upload, "young", func() { gone <- "young" })
		convey.So(young.Take(100), convey.ShouldBeFalse)

		m.advance(minAge)
		young.Close()
		young = b.Open(Upload, "young", func() { gone <- "young" })
		convey.So(young.TryTake(100), convey.ShouldBeFalse)
		convey.So(young.Take(100), convey.ShouldBeTrue)
		convey.So(<-gone, convey.ShouldEqual, "slow")
		convey.So(slow.Take(1), convey.ShouldBeFalse)
		slow.Close()
		convey.So(b.Status().Used, convey.ShouldEqual, 300)
		convey.So(b.Status().ByKind["body"], convey.ShouldEqual, 100)

		answer := b.Open(Answer, "answer", nil)
		convey.So(answer.Take(150), convey.ShouldBeFalse)
		for _, h := range []*Hold{fast, whole, young, answer} {
			h.Close()
		}
		convey.So(b.Status().Used, convey.ShouldEqual, 0)
	})
}

// TestBudgetOracle takes and gives bytes at random and checks that never more than the
// bound is held, and that the bytes held are the sum over the holds that have not ended.
func TestBudgetOracle(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := newManualClock()
		bound := int64(rapid.IntRange(1, 1000).Draw(r, "bound"))
		b := m.budget(bound)
		type entry struct {
			hold *Hold
			gone chan struct{}
			sum  int64
		}
		var all []*entry
		pick := func() *entry { return all[rapid.IntRange(0, len(all)-1).Draw(r, "which")] }
		r.Repeat(map[string]func(*rapid.T){
			"open": func(r *rapid.T) {
				e := &entry{gone: make(chan struct{}, 1)}
				var onEvict func()
				if rapid.Bool().Draw(r, "yields") {
					onEvict = func() { e.gone <- struct{}{} }
				}
				e.hold = b.Open(Upload, "", onEvict)
				all = append(all, e)
			},
			"take": func(r *rapid.T) {
				if len(all) == 0 {
					return
				}
				e, n := pick(), rapid.IntRange(0, 400).Draw(r, "bytes")
				take := e.hold.Take
				if rapid.Bool().Draw(r, "try") {
					take = e.hold.TryTake
				}
				if take(n) {
					e.sum += int64(n)
				}
			},
			"give": func(r *rapid.T) {
				if len(all) == 0 {
					return
				}
				e := pick()
				n := int64(rapid.IntRange(0, int(e.sum)).Draw(r, "bytes"))
				e.hold.Give(int(n))
				e.sum -= n
			},
			"move": func(r *rapid.T) {
				if len(all) > 0 {
					pick().hold.Moved(rapid.IntRange(0, 400).Draw(r, "bytes"))
				}
			},
			"complete": func(*rapid.T) {
				if len(all) > 0 {
					pick().hold.Complete()
				}
			},
			"close": func(*rapid.T) {
				if len(all) > 0 {
					e := pick()
					e.hold.Close()
					e.sum = 0
				}
			},
			"pass": func(r *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(0, 3000).Draw(r, "ms")) * time.Millisecond)
			},
			"": func(r *rapid.T) {
				sum := int64(0)
				for _, e := range all {
					if e.hold.ended {
						e.sum = 0
					}
					sum += e.sum
				}
				s := b.Status()
				byKind := int64(0)
				for _, n := range s.ByKind {
					byKind += n
				}
				if s.Used != sum || byKind != sum || s.Peak > bound {
					r.Fatalf("held %d, by kind %d, most %d of %d; the holds have %d", s.Used, byKind, s.Peak, bound, sum)
				}
			},
		})
	})
}

func TestRead(t *testing.T) {
	body := bytes.Repeat([]byte("b"), 3*initialSize)
	cases := map[string]struct {
		length int64
		limit  int
		bound  int64
		err    error
	}{
		"a known length":                     {int64(len(body)), len(body), 1 << 20, nil},
		"an unknown length":                  {UnknownLength, len(body), 1 << 20, nil},
		"longer than allowed":                {UnknownLength, len(body) - 1, 1 << 20, ErrTooLong},
		"no room at all":                     {UnknownLength, len(body), initialSize - 1, ErrBudgetExhausted},
		"no room for the rest":               {UnknownLength, len(body), 2 * initialSize, ErrBudgetExhausted},
		"room for just the announced length": {int64(len(body)), 1 << 20, int64(len(body)) + 1, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newManualClock().budget(c.bound)
			h := b.Open(Upload, "", nil)
			got, err := Read(iotest.OneByteReader(bytes.NewReader(body)), h, c.length, c.limit)
			if !errors.Is(err, c.err) {
				t.Fatalf("error %v", err)
			}
			if err == nil && !bytes.Equal(got, body) {
				t.Fatalf("%d bytes of %d", len(got), len(body))
			}
			if b.Status().Used < int64(cap(got)) {
				t.Fatalf("%d bytes held, %d in memory", b.Status().Used, cap(got))
			}
		})
	}
	t.Run("a body that is announced and does not come takes little", func(t *testing.T) {
		b := newManualClock().budget(1 << 20)
		_, err := Read(io.MultiReader(bytes.NewReader(body[:1]), iotest.ErrReader(io.ErrUnexpectedEOF)), b.Open(Upload, "", nil), 1<<19, 1<<20)
		if !errors.Is(err, io.ErrUnexpectedEOF) || b.Status().Peak > initialSize {
			t.Fatalf("error %v, %d bytes held", err, b.Status().Peak)
		}
	})
}
