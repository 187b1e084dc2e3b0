// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package enginehttp

import (
	"context"
	"net/http"
	"testing"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/notice"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/protocol/engineapi"
	"runridge.example/runridge/protocol/relayapi"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/table"
	"runridge.example/runridge/tests/peer"
)

// waitTimeout limits every wait for an answer.
const waitTimeout = 20 * time.Second

var attempt = lifecycle.AttemptID{Number: 1}

// calls are all calls to an engine.
var calls = map[string]func(ctx context.Context, c *Client, e table.Endpoint) error{
	"prefill": func(ctx context.Context, c *Client, e table.Endpoint) error {
		_, err := c.Prefill(ctx, e, attempt, adapter.Prompt{}, true)
		return err
	},
	"import": func(ctx context.Context, c *Client, e table.Endpoint) error {
		return c.Import(ctx, e, e, attempt, adapter.Import{})
	},
	"decode": func(ctx context.Context, c *Client, e table.Endpoint) error {
		return c.Decode(ctx, e, attempt, adapter.Decode{}, true, func(adapter.Token) bool { return true })
	},
	"release": func(ctx context.Context, c *Client, e table.Endpoint) error {
		return c.Release(ctx, e, attempt.String())
	},
	"holds": func(ctx context.Context, c *Client, e table.Endpoint) error {
		_, err := c.Holds(ctx, e)
		return err
	},
	"load": func(ctx context.Context, c *Client, e table.Endpoint) error {
		_, err := c.Load(ctx, e)
		return err
	},
	"events": func(ctx context.Context, c *Client, e table.Endpoint) error {
		_, err := c.Events(ctx, e, 0)
		return err
	},
	"order": func(ctx context.Context, c *Client, e table.Endpoint) error {
		return c.Order(ctx, e, adapter.Order{})
	},
}

// Guards against an order that counts as done, or as not run, by a malformed answer, and a notice in one.
func TestMalformedAnswerToAnOrderIsBelieved(t *testing.T) {
	answers := map[string]peer.RawAnswer{
		"done, blank in a name":    {Fields: []string{"X Foo: b"}, Framed: true, Body: `{"attempt":"` + attempt.String() + `"}`},
		"not run, blank in a name": {Status: "HTTP/1.1 503 Busy", Fields: []string{"X Foo: b"}, Framed: true, Body: `{"code":"` + engineapi.CodeNotAccepted + `"}`},
		"not run, status 000":      {Status: "HTTP/1.1 000 OK", Framed: true, Body: `{"code":"` + engineapi.CodeNotAccepted + `"}`},
		"status 999":               {Status: "HTTP/1.1 999 OK", Framed: true, Body: `{"code":"` + engineapi.CodeFailed + `"}`},
		"chunks in version 1.0":    {Status: "HTTP/1.0 200 OK", Fields: []string{"Transfer-Encoding: chunked"}, Framed: true, Body: `{}`},
	}
	for kind, call := range calls {
		for name, answer := range answers {
			t.Run(kind+"/"+name, func(t *testing.T) {
				server := peer.Script(t, true, func(*http.Request) string {
					return answer.Text(engineapi.HeaderLeaving+": "+relayapi.LeavingYes, engineapi.HeaderLimit+": 1")
				})
				notices := notice.New(notice.Config{Log: log.Discard()})
				c := New(notices)
				defer c.Close()
				ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
				defer cancel()
				err := call(ctx, c, table.Endpoint{Name: "e", Address: server.Address})
				if err == nil || adapter.RanOf(err) != lifecycle.MayHaveRun {
					t.Errorf("error %v", err)
				}
				if notices.Any() || len(notices.Closed()) > 0 {
					t.Error("a notice was believed")
				}
				if n := server.AwaitEnd(t); n != 0 {
					t.Errorf("%d more bytes were sent on the connection", n)
				}
				if len(server.Requests) != 1 {
					t.Errorf("%d requests, want 1", len(server.Requests))
				}
			})
		}
	}
}
