// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
)

// outagePlatform fails all reads until the time back, and then answers each one.
type outagePlatform struct {
	back time.Time
	// reads holds the times of all reads.
	reads *[]time.Time
}

func (p outagePlatform) Get(ctx context.Context, _ string, after uint64) (adapter.Object, error) {
	*p.reads = append(*p.reads, time.Now())
	if time.Now().Before(p.back) {
		return adapter.Object{}, errors.New("503")
	}
	if after > 0 {
		<-ctx.Done()
		return adapter.Object{}, ctx.Err()
	}
	return adapter.Object{Version: 7, Value: []byte("{}")}, nil
}

func (p outagePlatform) GetStale(ctx context.Context, name string) (adapter.Object, error) {
	return p.Get(ctx, name, 0)
}

func TestRefreshWaitsForThePauseAfterFailedReads(t *testing.T) {
	const outage, soon = 20 * time.Second, 10 * time.Millisecond
	cases := map[string]struct {
		// refreshes are the times of refreshes after the platform is back.
		refreshes []time.Duration
	}{
		"one refresh":                 {refreshes: []time.Duration{0}},
		"a second one while it waits": {refreshes: []time.Duration{0, 5 * time.Second}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				synctest.Test(t, func(t *testing.T) {
					var reads []time.Time
					f := New(Config{
						Self: "box-1", Platform: outagePlatform{time.Now().Add(outage), &reads}, Peers: silentPeers{},
						Ranked: func(string) []string { return []string{"box-1"} }, Reads: func() bool { return true },
						Settle: time.Nanosecond, Wait: time.Minute, Log: log.Discard(),
					})
					ctx, end := context.WithCancel(t.Context())
					defer end()
					go func() { _ = f.Run(ctx) }()
					time.Sleep(outage)
					for _, after := range c.refreshes {
						time.Sleep(after)
						synctest.Wait()
						before := len(reads)
						f.Refresh()
						time.Sleep(soon)
						synctest.Wait()
						if len(reads) == before {
							t.Errorf("the object is not read again within %v of a refresh", soon)
						}
					}
				})
			}
		})
	}
}
