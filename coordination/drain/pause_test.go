// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package drain

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/drain"
)

// outageSource fails all reads until the time back, and then answers each one.
type outageSource struct {
	back time.Time
	// reads is the number of all reads.
	reads *int
}

func (s outageSource) DrainedZones(context.Context) ([]drain.Zone, uint64, error) {
	*s.reads++
	if time.Now().Before(s.back) {
		return nil, 0, errors.New("503")
	}
	return nil, 5, nil
}

func (s outageSource) DrainChanges(ctx context.Context, after uint64) ([]drain.Change, uint64, error) {
	*s.reads++
	<-ctx.Done()
	return nil, after, nil
}

func TestRefreshOfDrainedZonesWaitsForThePauseAfterFailedReads(t *testing.T) {
	const outage, soon = 20 * time.Second, 10 * time.Millisecond
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			reads := 0
			k := New(Config{
				Self: "box-1", Source: outageSource{time.Now().Add(outage), &reads}, Peers: link{newFleet(1, nil), "b000"},
				Ranked: func(string) []string { return []string{"box-1"} }, Reads: func() bool { return true },
				OnChange: func(drain.Zones) {}, Log: log.Discard(),
			})
			ctx, end := context.WithCancel(t.Context())
			defer end()
			go func() { _ = k.Run(ctx) }()
			time.Sleep(outage)
			for range 2 {
				synctest.Wait()
				before := reads
				k.Refresh()
				time.Sleep(soon)
				synctest.Wait()
				if reads == before {
					t.Errorf("the list is not read again within %v of a refresh", soon)
				}
			}
		})
	}
}
