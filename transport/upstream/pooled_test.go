// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"io"
	"net/http"
	"testing"

	"runridge.example/runridge/coordination/relay"
)

// Guards against a box that crashes, or sends on a closed connection, because an answer ended while the connection
// was closed as silent.
func TestClosedConnectionIsPooledAgain(t *testing.T) {
	cases := map[string]struct {
		// others is how many other connections to the endpoint are open.
		others int
	}{
		"the only connection": {},
		"one of two":          {others: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, client := newServer(t), client()
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			open := func(id string) *relay.Answer {
				go func() {
					conn := <-s.accepted
					<-conn.requests
					_, _ = io.WriteString(conn, text(id, "x"))
				}()
				a, err := client.Send(ctx, relay.Call{Endpoint: s.endpoint(), Method: http.MethodGet, Target: "/", Host: "h", RequestID: id})
				if err != nil {
					t.Fatal(err)
				}
				return a
			}
			for range c.others {
				open("other")
			}
			ended := open("1").Body.(*body)
			if _, err := io.ReadFull(ended.source, make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			ended.x.conn.retire()
			ended.finish()
			for key, p := range client.pools {
				if len(p.idle) > 0 {
					t.Errorf("a closed connection to %s is reused", key.id)
				}
			}
		})
	}
}
