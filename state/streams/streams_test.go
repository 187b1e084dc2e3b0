// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package streams

import (
	"fmt"
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
