// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package streams

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/state/streams"
)

// runBatches starts the writer of a box. It ends with the test.
func runBatches(t *testing.T, k *Keeper) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = k.RunBatches(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// runFleet starts the writers of a fleet.
func runFleet(t *testing.T, f *fleet) {
	t.Helper()
	for _, k := range f.keepers {
		runBatches(t, k)
	}
}

// restartAll replaces all boxes by new processes that know nothing. They do not write.
func (f *fleet) restartAll() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for box, k := range f.keepers {
		f.keepers[box] = New(k.cfg)
	}
}

// Guards against streams that are refused for good because all boxes have ended while several versions serve.
func TestStreamsAreLostWithAllBoxes(t *testing.T) {
	const begun = 40
	cases := map[string]struct {
		// prepare changes the fleet while its writers run, before the streams begin, and after, once they run.
		prepare, after func(f *fleet)
		// returned changes the fleet after all boxes have started again.
		returned func(f *fleet)
		// wait is how long the streams have run when the boxes end.
		wait time.Duration
		// found reports that the streams go on, and unread that it is not known yet whether they do.
		found, unread bool
	}{
		"their origins are written":    {wait: 2 * batchInterval, found: true},
		"they have run for long":       {wait: horizon - 2*time.Second, found: true},
		"they have begun a moment ago": {wait: time.Millisecond},
		"the platform is away when their callers return": {
			wait: 2 * batchInterval, returned: func(f *fleet) { f.store.away = true }, unread: true,
		},
		"the second version came after they had begun": {
			prepare: func(f *fleet) { f.setViews(sole) }, after: func(f *fleet) { f.setViews(mixed) }, wait: 2 * batchInterval, found: true,
		},
		"the platform was away at times": {
			prepare: func(f *fleet) { f.store.away = true }, after: func(f *fleet) { f.store.away = false }, wait: 3 * batchInterval, found: true,
		},
		"the platform lost answers": {
			prepare: func(f *fleet) { f.store.loses = true }, after: func(f *fleet) { f.store.loses = false }, wait: 3 * batchInterval, found: true,
		},
		"another writer has destroyed the batches": {
			wait: 2 * batchInterval, returned: func(f *fleet) {
				for name, b := range f.store.batches {
					f.store.batches[name] = Batch{Name: b.Name, Revision: b.Revision}
				}
			},
		},
		"another box writes the same batches": {
			after: func(f *fleet) { f.order = []string{"c", "b", "a"} }, wait: 4 * batchInterval, found: true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(mixed, "a", "b", "c")
				if c.prepare != nil {
					f.change(func() { c.prepare(f) })
				}
				runFleet(t, f)
				time.Sleep(3*batchInterval + time.Millisecond)
				software := func(i int) string { return []string{"v1", "v2"}[i%2] }
				for i := range begun {
					f.keepers["abc"[i%3:i%3+1]].Begin(service, fmt.Sprint(i), software(i))
				}
				time.Sleep(2 * time.Millisecond)
				if c.after != nil {
					f.change(func() { c.after(f) })
				}
				// New streams come all the time.
				for ended := time.Now().Add(c.wait); time.Now().Before(ended); time.Sleep(min(100*time.Millisecond, c.wait)) {
					f.keepers["b"].Begin(service, time.Now().String(), "v1")
				}
				f.restartAll()
				if c.returned != nil {
					f.change(func() { c.returned(f) })
				}
				for i := range begun {
					found := f.keepers["cab"[i%3:i%3+1]].Find(t.Context(), service, fmt.Sprint(i), horizon)
					if known := found.Source != Unknown; known != c.found || found.Unread != c.unread || known && found.Software != software(i) {
						t.Fatalf("stream %d: found %+v", i, found)
					}
				}
				if found := f.keepers["a"].Find(t.Context(), service, "nobody's", horizon); found.Source != Unknown {
					t.Fatalf("found %+v for a stream that never began", found)
				}
			})
		})
	}
}

// setViews sets what all boxes know of the versions.
func (f *fleet) setViews(v streams.View) {
	for box := range f.views {
		f.views[box] = v
	}
}

// Guards against a stream that is lost because its holders end one after the other and the platform is away when its
// caller returns.
func TestStreamIsLostInASeriesOfRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(mixed, "a", "b", "c", "d")
		runFleet(t, f)
		f.keepers["d"].Begin(service, "first", "v2")
		time.Sleep(2 * batchInterval)
		for _, box := range []string{"d", "a", "b", "c"} {
			f.keepers[box] = New(f.keepers[box].cfg)
			runBatches(t, f.keepers[box])
			time.Sleep(2 * batchInterval)
		}
		f.change(func() { f.store.away = true })
		if found := f.keepers["d"].Find(t.Context(), service, "first", horizon); found.Source != Written || found.Software != "v2" {
			t.Fatalf("found %+v", found)
		}
	})
}

// Guards against calls to the platform for each stream, or without need.
func TestOriginsAreWrittenWithoutNeed(t *testing.T) {
	const seconds = 60
	cases := map[string]struct {
		view streams.View
		// writes, lists and reads bound the calls of all boxes together.
		writes, lists int
		perSecond     int
	}{
		"one version":                     {view: sole, perSecond: 20},
		"one version, followed not long":  {view: fresh, perSecond: 20},
		"two versions":                    {view: mixed, perSecond: 20, writes: 2 * seconds, lists: 4},
		"two versions, no streams":        {view: mixed, lists: 4},
		"two versions, a stream a second": {view: mixed, perSecond: 1, writes: seconds, lists: 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(c.view, "a", "b", "c")
				runFleet(t, f)
				for i := range seconds * c.perSecond {
					f.keepers["abc"[i%3:i%3+1]].Begin(service, fmt.Sprint(i), "v1")
					time.Sleep(time.Second / time.Duration(c.perSecond))
				}
				f.mutex.Lock()
				defer f.mutex.Unlock()
				if f.store.batchWrites > c.writes || f.store.lists > c.lists {
					t.Fatalf("%d writes, %d lists, want at most %d and %d", f.store.batchWrites, f.store.lists, c.writes, c.lists)
				}
				if len(f.store.batches) > maxBatches {
					t.Fatalf("%d batches", len(f.store.batches))
				}
				for _, b := range f.store.batches {
					if most := 2 * c.perSecond * int(horizon/horizonParts/time.Second); len(b.Origins) > most {
						t.Fatalf("%d origins in a batch, want at most %d", len(b.Origins), most)
					}
				}
			})
		})
	}
}

// Guards against lost answers of the platform that use up the batches, and with them the origins of earlier streams.
func TestLostAnswersOverwriteEarlierOrigins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(mixed, "a", "b", "c")
		runFleet(t, f)
		f.keepers["a"].Begin(service, "first", "v2")
		const before, during = 8, 2 * maxBatches
		for i := range before + during {
			if i == before {
				f.change(func() { f.store.loses = true })
			}
			time.Sleep(batchInterval)
			f.keepers["b"].Begin(service, fmt.Sprint(i), "v1")
		}
		f.restartAll()
		if found := f.keepers["a"].Find(t.Context(), service, "first", horizon); found.Software != "v2" {
			t.Fatalf("found %+v", found)
		}
	})
}

// TestWritersShareOrigins checks that all origins of a large fleet are written, each by one writer.
func TestWritersShareOrigins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const boxes, begun = 200, 400
		names := make([]string, boxes)
		for i := range names {
			names[i] = fmt.Sprintf("box-%d", i)
		}
		f := newFleet(mixed, names...)
		runFleet(t, f)
		time.Sleep(2 * batchInterval)
		for i := range begun {
			f.keepers[names[i%boxes]].Begin(service, fmt.Sprint(i), "v1")
		}
		time.Sleep(2 * batchInterval)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		found := make(map[streams.Key]int)
		for _, b := range f.store.batches {
			for _, o := range b.Origins {
				found[o.Key]++
			}
		}
		if len(f.store.batches) != 4 || len(found) != begun || slices.Max(slices.Collect(maps.Values(found))) != 1 {
			t.Fatalf("%d batches with %d origins", len(f.store.batches), len(found))
		}
	})
}
