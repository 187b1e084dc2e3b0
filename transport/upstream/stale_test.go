// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"io"
	"testing"
	"time"

	"runridge.example/runridge/coordination/adapter"
)

// TestStaleConnections has an endpoint close a connection instead of answering. If the close
// arrives sooner than a round trip takes, it was under way before the request.
func TestStaleConnections(t *testing.T) {
	cases := map[string]struct {
		// roundTrip is the measured round trip; 0 is unknown.
		roundTrip time.Duration
		// before is how many requests the connection has served.
		before int
		want   adapter.Break
	}{
		"reused, closed within a round trip": {roundTrip: time.Hour, before: 1, want: adapter.BreakStale},
		"reused, closed after a round trip":  {roundTrip: time.Nanosecond, before: 1, want: adapter.BreakClosed},
		"reused, round trip unknown":         {before: 1, want: adapter.BreakClosed},
		"new connection":                     {roundTrip: time.Hour, want: adapter.BreakClosed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, k := newServer(t), client()
			answers := send(k, s.endpoint(), "0")
			conn := <-s.accepted
			for range c.before {
				<-conn.requests
				_, _ = io.WriteString(conn, text("0", "one"))
				if got := <-answers; got.err != nil {
					t.Fatal(got.err)
				}
				answers = send(k, s.endpoint(), "0")
			}
			<-conn.requests
			k.mutex.Lock()
			k.pools[poolKey{address: s.endpoint().Address, id: "e1"}].roundTrip = c.roundTrip
			k.mutex.Unlock()
			_ = conn.Close()
			if got := adapter.BreakOf((<-answers).err); got != c.want {
				t.Errorf("classified as %q, want %q", got, c.want)
			}
		})
	}
}
