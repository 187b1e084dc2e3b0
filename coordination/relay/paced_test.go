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

// coldRun is a request for a service whose endpoint "warm" is warm and "cold" cold.
func coldRun(bound pace.Bound, now time.Time) *run {
	entries := []directory.Entry{
		{ID: "warm", Service: "s", Stage: directory.StageDecode},
		{ID: "cold", Service: "s", Stage: directory.StageDecode, ColdFor: time.Minute},
	}
	r := New(Config{
		Log: log.Discard(), Cold: bound, Now: func() time.Time { return now },
		Directory: &known{directory.Directory{}.WithList(now, 1, entries)},
	})
	return &run{r: r, service: table.Service{Name: "s", ColdPace: 1}}
}

var someBound = pace.Bound{Overage: 1.5, Slack: 5}

func TestAloneLeavesColdEndpointsOut(t *testing.T) {
	cases := map[string]struct {
		bound pace.Bound
		avoid []string
		want  map[string]bool
	}{
		"the warm one alone":              {bound: someBound, want: map[string]bool{"warm": true}},
		"none is better than a cold one":  {bound: someBound, avoid: []string{"warm"}, want: map[string]bool{"": true}},
		"both where nothing bounds a few": {want: map[string]bool{"warm": true, "cold": true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := make(map[string]bool)
			for n := range uint64(8) {
				v := coldRun(c.bound, time.Now())
				v.id.Sequence, v.avoid = n, c.avoid
				plan, _ := v.placeAlone()
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
	grant := schedule.Grant{PacedPrefill: true, PacedDecode: true, Held: held}
	cases := map[string]struct {
		endpoint string
		grant    schedule.Grant
		// after is the time since the first question, and told how long before it the
		// home was told that the prefill is done; 0 is not yet.
		after, told     time.Duration
		prefill, decode bool
	}{
		"a warm one": {endpoint: "warm", prefill: true, decode: true},
		"a cold one that its home takes for warm": {endpoint: "cold"},
		"a cold one that was counted":             {endpoint: "cold", grant: grant, after: held + pace.SendWithin, prefill: true, decode: true},
		"one that was counted long ago":           {endpoint: "cold", grant: grant, after: held + pace.SendWithin + 1},
		"after its prefill":                       {endpoint: "cold", grant: grant, after: held + time.Second, told: pace.SendWithin, decode: true},
		"long after its prefill":                  {endpoint: "cold", grant: grant, after: held + time.Second, told: pace.SendWithin + 1},
		"after a prefill that took long":          {endpoint: "cold", grant: grant, after: held + pace.OpenFor + 1, told: 1},
		"one that only its home takes for cold":   {endpoint: "warm", grant: grant, after: held + pace.SendWithin + 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := asked.Add(c.after)
			v := coldRun(someBound, now)
			v.counted = countedBy(c.grant, asked)
			if c.told > 0 {
				v.counted.Prefilled = now.Add(-c.told)
			}
			if got := v.mayPrefill(c.endpoint); got != c.prefill {
				t.Errorf("may prefill: %v, want %v", got, c.prefill)
			}
			if got := v.mayDecode(c.endpoint); got != c.decode {
				t.Errorf("may decode: %v, want %v", got, c.decode)
			}
		})
	}
}

// TestSendsToLimitedEndpoints holds that an endpoint which names a limit gets only what a home
// has counted, and nothing from a box that places alone.
func TestSendsToLimitedEndpoints(t *testing.T) {
	now := time.Now()
	cases := map[string]struct {
		grant schedule.Grant
		after time.Duration
		sent  bool
	}{
		"counted":                       {grant: schedule.Grant{PacedPrefill: true, PacedDecode: true}, sent: true},
		"counted long ago":              {grant: schedule.Grant{PacedPrefill: true, PacedDecode: true}, after: pace.SendWithin + 1},
		"by a home that does not count": {},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := coldRun(pace.Bound{}, now.Add(c.after))
			v.r.cfg.Notices = notice.New(notice.Config{Log: log.Discard()})
			v.r.cfg.Notices.Answered(notice.Answered{Endpoint: "warm", Notice: pace.Notice{Limit: pace.LimitOf(1)}})
			v.counted = countedBy(c.grant, now)
			if v.mayPrefill("warm") != c.sent || v.mayDecode("warm") != c.sent {
				t.Errorf("may prefill %v, decode %v, want %v", v.mayPrefill("warm"), v.mayDecode("warm"), c.sent)
			}
			v.counted = pace.Counted{}
			if !v.mayPrefill("cold") || !v.mayDecode("cold") {
				t.Error("an endpoint that names no limit gets nothing")
			}
			for n := range uint64(8) {
				v.id.Sequence = n
				if got, withheld := v.placeAlone(); got.Decode != "cold" || withheld != "" {
					t.Errorf("placed alone at %q, withheld %q", got.Decode, withheld)
				}
			}
		})
	}
}

// TestNowhereToGoIsRefusedAtOnce has no home speak while the only endpoint may get nothing by
// its own word: the caller was held for as long as its request was asked for, eight times.
func TestNowhereToGoIsRefusedAtOnce(t *testing.T) {
	cases := map[string]struct {
		said pace.Notice
		// retry is what the caller is told, and asked is the number of homes that are asked.
		retry time.Duration
		asked time.Duration
	}{
		"names a limit": {said: pace.Notice{Limit: pace.LimitOf(1)}, retry: silentHomeRetry, asked: silentHomes},
		"leaves":        {said: pace.Notice{Leaving: true}, retry: notReadyRetry},
		"rests":         {said: pace.Notice{Rest: 1500 * time.Millisecond}, retry: 1500 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { refusedAtOnce(t, c.said, c.retry, c.asked*firstWord) })
	}
}

// refusedAtOnce has the only endpoint say something, and a request refused within a time.
func refusedAtOnce(t *testing.T, said pace.Notice, retry, within time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ends, caller := &counted{}, &told{}
		d := directory.Directory{}.WithList(time.Now(), 1, []directory.Entry{{ID: "e-n1", Service: "s", Zone: "n1"}})
		r := New(Config{
			Zone: "n1", Homes: &granting{places: allOne}, Directory: &known{d}, Endpoints: ends, Log: log.Discard(),
			Notices: notice.New(notice.Config{Log: log.Discard()}), NextID: func() lifecycle.RequestID { return lifecycle.RequestID{} },
		})
		r.cfg.Notices.Answered(notice.Answered{Endpoint: "e-n1", Notice: said})
		r.SetTable(table.Table{
			Generation: 1, Services: []table.Service{{Name: "s", Kind: table.KindRouted}},
			Routes: []table.Route{{
				Name: "a", Host: "h", Prefix: "/a/", Repeat: table.RepeatSafe, MaxAttempts: 2, TimeoutMS: 9000, TargetMS: 900,
				Targets: []table.RouteTarget{{Service: "s", Weight: 1}},
			}},
		})
		arrived := time.Now()
		r.Serve(t.Context(), Request{ID: "1", Host: "h", Path: "/a/x", Target: "/a/x", Method: http.MethodPost, Arrived: arrived}, caller)
		if ends.sends > 0 || caller.refusal.Status != http.StatusServiceUnavailable || caller.refusal.RetryAfter != retry {
			t.Errorf("sent %d times, told %+v", ends.sends, caller.refusal)
		}
		if held := time.Since(arrived); held > within {
			t.Errorf("held for %v, want no longer than %v", held, within)
		}
	})
}
