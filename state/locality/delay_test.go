// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package locality_test

import (
	"testing"
	"time"

	"runridge.example/runridge/state/locality"
)

func TestDelays(t *testing.T) {
	type measured struct {
		zone string
		// after is the time since the first measurement.
		after, took time.Duration
	}
	const ms = time.Millisecond
	cases := map[string]struct {
		measured []measured
		want     time.Duration
	}{
		"nothing measured":                 {},
		"another zone":                     {measured: []measured{{"b-1", 0, 40 * ms}}},
		"the minimum":                      {measured: []measured{{"a-1", 0, 9 * ms}, {"a-1", time.Second, ms}, {"a-1", 2 * time.Second, 80 * ms}}, want: ms},
		"a busy box just after the window": {measured: []measured{{"a-1", 0, ms}, {"a-1", 31 * time.Second, 80 * ms}}, want: ms},
		"a link that became longer": {
			measured: []measured{{"a-1", 0, ms}, {"a-1", 31 * time.Second, 40 * ms}, {"a-1", 62 * time.Second, 41 * ms}},
			want:     40 * ms,
		},
		"a round trip of zero": {measured: []measured{{"a-1", 0, 0}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var d locality.Delays
			for _, m := range c.measured {
				d = d.With(m.zone, time.Unix(1000, 0).Add(m.after), m.took)
			}
			if got := d.RoundTrip("a-1"); got != c.want {
				t.Errorf("round trip: %v, want %v", got, c.want)
			}
		})
	}
}

func TestDelayToRegion(t *testing.T) {
	m := locality.New(map[string]string{"a-1": "a", "a-2": "a", "b-1": "b"})
	before := locality.Delays{}.With("a-1", time.Time{}, 3*time.Millisecond)
	d := before.With("a-2", time.Time{}, 2*time.Millisecond).With("b-1", time.Time{}, 41*time.Millisecond)
	for region, want := range map[string]time.Duration{"a": 2 * time.Millisecond, "b": 41 * time.Millisecond, "c": 0} {
		if got := d.ToRegion(m, region); got != want {
			t.Errorf("to region %s: %v, want %v", region, got, want)
		}
	}
	if got := before.ToRegion(m, "b"); got != 0 {
		t.Errorf("a value was changed: %v", got)
	}
}
