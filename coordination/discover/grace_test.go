// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package discover

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/directory"
)

// outageLength is longer than an outage has to be for entries to get a grace period, and shorter than
// that period.
const outageLength = 1700 * time.Millisecond

// Guards against requests to an endpoint that left, for as long as outages of the store follow each other.
func TestEndpointThatLeftStaysInUseOverSeveralOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6, nil)
		box, from := f.boxes[f.lastRanked()], f.readers()[0]
		outages := func(sequence uint64, changes ...directory.Change) {
			time.Sleep(outageLength / 2)
			box.noteFailed(time.Second, time.Second)
			time.Sleep(outageLength / 2)
			box.noteFailed(time.Second, time.Second)
			box.Receive(from, directory.Update{Origin: from, Sequence: sequence, After: sequence, At: sequence + 1, Changes: changes})
		}
		box.Receive(from, directory.Update{Origin: from, Sequence: 1, At: 2, Changes: []directory.Change{{Entry: entry("a")}}})
		outages(2, directory.Change{Entry: entry("a"), Gone: true})
		if w, _ := box.Directory().Status("a"); !w.Usable() {
			t.Error("an endpoint whose entry may have lapsed is not used")
		}
		for i := range uint64(5) {
			outages(3 + i)
		}
		if w, _ := box.Directory().Status("a"); w.Usable() {
			t.Error("an endpoint that went six outages ago is still used")
		}
	})
}

// departure is a platform with one endpoint, which goes at a time; lost is how many watches are never
// answered before, and stall how long the box stands still in the first of them.
type departure struct {
	goes  time.Time
	lost  int
	stall time.Duration
}

const (
	listedAt = 5
	goneAt   = 6
)

func (*departure) Endpoints(context.Context, bool) ([]directory.Entry, uint64, error) {
	return []directory.Entry{entry("a")}, listedAt, nil
}

func (d *departure) EndpointChanges(ctx context.Context, after uint64, atOnce bool) ([]directory.Change, uint64, error) {
	if d.lost > 0 && !atOnce {
		d.lost--
		<-ctx.Done()
		time.Sleep(d.stall)
		return nil, 0, ctx.Err()
	}
	wait := defaultWait - answerTime
	if after < goneAt {
		wait = min(wait, max(time.Until(d.goes), 0))
	}
	if !atOnce {
		time.Sleep(wait)
	}
	if after >= goneAt || time.Now().Before(d.goes) {
		return nil, after, nil
	}
	return []directory.Change{{Entry: entry("a"), Gone: true}}, goneAt, nil
}

// Guards against requests to an endpoint that left while the store was never away.
func TestDepartedEndpointIsKeptWithoutAnOutage(t *testing.T) {
	const goes = 1700 * time.Millisecond
	cases := map[string]departure{
		"one watch was lost":           {lost: 1},
		"the box stood still":          {lost: 1, stall: 3 * time.Second},
		"all is well":                  {},
		"the box stood still, shorter": {lost: 1, stall: 600 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.goes = time.Now().Add(goes)
				d := New(Config{Source: &c, Log: log.Discard()})
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					_ = d.Run(ctx)
				}()
				time.Sleep(goes + c.stall + 100*time.Millisecond)
				if w, known := d.Directory().Status("a"); !known || w.Usable() {
					t.Errorf("known %v, in use %v", known, w.Usable())
				}
				cancel()
				<-ended
			})
		})
	}
}

// Guards against a departure that stays unknown while each watch is lost and other reads work.
func TestLostWatchHidesAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Source: &departure{goes: time.Now(), lost: 1000}, Log: log.Discard()})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = d.Run(ctx)
		}()
		time.Sleep(defaultWait + maxBackoff)
		if w, known := d.Directory().Status("a"); !known || w.Usable() {
			t.Errorf("known %v, in use %v", known, w.Usable())
		}
		cancel()
		<-ended
	})
}
