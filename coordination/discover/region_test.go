// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package discover

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/cover"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/member"
	"runridge.example/runridge/state/spread"
)

// twoRegions returns a fleet of boxes in two regions whose messages arrive at once, and
// each box's view of the fleet.
func twoRegions(n int) (*fleet, map[string]spread.Fleet) {
	f := newFleet(0, nil)
	regions := locality.New(map[string]string{"z0": "near", "z1": "far"})
	var all []member.Box
	for i := range n {
		all = append(all, member.Box{Name: fmt.Sprintf("b%03d", i), Zone: fmt.Sprintf("z%d", i%2)})
	}
	views := make(map[string]spread.Fleet)
	for _, b := range all {
		view := spread.New(b, all, regions)
		views[b.Name] = view
		f.names = append(f.names, b.Name)
		f.boxes[b.Name] = New(Config{Self: b.Name, Peers: link{f, b.Name}, Ranked: view.Near, RegionEntries: view.RegionEntries, Readers: cover.RegionReaders, Log: log.Discard()})
	}
	return f, views
}

func TestUpdatesSpreadWithinARegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, views := twoRegions(60)
		near, far := views["b000"], views["b001"]
		// The far region's readers are active.
		for _, reader := range far.Near(rankKey)[:cover.RegionReaders] {
			f.boxes[reader].announce(directory.Update{At: 1})
		}
		clear(f.got)
		first := near.Near(rankKey)[0]
		f.boxes[first].announce(directory.Update{After: 1, At: 3, Changes: []directory.Change{{Entry: entry("a")}}})
		crossed := 0
		for _, name := range far.Near(rankKey) {
			crossed += f.got[name]
		}
		if crossed != 1 {
			t.Errorf("the update went to %d boxes of the other region, want one", crossed)
		}
		for _, name := range near.Near(rankKey) {
			if at := f.boxes[name].Directory().At(); name != first && at != 3 {
				t.Errorf("%s stands at %d", name, at)
			}
		}
	})
}

func TestARegionWithoutThePlatformFollowsTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, views := twoRegions(60)
		near, far := views["b000"], views["b001"]
		for _, reader := range far.Near(rankKey)[:cover.RegionReaders] {
			f.boxes[reader].announce(directory.Update{At: 1})
		}
		// The far region's readers are silent from here on.
		time.Sleep(cover.Validity)
		first := near.Near(rankKey)[0]
		f.boxes[first].announce(directory.Update{After: 1, At: 3, Changes: []directory.Change{{Entry: entry("a")}}})
		for _, name := range far.Near(rankKey) {
			if at := f.boxes[name].Directory().At(); at != 3 {
				t.Errorf("%s of the region without readers stands at %d", name, at)
			}
		}
		// The box that receives updates for the far region dies: updates of the other readers
		// arrive through other boxes.
		lost := near.RegionEntries(treeKey(first))[0]
		f.cut[lost] = true
		for i, reader := range near.Near(rankKey)[:cover.RegionReaders] {
			f.boxes[reader].announce(directory.Update{After: 3, At: 5 + uint64(i), Changes: []directory.Change{{Entry: entry("b")}}})
		}
		time.Sleep(time.Second)
		synctest.Wait()
		for _, name := range far.Near(rankKey) {
			if at := f.boxes[name].Directory().At(); name != lost && at < 5 {
				t.Errorf("%s stands at %d a second after %s was cut off", name, at, lost)
			}
		}
	})
}

func TestALossOfThePlatformStaysInItsRegion(t *testing.T) {
	f, views := twoRegions(60)
	near, far := views["b000"], views["b001"]
	f.boxes[near.Near(rankKey)[0]].announce(directory.Update{Lost: true})
	for _, name := range far.Near(rankKey) {
		if f.got[name] > 0 {
			t.Errorf("%s of the other region is notified that the platform is lost", name)
		}
	}
}

func TestUpdatesBeyondAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(50, nil)
		box, from := f.boxes[f.lastRanked()], f.readers()[0]
		update := func(sequence, after, at uint64) {
			box.Receive(from, directory.Update{
				Origin: from, Sequence: sequence, After: after, At: at,
				Changes: []directory.Change{{Entry: entry(fmt.Sprint(at))}},
			})
		}
		update(1, 0, 5)
		update(3, 7, 9)
		update(4, 9, 12)
		if asked := f.pulls[from]; asked != 1 {
			t.Errorf("asked %d times at once, want one", asked)
		}
		update(5, 5, 7)
		if d := box.Directory(); d.At() != 12 || d.Len() != 4 {
			t.Errorf("after the gap is filled the box stands at %d with %d endpoints", d.At(), d.Len())
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if asked := f.pulls[from]; asked != 1 {
			t.Errorf("asked %d times in all, want one", asked)
		}
		update(7, 20, 21)
		time.Sleep(time.Minute)
		synctest.Wait()
		if asked := f.pulls[from]; asked != 1+maxPulls {
			t.Errorf("asked %d times for what does not come, want %d", asked-1, maxPulls)
		}
	})
}
