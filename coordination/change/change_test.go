// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package change

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/invalid"
	"runridge.example/runridge/state/example"
	"runridge.example/runridge/state/table"
	"runridge.example/runridge/tests/seed"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Run(m, 300))
}

var errLost = errors.New("connection broke")

// memoryStore is an object API in memory that can lose the answer of a write, after others
// have written on top of it.
type memoryStore struct {
	object adapter.Object
	lose   bool
	// after runs between a write and its lost answer.
	after func()
	// accepted holds the stamps of the writes that took effect.
	accepted map[string]bool
}

func (s *memoryStore) Get(context.Context, string, uint64) (adapter.Object, error) {
	return s.object, nil
}

func (s *memoryStore) Put(_ context.Context, _ string, version uint64, value []byte) (uint64, error) {
	if version != s.object.Version {
		return 0, adapter.ErrConflict
	}
	s.object = adapter.Object{Version: version + 1, Value: value}
	mine := s.object.Version
	if !s.lose {
		return mine, nil
	}
	s.lose = false
	if s.after != nil {
		s.after()
	}
	return 0, errLost
}

// write changes one cell and returns what Put returned to its author.
func write(t interface{ Fatal(...any) }, s *memoryStore, base Document, id, endpoint string, slots int) (uint64, error) {
	next, err := base.WithCell("endpoint", endpoint, "slots", fmt.Sprint(slots))
	if err != nil {
		t.Fatal(err)
	}
	return Put(context.Background(), s, base, next, Stamp{ID: id, Author: id})
}

func newStore(t interface{ Fatal(...any) }) *memoryStore {
	s := &memoryStore{accepted: make(map[string]bool)}
	first, _ := example.Table(example.Bogota)
	if _, err := Put(context.Background(), s, Document{}, first, Stamp{ID: "first"}); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestPut(t *testing.T) {
	ctx := context.Background()
	convey.Convey("A change", t, func() {
		s := newStore(t)
		base, err := Get(ctx, s)
		convey.So(err, convey.ShouldBeNil)

		convey.Convey("that loses a race returns the rows and the other author", func() {
			_, err := write(t, s, base, "ana", "lm-porta-decode-1", 10)
			convey.So(err, convey.ShouldBeNil)
			_, err = write(t, s, base, "luis", "lm-porta-decode-1", 12)
			var conflict *ConflictError
			convey.So(errors.As(err, &conflict), convey.ShouldBeTrue)
			convey.So(conflict.Rows, convey.ShouldResemble, []string{"endpoint lm-porta-decode-1"})
			convey.So(conflict.By.Author, convey.ShouldEqual, "ana")
		})
		convey.Convey("whose answer is lost is known to have been accepted, also under others' writes", func() {
			s.lose = true
			s.after = func() {
				now, _ := Get(ctx, s)
				_, err := write(t, s, now, "ana", "lm-porta-decode-2", 11)
				convey.So(err, convey.ShouldBeNil)
			}
			_, err := write(t, s, base, "luis", "lm-porta-decode-1", 12)
			convey.So(err, convey.ShouldBeNil)
			now, _ := Get(ctx, s)
			e, _ := now.Endpoint("lm-porta-decode-1")
			convey.So(e.Slots, convey.ShouldEqual, 12)
			e, _ = now.Endpoint("lm-porta-decode-2")
			convey.So(e.Slots, convey.ShouldEqual, 11)
		})
		convey.Convey("that is not valid is not written", func() {
			next, err := base.WithCell("endpoint", "lm-porta-decode-1", "zone", "nowhere")
			convey.So(err, convey.ShouldBeNil)
			_, err = Put(ctx, s, base, next, Stamp{ID: "x"})
			var problems invalid.FieldErrors
			convey.So(errors.As(err, &problems), convey.ShouldBeTrue)
			now, _ := Get(ctx, s)
			convey.So(now.Generation, convey.ShouldEqual, base.Generation)
		})
		convey.Convey("to a cell that does not exist says what does", func() {
			_, err := base.WithCell("endpoint", "lm-porta-decode-1", "slot", "3")
			convey.So(err, convey.ShouldNotBeNil)
			_, err = base.WithCell("endpoint", "lm-porta-decode-11", "slots", "3")
			convey.So(err.Error(), convey.ShouldContainSubstring, "nearest: lm-porta-decode-1")
		})
	})
}

// TestWritersAgree lets operators change the same table concurrently, with lost answers.
// It checks that each author was told correctly whether the change was accepted, and that
// no accepted change is lost.
func TestWritersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore(t)
		bases := make([]Document, 3)
		reported := 0
		var first uint64
		for n := range rapid.IntRange(1, 25).Draw(t, "steps") {
			w := rapid.IntRange(0, 2).Draw(t, "writer")
			if bases[w].Generation == 0 || rapid.Bool().Draw(t, "reads") {
				bases[w], _ = Get(context.Background(), s)
			}
			if first == 0 {
				first = s.object.Version
			}
			s.lose = rapid.Bool().Draw(t, "lost")
			before := s.object.Version
			_, err := write(t, s, bases[w], fmt.Sprintf("w%d-%d", w, n), "lm-porta-decode-1", 1+n)
			s.lose = false
			if accepted := s.object.Version > before; accepted != (err == nil) {
				t.Fatalf("accepted is %v, reported error %v", accepted, err)
			}
			if err == nil {
				reported++
			}
		}
		if got := s.object.Version - first; got != uint64(reported) {
			t.Fatalf("%d changes were reported as accepted, the generation grew by %d", reported, got)
		}
	})
}

func ExampleDocument() {
	t, _ := example.Table(example.Kolkata)
	d := Document{Table: t}
	next, err := d.WithCell("row", "order-reader/order-reader-decode", "weights.howrah-hall", "50")
	fmt.Println(table.Diff(d.Table, next).Names(), err)
	// Output: [row order-reader/order-reader-decode] <nil>
}
