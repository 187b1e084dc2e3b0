// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpcall

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/tests/peer"
)

// waitTimeout limits every wait for an answer.
const waitTimeout = 20 * time.Second

// get sends a request without a body and returns the status and the body of its answer.
func get(t *testing.T, client *http.Client, address string) (status int, body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// both returns both kinds of clients by name.
func both(t *testing.T) map[string]*http.Client {
	t.Helper()
	clients := New()
	t.Cleanup(clients.Close)
	return map[string]*http.Client{"a connection for each order": clients.Fresh, "connections that are reused": clients.Shared}
}

// Guards against a malformed answer that is taken for one.
func TestMalformedAnswerIsRead(t *testing.T) {
	for kind, client := range both(t) {
		for name, answer := range peer.MalformedAnswers() {
			t.Run(kind+"/"+name, func(t *testing.T) {
				e := peer.Script(t, answer.Framed, func(*http.Request) string { return answer.Text() })
				status, body, err := get(t, client, e.Address)
				if err == nil {
					t.Fatalf("status %d, body %q", status, body)
				}
				if failed := wrapped(err); !errorx.IsOfType(failed, adapter.ErrMayHaveRun) || adapter.BreakOf(failed).Cut() {
					t.Errorf("error %v, interrupted as %q", failed, adapter.BreakOf(failed))
				}
				if n := e.AwaitEnd(t); n != 0 {
					t.Errorf("%d more bytes were sent on the connection", n)
				}
			})
		}
	}
}

// Guards against an odd answer that is refused although its meaning is plain.
func TestMendableAnswerIsRefused(t *testing.T) {
	for kind, client := range both(t) {
		for name, answer := range peer.MendableAnswers() {
			t.Run(kind+"/"+name, func(t *testing.T) {
				e := peer.Script(t, answer.Framed, func(*http.Request) string { return answer.Text() })
				if status, body, err := get(t, client, e.Address); err != nil || body != peer.RawBody {
					t.Errorf("status %d, body %q, error %v", status, body, err)
				}
			})
		}
	}
}

// Guards against an order that net/http sends again by itself, after a malformed answer on a reused connection.
func TestMalformedAnswerRepeatsItsOrder(t *testing.T) {
	for name, answer := range peer.MalformedAnswers() {
		t.Run(name, func(t *testing.T) {
			clients := New()
			defer clients.Close()
			var served atomic.Int64
			address := peer.Serve(t, func(c *net.TCPConn) {
				reader := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					if served.Add(1) == 1 {
						_, _ = io.WriteString(c, peer.RawAnswer{}.Text())
						continue
					}
					_, _ = io.WriteString(c, answer.Text())
					if answer.Framed {
						_ = c.CloseWrite()
					}
				}
			})
			if _, body, err := get(t, clients.Shared, address); err != nil || body != peer.RawBody {
				t.Fatalf("body %q, error %v", body, err)
			}
			status, body, err := get(t, clients.Shared, address)
			if err == nil {
				t.Errorf("status %d, body %q", status, body)
			}
			if served.Load() != 2 {
				t.Errorf("%d requests arrived, want 2", served.Load())
			}
		})
	}
}

// Guards against an answer to an earlier request, or to none, that is taken for the answer to the next one.
func TestSurplusAnswerIsTakenForTheNext(t *testing.T) {
	const rounds = 300
	client := both(t)["connections that are reused"]
	address := peer.Serve(t, func(c *net.TCPConn) {
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			text := func(body string) string {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
			_, _ = io.WriteString(c, text(r.URL.Path)+text("surplus"))
		}
	})
	for n := range rounds {
		path := fmt.Sprintf("/%d", n)
		_, body, err := get(t, client, address+path)
		if err == nil && body != path {
			t.Fatalf("round %d: body %q, want %q", n, body, path)
		}
	}
}

// Guards against a body in malformed chunks that looks whole.
func TestMalformedChunksLookWhole(t *testing.T) {
	for kind, client := range both(t) {
		for name, chunks := range peer.MalformedChunks() {
			t.Run(kind+"/"+name, func(t *testing.T) {
				answer := peer.RawAnswer{Fields: []string{"Transfer-Encoding: chunked"}, Framed: true, Body: chunks}
				e := peer.Script(t, true, func(*http.Request) string { return answer.Text() })
				if status, body, err := get(t, client, e.Address); err == nil {
					t.Errorf("status %d, body %q is taken for whole", status, body)
				}
				if n := e.AwaitEnd(t); n != 0 {
					t.Errorf("%d more bytes were sent on the connection", n)
				}
			})
		}
	}
}
