// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/bench"
	"runridge.example/runridge/fakes/fleet"
	"runridge.example/runridge/protocol/callerapi"
	"runridge.example/runridge/tests/arrival"
)

const (
	// namedLimit is the limit that endpoints of these tests announce, in requests per second,
	// limitWindow the window over which the requirement applies, and limitBound the most requests
	// that an endpoint may receive in any such window.
	namedLimit  = 4
	limitWindow = 4 * time.Second
	limitBound  = 1.5*namedLimit*4 + 5
	// noticeDelay is how long the load runs before all boxes know the notices of the endpoints.
	noticeDelay = 1500 * time.Millisecond
	// callersPerBox is the number of concurrent callers per box.
	callersPerBox = 4
)

// callPlain sends a request to a plain service.
func callPlain(ctx context.Context, t *testing.T, m *fleet.Member) {
	account := map[string]string{callerapi.HeaderAccount: "franquicia"}
	call(ctx, t, http.MethodPost, "http://"+m.Box.CallerAddr()+"/portal/x", account, strings.NewReader("hello"))
}

// sendPrompt returns a function that sends a model request.
func sendPrompt(caller *bench.Caller) func(ctx context.Context, t *testing.T, m *fleet.Member) {
	return func(ctx context.Context, _ *testing.T, m *fleet.Member) {
		caller.Do(ctx, m.Box.CallerAddr(), "lm-porta", request(0))
	}
}

// startLoad sends requests from several callers to each box until it is stopped.
func startLoad(t *testing.T, send func(ctx context.Context, t *testing.T, m *fleet.Member), boxes ...*fleet.Member) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var sending sync.WaitGroup
	for _, m := range boxes {
		for range callersPerBox {
			sending.Go(func() {
				for ctx.Err() == nil {
					send(context.WithoutCancel(ctx), t, m)
				}
			})
		}
	}
	return func() {
		cancel()
		sending.Wait()
	}
}

// TestNamedLimitOnOwnInterface is TestNamedLimit of tests/routed on the product's own interface.
func TestNamedLimitOnOwnInterface(t *testing.T) {
	caller := bench.NewCaller()
	defer caller.Close()
	cases := map[string]struct {
		send func(ctx context.Context, t *testing.T, m *fleet.Member)
		// engines is set if the engines announce the limit instead of the plain services.
		engines bool
		// ends is set if a box stops halfway.
		ends bool
	}{
		"plain services":            {send: callPlain},
		"engines":                   {send: sendPrompt(caller), engines: true},
		"engines, while a box ends": {send: sendPrompt(caller), engines: true, ends: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Endpoints that announce a limit receive no more from all boxes together", t, func() {
				f := startFleet(t, 3)
				limited := make(map[string]*arrival.Log)
				for id, e := range f.Engines {
					if c.engines {
						e.NameLimit(namedLimit)
						limited[id] = e.Arrivals()
					}
				}
				for id, e := range f.Plain {
					if !c.engines {
						e.NameLimit(namedLimit)
						limited[id] = e.Arrivals()
					}
				}
				stop := startLoad(t, c.send, f.Boxes[:2]...)
				time.Sleep(noticeDelay)
				from := time.Now()
				time.Sleep(limitWindow / 2)
				if c.ends {
					f.Boxes[2].Stop()
				}
				time.Sleep(limitWindow)
				stop()
				for id, log := range limited {
					fullest, all := log.Fullest(limitWindow, from), log.Since(from)
					t.Logf("%s: %d in the fullest window, %d in all", id, fullest, all)
					convey.So(fullest, convey.ShouldBeLessThanOrEqualTo, int(limitBound))
				}
			})
		})
	}
}
