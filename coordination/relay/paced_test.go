// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"runridge.example/runridge/coordination/notice"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// coldHandler returns the handler of a request for a service with a warm endpoint "warm" and a
// cold endpoint "cold".
func coldHandler(bound pace.Bound, now time.Time) *handler {
	entries := []directory.Entry{
		{ID: "warm", Service: "s", Stage: directory.StageDecode},
		{ID: "cold", Service: "s", Stage: directory.StageDecode, ColdFor: time.Minute},
	}
	r := New(Config{
		Endpoints: &failingEndpoints{},
		Log:       log.Discard(), ColdBound: bound, Now: func() time.Time { return now },
		Directory: &staticDirectory{directory.Directory{}.WithList(now, 1, entries)},
	})
	return &handler{relay: r, service: table.Service{Name: "s", ColdPace: 1}}
}

var someBound = pace.Bound{Overage: 1.5, Slack: 5}

func TestAloneLeavesColdEndpointsOut(t *testing.T) {
	cases := map[string]struct {
		bound pace.Bound
		avoid []string
		want  map[string]bool
	}{
		"only the warm endpoint":                 {bound: someBound, want: map[string]bool{"warm": true}},
		"none if only a cold one is left":        {bound: someBound, avoid: []string{"warm"}, want: map[string]bool{"": true}},
		"both if cold endpoints are not limited": {want: map[string]bool{"warm": true, "cold": true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := make(map[string]bool)
			for n := range uint64(8) {
				h := coldHandler(c.bound, time.Now())
				h.id.Sequence, h.avoid = n, c.avoid
				plan, _ := h.placeWithoutHome()
				got[plan.Decode] = true
			}
			if len(got) != len(c.want) {
				t.Errorf("placed at %v, want %v", got, c.want)
			}
			for id := range got {
				if !c.want[id] {
					t.Errorf("placed at %q", id)
				}
			}
		})
	}
}

func TestSendsToColdEndpoints(t *testing.T) {
	asked := time.Now()
	const held = 300 * time.Millisecond
	grant := schedule.Grant{PacedPrefill: true, PacedDecode: true, QueueTime: held}
	cases := map[string]struct {
		endpoint string
		grant    schedule.Grant
		// after is the time since the home was first asked, and told how long ago the home was
		// notified that the prefill is done; 0 if it was not.
		after, told     time.Duration
		prefill, decode bool
	}{
		"warm endpoint": {endpoint: "warm", prefill: true, decode: true},
		"cold endpoint that its home considers warm": {endpoint: "cold"},
		"cold endpoint, counted":                     {endpoint: "cold", grant: grant, after: held + pace.SendWithin, prefill: true, decode: true},
		"cold endpoint, counted too long ago":        {endpoint: "cold", grant: grant, after: held + pace.SendWithin + 1},
		"after the prefill":                          {endpoint: "cold", grant: grant, after: held + time.Second, told: pace.SendWithin, decode: true},
		"too long after the prefill":                 {endpoint: "cold", grant: grant, after: held + time.Second, told: pace.SendWithin + 1},
		"after a prefill that took too long":         {endpoint: "cold", grant: grant, after: held + pace.OpenTimeout + 1, told: 1},
		"warm endpoint that its home considers cold": {endpoint: "warm", grant: grant, after: held + pace.SendWithin + 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := asked.Add(c.after)
			h := coldHandler(someBound, now)
			h.counted = countedBy(c.grant, asked)
			if c.told > 0 {
				h.counted.Prefilled = now.Add(-c.told)
			}
			if got := h.mayPrefill(c.endpoint); got != c.prefill {
				t.Errorf("may prefill: %v, want %v", got, c.prefill)
			}
			if got := h.mayDecode(c.endpoint); got != c.decode {
				t.Errorf("may decode: %v, want %v", got, c.decode)
			}
		})
	}
}

// TestSendsToLimitedEndpoints checks that an endpoint which announces a limit gets only what a
// home has counted for it, and nothing from a box that places requests without a home.
func TestSendsToLimitedEndpoints(t *testing.T) {
	now := time.Now()
	cases := map[string]struct {
		grant schedule.Grant
		after time.Duration
		sent  bool
	}{
		"counted":              {grant: schedule.Grant{PacedPrefill: true, PacedDecode: true}, sent: true},
		"counted too long ago": {grant: schedule.Grant{PacedPrefill: true, PacedDecode: true}, after: pace.SendWithin + 1},
		"home does not count":  {},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := coldHandler(pace.Bound{}, now.Add(c.after))
			h.relay.cfg.Notices = notice.New(notice.Config{Log: log.Discard()})
			h.relay.cfg.Notices.Answered(notice.Answer{Endpoint: "warm", Notice: pace.Notice{Limit: pace.LimitOf(1)}})
			h.counted = countedBy(c.grant, now)
			if h.mayPrefill("warm") != c.sent || h.mayDecode("warm") != c.sent {
				t.Errorf("may prefill %v, decode %v, want %v", h.mayPrefill("warm"), h.mayDecode("warm"), c.sent)
			}
			h.counted = pace.Counted{}
			if !h.mayPrefill("cold") || !h.mayDecode("cold") {
				t.Error("an endpoint without a limit gets nothing")
			}
			for n := range uint64(8) {
				h.id.Sequence = n
				if got, withheld := h.placeWithoutHome(); got.Decode != "cold" || withheld != "" {
					t.Errorf("placed without a home at %q, withheld %q", got.Decode, withheld)
				}
			}
		})
	}
}

// TestNowhereToGoIsRefusedAtOnce guards against delaying the caller when no home answers and
// the only endpoint accepts nothing according to its notice: such a request was refused only
// after eight rounds of asks.
func TestNowhereToGoIsRefusedAtOnce(t *testing.T) {
	cases := map[string]struct {
		reported pace.Notice
		// retry is the retry delay of the refusal, and asked the number of homes that are
		// asked.
		retry time.Duration
		asked time.Duration
	}{
		"announces a limit": {reported: pace.Notice{Limit: pace.LimitOf(1)}, retry: silentHomeRetry, asked: maxSilentHomes},
		"leaves":            {reported: pace.Notice{Leaving: true}, retry: notReadyRetry},
		"rests":             {reported: pace.Notice{Rest: 1500 * time.Millisecond}, retry: 1500 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { refusedAtOnce(t, c.reported, c.retry, c.asked*homeTimeout) })
	}
}

// refusedAtOnce checks that a request is refused within the given time when its only endpoint
// has sent a notice.
func refusedAtOnce(t *testing.T, reported pace.Notice, retry, within time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		endpoints, caller := &countingEndpoints{}, &recordingCaller{}
		d := directory.Directory{}.WithList(time.Now(), 1, []directory.Entry{{ID: "e-n1", Service: "s", Zone: "n1"}})
		r := New(Config{
			Endpoints: endpoints,
			Zone:      "n1", Homes: &grantingHomes{groupsWithoutHomes: allOne}, Directory: &staticDirectory{d}, Log: log.Discard(),
			Notices: notice.New(notice.Config{Log: log.Discard()}), NextID: func() lifecycle.RequestID { return lifecycle.RequestID{} },
		})
		r.cfg.Notices.Answered(notice.Answer{Endpoint: "e-n1", Notice: reported})
		r.SetTable(table.Table{
			Generation: 1, Services: []table.Service{{Name: "s", Kind: table.KindRouted}},
			Routes: []table.Route{{
				Name: "a", Host: "h", Prefix: "/a/", Repeat: table.RepeatSafe, MaxAttempts: 2, TimeoutMS: 9000, TargetMS: 900,
				Targets: []table.RouteTarget{{Service: "s", Weight: 1}},
			}},
		})
		arrived := time.Now()
		r.Serve(t.Context(), Request{ID: "1", Host: "h", Path: "/a/x", Target: "/a/x", Method: http.MethodPost, Arrived: arrived}, caller)
		if endpoints.sends > 0 || caller.refusal.Status != http.StatusServiceUnavailable || caller.refusal.RetryAfter != retry {
			t.Errorf("sent %d times, refused with %+v", endpoints.sends, caller.refusal)
		}
		if held := time.Since(arrived); held > within {
			t.Errorf("delayed for %v, want at most %v", held, within)
		}
	})
}
