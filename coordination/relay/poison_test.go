// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/coordination/quarantine"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/poison"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// countingEndpoints break off every exchange, count the sends and call onSend for each.
type countingEndpoints struct {
	sends  int
	onSend func()
}

var errBroken = errors.New("the exchange broke off")

func (c *countingEndpoints) Send(context.Context, Call) (*Answer, error) {
	c.sends++
	if c.onSend != nil {
		c.onSend()
	}
	return nil, errBroken
}

func (c *countingEndpoints) Unreached(string, locality.Allowed) []string { return nil }

func (c *countingEndpoints) Free(context.Context, Endpoint, string) error { return nil }

// recordingCaller is a caller that keeps the refusal it receives.
type recordingCaller struct{ refusal Refusal }

func (c *recordingCaller) Begin(int, []HeaderField, int64) (Reply, error) {
	return discardedReply{}, nil
}
func (*recordingCaller) Abort()             {}
func (c *recordingCaller) Refuse(r Refusal) { c.refusal = r }

// discardedReply is an answer that nobody reads.
type discardedReply struct{}

func (discardedReply) Write([]byte) error { return nil }
func (discardedReply) End() error         { return nil }
func (discardedReply) Abort()             {}

// grantingHomes is the home of all groups. It calls onAsk for each ask and grants its plan;
// without a plan it does not answer.
type grantingHomes struct {
	groupsWithoutHomes
	r     *Relay
	plan  lifecycle.Plan
	onAsk func()
}

func (g *grantingHomes) HomesOf(string) []string { return []string{"home"} }

func (g *grantingHomes) Send(box, group string, body home.Body) ring.Outcome {
	a, asks := body.(schedule.Ask)
	if !asks {
		return ring.Accepted
	}
	if g.onAsk != nil {
		g.onAsk()
	}
	if g.plan != (lifecycle.Plan{}) {
		g.r.HandleDecision(box, group, schedule.Grant{Ask: a, Plan: g.plan})
	}
	return ring.Accepted
}

// TestPoisonReachesNoEndpoint checks that a poison request is not sent to an endpoint, whenever
// the box learns of it and whichever way the request takes.
func TestPoisonReachesNoEndpoint(t *testing.T) {
	decode := lifecycle.Plan{Mode: lifecycle.Recompute, Decode: "e-n1"}
	prefill := lifecycle.Plan{Mode: lifecycle.Move, Prefill: "e-n2", Decode: "e-n1"}
	cases := map[string]struct {
		plan lifecycle.Plan
		// resumes is the ID of the event after which the request resumes.
		resumes string
		// before, asked and sent select when the box learns that the request is poison.
		before, asked, sent bool
		sends, status       int
	}{
		"before it arrives":                 {plan: decode, before: true, status: http.StatusServiceUnavailable},
		"before it is resumed":              {plan: decode, before: true, resumes: "12", status: http.StatusServiceUnavailable},
		"while it waits for a home":         {plan: decode, asked: true, status: http.StatusServiceUnavailable},
		"before its prefill":                {plan: prefill, asked: true, status: http.StatusServiceUnavailable},
		"while no home answers":             {asked: true, status: http.StatusServiceUnavailable},
		"between a run and its retry":       {plan: decode, sent: true, sends: 1, status: http.StatusBadGateway},
		"between two prefills":              {plan: prefill, sent: true, sends: 1, status: http.StatusServiceUnavailable},
		"never":                             {plan: decode, sends: 2, status: http.StatusBadGateway},
		"never, and no home answers":        {sends: 2, status: http.StatusBadGateway},
		"never, and the prefill is retried": {plan: prefill, sends: 2 * maxSends, status: http.StatusServiceUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := Request{ID: "1", Host: "h", Path: "/a/x", Target: "/a/x", Method: http.MethodPost, Body: []byte("b"), LastEvent: c.resumes, Arrived: time.Now()}
				k := quarantine.New(quarantine.Config{
					Self: "here", Log: log.Discard(), Ranked: func(string) []string { return nil },
					Find: func(string) (directory.Status, bool) { return directory.Status{}, false },
				})
				learn := func() {
					s := poison.Suspect{Fingerprint: poison.FingerprintOf(poison.Request{Method: q.Method, Host: q.Host, Target: q.Target, Body: q.Body}), Seen: time.Now()}
					for i := range uint64(3) {
						s.Ends = append(s.Ends, poison.End{Endpoint: i, At: time.Now()})
					}
					k.Receive("other", poison.Update{Suspects: []poison.Suspect{s}})
				}
				endpoints, caller := &countingEndpoints{}, &recordingCaller{}
				homes := &grantingHomes{groupsWithoutHomes: allOne, plan: c.plan}
				d := directory.Directory{}.WithList(time.Now(), 1, []directory.Entry{{ID: "e-n1", Service: "s", Zone: "n1"}, {ID: "e-n2", Service: "s", Zone: "n1"}})
				r := New(Config{Zone: "n1", Homes: homes, Directory: &staticDirectory{d}, Endpoints: endpoints, Quarantine: k, Log: log.Discard(), NextID: func() lifecycle.RequestID { return lifecycle.RequestID{} }})
				r.cfg.Budget.Slack = 1e6
				homes.r = r
				r.SetTable(table.Table{
					Generation: 1,
					Services:   []table.Service{{Name: "s", Kind: table.KindRouted, Engine: &table.EngineLimits{}}},
					Routes: []table.Route{{
						Name: "a", Host: "h", Prefix: "/a/", Repeat: table.RepeatSafe, MaxAttempts: 2, TimeoutMS: 9000, TargetMS: 900,
						Targets: []table.RouteTarget{{Service: "s", Weight: 1}},
					}},
				})
				if c.asked {
					homes.onAsk = learn
				}
				if c.sent {
					endpoints.onSend = learn
				}
				// The retry budget grows over the first window.
				time.Sleep(time.Minute)
				q.Arrived = time.Now()
				if c.before {
					learn()
				}
				r.Serve(t.Context(), q, caller)
				if endpoints.sends != c.sends || caller.refusal.Status != c.status {
					t.Errorf("sent %d times, refused with status %d, want %d and %d", endpoints.sends, caller.refusal.Status, c.sends, c.status)
				}
				if poisoned := caller.refusal.Reason == reasonPoison; poisoned != (c.before || c.asked || c.sent) {
					t.Errorf("refused with reason %s", caller.refusal.Reason)
				}
				if c.status == http.StatusServiceUnavailable && c.sends == 0 && caller.refusal.RetryAfter != poison.Keep {
					t.Errorf("retry delay %v", caller.refusal.RetryAfter)
				}
			})
		})
	}
}
