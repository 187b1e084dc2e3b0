// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/joomcode/errorx"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/notice"
	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/coordination/stages"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/protocol/relayapi"
	"runridge.example/runridge/tests/peer"
)

// rawFields are fields that an endpoint may set in an answer to request "1"; they must not be believed if the
// answer is malformed.
func rawFields() []string {
	names := relayapi.Default()
	return []string{names.RequestID + ": 1", names.Signature + ": s", names.NotRun + ": 1", names.Leaving + ": " + relayapi.LeavingYes}
}

// sendFirst sends request "1" to a scripted endpoint.
func sendFirst(t *testing.T, c *Client, e *peer.Scripted) (*relay.Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	t.Cleanup(cancel)
	return c.Send(ctx, relay.Call{
		Endpoint: relay.Endpoint{ID: "e", Address: e.Address}, Method: http.MethodGet, Target: "/", Host: "h", RequestID: "1",
	})
}

// Guards against a malformed answer that reaches the caller, or is believed.
func TestMalformedAnswerIsPassedOn(t *testing.T) {
	for name, answer := range peer.MalformedAnswers() {
		t.Run(name, func(t *testing.T) {
			e := peer.Script(t, answer.Framed, func(*http.Request) string { return answer.Text(rawFields()...) })
			notices := notice.New(notice.Config{Log: log.Discard()})
			c := New(Config{Names: relayapi.Default(), Notices: notices})
			a, err := sendFirst(t, c, e)
			if err == nil {
				body, _ := io.ReadAll(a.Body)
				t.Fatalf("status %d, fields %q, body %q", a.Status, a.Header, body)
			}
			if !errorx.IsOfType(err, adapter.ErrMayHaveRun) || adapter.BreakOf(err).Cut() {
				t.Errorf("error %v, interrupted as %q", err, adapter.BreakOf(err))
			}
			if n := e.AwaitEnd(t); n != 0 {
				t.Errorf("%d more bytes were sent on the connection", n)
			}
			if closed := notices.Closed(); len(closed) > 0 {
				t.Errorf("a notice was believed: %+v", closed)
			}
		})
	}
}

// Guards against an odd answer that is refused although its meaning is plain.
func TestMendableAnswerIsRefused(t *testing.T) {
	for name, answer := range peer.MendableAnswers() {
		t.Run(name, func(t *testing.T) {
			e := peer.Script(t, answer.Framed, func(*http.Request) string { return answer.Text(rawFields()...) })
			a, err := sendFirst(t, client(), e)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(a.Body)
			if err != nil || string(body) != peer.RawBody || !a.Signed {
				t.Errorf("status %d, fields %q, body %q, error %v", a.Status, a.Header, body, err)
			}
			for _, f := range a.Header {
				if f.Name == "X Foo" {
					t.Error("a field of the trailer was passed on")
				}
			}
		})
	}
}

// Guards against a malformed answer that is accepted because an answer to another request came with it.
func TestMalformedAnswerFollowsAStrayOne(t *testing.T) {
	for name, answer := range peer.MalformedAnswers() {
		t.Run(name, func(t *testing.T) {
			e := peer.Script(t, answer.Framed, func(*http.Request) string { return text("0", "late") + answer.Text(rawFields()...) })
			a, err := sendFirst(t, client(), e)
			if err == nil {
				t.Errorf("status %d, fields %q", a.Status, a.Header)
			}
		})
	}
}

// Guards against a body in malformed chunks that looks whole.
func TestMalformedChunksLookWhole(t *testing.T) {
	for name, chunks := range peer.MalformedChunks() {
		t.Run(name, func(t *testing.T) {
			answer := peer.RawAnswer{Fields: []string{"Transfer-Encoding: chunked"}, Framed: true, Body: chunks}
			e := peer.Script(t, true, func(*http.Request) string { return answer.Text(rawFields()...) })
			a, err := sendFirst(t, client(), e)
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(a.Body); err == nil {
				t.Errorf("body %q is taken for whole", body)
			}
			if n := e.AwaitEnd(t); n != 0 {
				t.Errorf("%d more bytes were sent on the connection", n)
			}
		})
	}
}

// Guards against an order to an engine that counts as taken or as refused, or a report that is used, by a
// malformed answer.
func TestMalformedAnswerToAnOrderIsBelieved(t *testing.T) {
	names := relayapi.Default()
	calls := map[string]func(ctx context.Context, c *Client, e stages.Engine) error{
		"order": func(ctx context.Context, c *Client, e stages.Engine) error { return c.Order(ctx, e, stages.Order{}) },
		"report": func(ctx context.Context, c *Client, e stages.Engine) error {
			_, err := c.Report(ctx, e)
			return err
		},
		"release of a result": func(ctx context.Context, c *Client, e stages.Engine) error {
			return c.Free(ctx, relay.Endpoint{ID: e.ID, Address: e.Address}, "handle")
		},
	}
	const body = `{"stage":"prefill","taken":1}`
	answers := map[string]peer.RawAnswer{
		"taken":   {Fields: []string{"X Foo: b"}, Framed: true, Body: body},
		"refused": {Status: "HTTP/1.1 409 Conflict", Fields: []string{"X-Foo : b"}, Framed: true, Body: body},
		"gone":    {Status: "HTTP/1.1 421 Misdirected", Fields: []string{"X Foo: b"}, Framed: true, Body: body},
		"chunks":  {Status: "HTTP/1.0 200 OK", Fields: []string{"Transfer-Encoding: chunked"}, Framed: true, Body: body},
		"version": {Status: "HTTP/2.0 200 OK", Framed: true, Body: body},
		"status":  {Status: "HTTP/1.1 000 OK", Framed: true, Body: body},
	}
	for kind, call := range calls {
		for name, answer := range answers {
			t.Run(kind+"/"+name, func(t *testing.T) {
				e := peer.Script(t, true, func(*http.Request) string { return answer.Text(names.Leaving + ": " + relayapi.LeavingYes) })
				notices := notice.New(notice.Config{Log: log.Discard()})
				c := New(Config{Names: names, Notices: notices})
				ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
				defer cancel()
				err := call(ctx, c, stages.Engine{ID: "e", Address: e.Address})
				if !errorx.IsOfType(err, adapter.ErrMayHaveRun) || errors.Is(err, stages.ErrRefused) {
					t.Errorf("error %v", err)
				}
				if n := e.AwaitEnd(t); n != 0 || len(notices.Closed()) > 0 {
					t.Errorf("%d more bytes were sent, %d notices believed", n, len(notices.Closed()))
				}
			})
		}
	}
}
