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
	// namedLimit is what endpoints of these tests name, in requests a second, limitWindow the
	// window that the users judge by, and limitBound the most that one may get in any.
	namedLimit  = 4
	limitWindow = 4 * time.Second
	limitBound  = 1.5*namedLimit*4 + 5
	// toldTime is after how long all boxes have been told.
	toldTime = 1500 * time.Millisecond
	// callers is how many send to each box.
	callers = 4
)

// callPlain sends a call to a plain service.
func callPlain(ctx context.Context, t *testing.T, m *fleet.Member) {
	account := map[string]string{callerapi.HeaderAccount: "franquicia"}
	call(ctx, t, http.MethodPost, "http://"+m.Box.CallerAddr()+"/portal/x", account, strings.NewReader("hello"))
}

// prompt sends a model request.
func prompt(caller *bench.Caller) func(ctx context.Context, t *testing.T, m *fleet.Member) {
	return func(ctx context.Context, _ *testing.T, m *fleet.Member) {
		caller.Do(ctx, m.Box.CallerAddr(), "lm-porta", request(0))
	}
}

// press has callers send to boxes until it is stopped.
func press(t *testing.T, send func(ctx context.Context, t *testing.T, m *fleet.Member), boxes ...*fleet.Member) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var sending sync.WaitGroup
	for _, m := range boxes {
		for range callers {
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

// TestNamedLimitOnOwnInterface is tests/routed's TestNamedLimit on the product's own interface.
func TestNamedLimitOnOwnInterface(t *testing.T) {
	caller := bench.NewCaller()
	defer caller.Close()
	cases := map[string]struct {
		send func(ctx context.Context, t *testing.T, m *fleet.Member)
		// limited names all engines in place of the plain services.
		engines bool
		// ends says that a box ends in the middle.
		ends bool
	}{
		"plain services":            {send: callPlain},
		"engines":                   {send: prompt(caller), engines: true},
		"engines, while a box ends": {send: prompt(caller), engines: true, ends: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Endpoints that name a limit get no more from all boxes together, and that they get", t, func() {
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
				stop := press(t, c.send, f.Boxes[:2]...)
				time.Sleep(toldTime)
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
