// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package streams

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func ExampleOnly() {
	started := View{Versions: []string{"v2"}}
	following := View{Versions: []string{"v1", "v2"}, Complete: true}
	fmt.Println(Only(started))
	fmt.Println(Only(started, following))
	fmt.Println(Only(started, View{Versions: []string{"v2"}, Complete: true}))
	// Output:
	//  false
	//  false
	// v2 true
}

func TestOnly(t *testing.T) {
	cases := map[string]struct {
		views    []View
		software string
		ok       bool
	}{
		"nobody names a version":                 {views: []View{{}, {Complete: true}}, ok: true},
		"nobody has followed the list for long":  {views: []View{{Versions: []string{"v1"}}, {Versions: []string{"v1"}}}},
		"one has":                                {views: []View{{Versions: []string{"v1"}}, {Versions: []string{"v1"}, Complete: true}}, software: "v1", ok: true},
		"the box that has knows another version": {views: []View{{Versions: []string{"v1"}}, {Versions: []string{"v2"}, Complete: true}}},
		"a box that has not knows another one":   {views: []View{{Versions: []string{"v2"}}, {Versions: []string{"v1"}, Complete: true}}},
		"two serve":                              {views: []View{{Versions: []string{"v1", "v2"}, Complete: true}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A stream is known to be of a version only if no other can have begun it", t, func() {
				software, ok := Only(c.views...)
				convey.So(ok, convey.ShouldEqual, c.ok)
				convey.So(software, convey.ShouldEqual, c.software)
			})
		})
	}
}

// TestOracleLedger compares the ledger with a plain map of the latest records.
func TestOracleLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type record struct {
			software string
			at       time.Time
		}
		var l Ledger
		now := time.Unix(0, 0)
		latest := make(map[Key]record)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "seconds")) * time.Second)
			o := Origin{Key: Key(rapid.IntRange(0, 5).Draw(t, "key")), Software: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "software")}
			l.Record(now, o)
			latest[o.Key] = record{software: o.Software, at: now}
			for key, r := range latest {
				software, known := l.Software(now, key)
				if alive := now.Sub(r.at) <= Keep; known != alive || known && software != r.software {
					t.Fatalf("key %d: %q %v, want %+v at %v", key, software, known, r, now)
				}
			}
			if l.Len() > len(latest) || len(l.byAge) > 61 {
				t.Fatalf("%d origins, %d ages", l.Len(), len(l.byAge))
			}
		}
	})
}

func TestLedgerIsBounded(t *testing.T) {
	convey.Convey("A ledger that is full forgets the oldest streams", t, func() {
		var l Ledger
		now := time.Unix(0, 0)
		for i := range maxOrigins + 10 {
			l.Record(now.Add(time.Duration(i)*time.Microsecond), Origin{Key: Key(i), Software: "v1"})
		}
		convey.So(l.Len(), convey.ShouldEqual, maxOrigins)
		_, known := l.Software(now, 0)
		convey.So(known, convey.ShouldBeFalse)
		_, known = l.Software(now, maxOrigins+9)
		convey.So(known, convey.ShouldBeTrue)
	})
}

// TestOracleSince compares the origins since a time with a plain list of records.
func TestOracleSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		now := time.Unix(0, 0)
		var records []aged
		for range rapid.IntRange(0, 40).Draw(t, "records") {
			now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
			key := Key(rapid.IntRange(0, 9).Draw(t, "key"))
			l.Record(now, Origin{Key: key, Software: "v1"})
			records = slices.DeleteFunc(records, func(a aged) bool { return a.key == key })
			records = append(records, aged{key: key, at: now})
		}
		after := time.Unix(int64(rapid.IntRange(0, 900).Draw(t, "after")), 0)
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		odd := func(key Key) bool { return key%2 == 1 }
		var want []Origin
		for _, a := range records {
			if a.at.After(after) && now.Sub(a.at) < Keep && odd(a.key) && len(want) < limit {
				want = append(want, Origin{Key: a.key, Software: "v1"})
			}
		}
		got, last := l.Since(now, after, limit, odd)
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		if rest, _ := l.Since(now, last, len(records)+1, odd); len(got) == limit && slices.ContainsFunc(rest, func(o Origin) bool { return slices.Contains(got, o) }) {
			t.Fatalf("%v come again after %v", rest, last)
		}
	})
}
