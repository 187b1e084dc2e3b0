// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformhttp

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"runridge.example/runridge/modules/httphead"
	"runridge.example/runridge/tests/peer"
)

// waitTimeout limits every wait for an answer.
const waitTimeout = 20 * time.Second

// Guards against a malformed answer of the platform that counts as its state, or as the result of a write.
func TestMalformedAnswerOfPlatformIsBelieved(t *testing.T) {
	calls := map[string]func(ctx context.Context, c *Client) error{
		"get": func(ctx context.Context, c *Client) error {
			_, err := c.Get(ctx, "o", 0)
			return err
		},
		"put": func(ctx context.Context, c *Client) error {
			_, err := c.Put(ctx, "o", 0, []byte("value"))
			return err
		},
		"boxes": func(ctx context.Context, c *Client) error {
			_, err := c.Boxes(ctx)
			return err
		},
	}
	const body = `{"version":3,"boxes":[]}`
	answers := map[string]peer.RawAnswer{
		"done":                  {Fields: []string{"X Foo: b"}, Framed: true, Body: body},
		"conflict":              {Status: "HTTP/1.1 409 Conflict", Fields: []string{"X-Foo : b"}, Framed: true, Body: body},
		"another version":       {Status: "HTTP/2.0 200 OK", Framed: true, Body: body},
		"status 000":            {Status: "HTTP/1.1 000 OK", Framed: true, Body: body},
		"chunks in version 1.0": {Status: "HTTP/1.0 200 OK", Fields: []string{"Transfer-Encoding: chunked"}, Framed: true, Body: body},
	}
	for kind, call := range calls {
		for name, answer := range answers {
			t.Run(kind+"/"+name, func(t *testing.T) {
				server := peer.Script(t, true, func(*http.Request) string { return answer.Text() })
				c := New(server.Address)
				defer c.Close()
				ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
				defer cancel()
				err := call(ctx, c)
				if malformed := new(httphead.MalformedError); !errors.As(err, &malformed) {
					t.Errorf("error %v", err)
				}
				if n := server.AwaitEnd(t); n != 0 || len(server.Requests) != 1 {
					t.Errorf("%d more bytes were sent on the connection, %d requests", n, len(server.Requests))
				}
			})
		}
	}
}
