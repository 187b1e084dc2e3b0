// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpcall

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"

	"runridge.example/runridge/coordination/adapter"
)

// Guards against a call that reaches an endpoint which left while the box connected to it.
func TestCallIsSentAfterItsEndpointLeftDuringTheDial(t *testing.T) {
	clients := New()
	defer clients.Close()
	cases := map[string]struct {
		client *http.Client
		reason string
	}{
		"a connection for each order, left":     {client: clients.Fresh, reason: "left"},
		"connections that are reused, left":     {client: clients.Shared, reason: "left"},
		"a connection for each order, not left": {client: clients.Fresh},
		"connections that are reused, not left": {client: clients.Shared},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
			defer server.Close()
			ctx := adapter.WithSendCheck(t.Context(), func() string { return c.reason })
			sent := int64(1)
			if c.reason != "" {
				sent = 0
			}
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := c.client.Do(req)
			if err == nil {
				_ = resp.Body.Close()
			}
			if calls.Load() != sent || err != nil && !errorx.IsOfType(wrapped(err), adapter.ErrNotRun) {
				t.Errorf("%d calls, error %v", calls.Load(), err)
			}
			if got := adapter.WithheldReason(wrapped(err)); got != c.reason {
				t.Errorf("withheld for %q, want %q", got, c.reason)
			}
		})
	}
}

// wrapped returns an error of a client as the callers of this package do.
func wrapped(err error) error {
	if err == nil {
		return nil
	}
	return ErrorType(err).Wrap(err, "endpoint")
}

// Guards against a box that runs out of memory because an endpoint sends a head that is very long.
func TestHeadWithoutEndIsReadWhole(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", 2*adapter.MaxAnswerHead))
	}))
	defer server.Close()
	clients := New()
	defer clients.Close()
	for name, client := range map[string]*http.Client{"a connection for each order": clients.Fresh, "connections that are reused": clients.Shared} {
		t.Run(name, func(t *testing.T) {
			resp, err := client.Get(server.URL)
			if err == nil {
				_ = resp.Body.Close()
				t.Error("the answer was read")
			}
		})
	}
}
