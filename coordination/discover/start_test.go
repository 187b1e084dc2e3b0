// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package discover

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/state/directory"
)

// slowSource is a platform whose list takes a while to read.
type slowSource struct {
	takes time.Duration
	down  bool

	mutex sync.Mutex
	lists int
	// ended counts the reads of the list that completed.
	ended int
}

func (s *slowSource) Endpoints(ctx context.Context, _ bool) ([]directory.Entry, uint64, error) {
	s.mutex.Lock()
	s.lists++
	s.mutex.Unlock()
	select {
	case <-time.After(s.takes):
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	if s.down {
		return nil, 0, errBusy
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended++
	var list []directory.Entry
	for i := range 300 {
		list = append(list, entry(fmt.Sprint(i)))
	}
	return list, 5, nil
}

func (s *slowSource) EndpointChanges(ctx context.Context, after uint64, _ bool) ([]directory.Change, uint64, error) {
	<-ctx.Done()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, after, nil
	}
	return nil, 0, ctx.Err()
}

// startAll starts all boxes of a fleet except the dead ones.
func (f *fleet) startAll(t *testing.T, source *slowSource, dead map[string]bool) {
	t.Helper()
	ctx, end := context.WithCancel(t.Context())
	t.Cleanup(end)
	for _, name := range f.names {
		box := f.boxes[name]
		box.cfg.Source = source
		if own, ok := f.sources[name]; ok {
			box.cfg.Source = own
		}
		start := time.Now()
		listed := func() bool { return time.Since(start) >= f.listedAfter }
		ranked := box.cfg.Ranked
		box.cfg.Listed = listed
		box.cfg.Ranked = func(key string) []string {
			if !listed() {
				return []string{name}
			}
			return ranked(key)
		}
		f.setCut(name, dead[name])
		if !dead[name] {
			go func() { _ = box.Run(ctx) }()
		}
	}
	t.Cleanup(synctest.Wait)
}

func (f *fleet) setCut(name string, cut bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cut[name] = cut
}

func (f *fleet) countKnowing() int {
	n := 0
	for _, name := range f.names {
		if f.boxes[name].Directory().Len() == 300 {
			n++
		}
	}
	return n
}

func TestAFleetThatStartsReadsTheListFewTimes(t *testing.T) {
	cases := map[string]struct {
		boxes int
		// listed is how long a read of the list of boxes takes.
		listed time.Duration
		// dead is how many of the readers do not start.
		dead  int
		reads int
	}{
		"a large fleet":                     {boxes: 200, reads: 3},
		"without its first reader":          {boxes: 200, dead: 1, reads: 2},
		"without its first two":             {boxes: 200, dead: 2, reads: 1},
		"with a slow list of boxes":         {boxes: 200, listed: 700 * time.Millisecond, reads: 3},
		"a small one, each box for itself":  {boxes: largeFleet - 1, reads: largeFleet - 1},
		"the smallest that shares its list": {boxes: largeFleet, reads: 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &slowSource{takes: 400 * time.Millisecond}
				f := newFleet(c.boxes, nil)
				dead := make(map[string]bool)
				for _, reader := range f.readers()[:c.dead] {
					dead[reader] = true
				}
				f.listedAfter = c.listed
				f.startAll(t, source, dead)
				time.Sleep(c.listed + time.Second)
				synctest.Wait()
				if source.lists != c.reads {
					t.Errorf("the list is read %d times, want %d", source.lists, c.reads)
				}
				if knowing := f.countKnowing(); knowing < c.boxes-c.dead {
					t.Errorf("%d of %d boxes know the endpoints after a second", knowing, c.boxes-c.dead)
				}
			})
		})
	}
}

func TestABoxThatReceivesNoListReadsItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &slowSource{takes: 10 * time.Millisecond}
		f := newFleet(200, nil)
		dead := make(map[string]bool)
		for _, name := range f.names {
			dead[name] = name != f.lastRanked()
		}
		f.startAll(t, source, dead)
		time.Sleep(listWait + maxListWaitStep + pullTimeout + 100*time.Millisecond)
		synctest.Wait()
		if f.countKnowing() != 1 {
			t.Errorf("a box that receives no list knows no endpoints after %v", listWait)
		}
	})
}

func TestABoxThatStartsAloneAsksTheOneAbove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &slowSource{takes: 400 * time.Millisecond}
		f := newFleet(200, nil)
		other := f.lastRanked()
		f.startAll(t, source, map[string]bool{other: true})
		time.Sleep(10 * time.Second)
		synctest.Wait()
		reads := source.lists
		f.setCut(other, false)
		ctx, end := context.WithCancel(t.Context())
		defer end()
		go func() { _ = f.boxes[other].Run(ctx) }()
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		if f.countKnowing() != 200 || source.lists != reads {
			t.Errorf("%d boxes know the endpoints, after %d more reads", f.countKnowing(), source.lists-reads)
		}
	})
}

func TestAListThatComesFirstEndsTheOwnRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &slowSource{takes: 3 * time.Second}
		f := newFleet(200, nil)
		f.startAll(t, source, nil)
		time.Sleep(400 * time.Millisecond)
		head := f.boxes[f.ranked(treeKey("other"))[0]]
		head.Receive("other", directory.Update{
			Origin: "other", Sequence: 1, At: 5, Whole: true,
			Changes: changesOfList(300),
		})
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		if f.countKnowing() != 200 {
			t.Errorf("%d boxes know the endpoints", f.countKnowing())
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if source.ended != 0 || source.lists != 3 {
			t.Errorf("of %d reads %d completed", source.lists, source.ended)
		}
	})
}

func changesOfList(count int) []directory.Change {
	var out []directory.Change
	for i := range count {
		out = append(out, directory.Change{Entry: entry(fmt.Sprint(i))})
	}
	return out
}

func TestARegionFarFromThePlatformTakesTheOthersList(t *testing.T) {
	cases := map[string]struct {
		// dead reports whether the near region's first reader does not start.
		dead bool
		// apart is how long no message passes between the regions.
		apart  time.Duration
		within time.Duration
	}{
		"all start":                      {within: time.Second},
		"but the first near reader":      {dead: true, within: 1500 * time.Millisecond},
		"the link comes after the boxes": {apart: 700 * time.Millisecond, within: 1500 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, views := twoRegions(300)
				slow := &slowSource{takes: time.Minute}
				for _, box := range views["b001"].Near(rankKey) {
					f.sources[box] = slow
				}
				start := time.Now()
				f.lose = func(from, to string) bool {
					return time.Since(start) < c.apart && f.sources[from] != f.sources[to]
				}
				dead := make(map[string]bool)
				if c.dead {
					dead[views["b000"].Near(rankKey)[0]] = true
				}
				f.startAll(t, &slowSource{takes: 400 * time.Millisecond}, dead)
				time.Sleep(c.within)
				synctest.Wait()
				if knowing := f.countKnowing(); knowing < 300-len(dead) {
					t.Errorf("%d of 300 boxes know the endpoints after %v", knowing, c.within)
				}
			})
		})
	}
}
