// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/table"
)

// scripted are endpoints that fail one after the other with the errors of a script, and then
// answer.
type scripted struct {
	errs  []error
	sends int
}

func (s *scripted) Send(context.Context, Call) (*Answer, error) {
	s.sends++
	if s.sends <= len(s.errs) {
		return nil, s.errs[s.sends-1]
	}
	return &Answer{Status: http.StatusOK, Signed: true, Body: http.NoBody}, nil
}

func (s *scripted) Free(context.Context, Endpoint, string) error { return nil }

// TestUnreachedEndpointsSpendNoBudget holds that a request which no endpoint has received is
// offered to the next one although the retry budget is used up.
func TestUnreachedEndpointsSpendNoBudget(t *testing.T) {
	unreached, lost := adapter.ErrNotRun.New("refused"), adapter.ErrMayHaveRun.New("reset")
	cases := map[string]struct {
		errs  []error
		sends int
		// reason is why it was refused; empty is answered.
		reason string
	}{
		"one is not reached":                   {errs: []error{unreached}, sends: 2},
		"two are not reached":                  {errs: []error{unreached, unreached}, sends: 3},
		"one loses its answer":                 {errs: []error{lost}, sends: 1, reason: "retry_budget"},
		"one is not reached, another loses it": {errs: []error{unreached, lost}, sends: 2, reason: "retry_budget"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ends, caller := &scripted{errs: c.errs}, &told{}
				homes := &granting{places: allOne, plan: lifecycle.Plan{Mode: lifecycle.Recompute, Decode: "e-n1"}}
				d := directory.Directory{}.WithList(time.Now(), 1, []directory.Entry{{ID: "e-n1", Service: "s", Zone: "n1"}})
				r := New(Config{Zone: "n1", Homes: homes, Directory: &known{d}, Endpoints: ends, Log: log.Discard(), NextID: func() lifecycle.RequestID { return lifecycle.RequestID{} }})
				homes.r = r
				r.SetTable(table.Table{
					Generation: 1, Services: []table.Service{{Name: "s", Kind: table.KindRouted}},
					Routes: []table.Route{{
						Name: "a", Host: "h", Prefix: "/a/", Repeat: table.RepeatSafe, MaxAttempts: 4, TimeoutMS: 9000, TargetMS: 900,
						Targets: []table.RouteTarget{{Service: "s", Weight: 1}},
					}},
				})
				r.Serve(t.Context(), Request{ID: "1", Host: "h", Path: "/a/x", Target: "/a/x", Method: http.MethodPost, Arrived: time.Now()}, caller)
				if ends.sends != c.sends || caller.refusal.Reason != c.reason {
					t.Errorf("sent %d times, refused for %q, want %d and %q", ends.sends, caller.refusal.Reason, c.sends, c.reason)
				}
			})
		})
	}
}
