// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package plainhttp forwards calls to the endpoints of plain services over HTTP.
package plainhttp

import (
	"context"
	"io"
	"net/http"
	"strings"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/notice"
	"runridge.example/runridge/protocol/relayapi"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/table"
	"runridge.example/runridge/transport/httpcall"
)

// Call is a call as received from the caller.
type Call struct {
	Method string
	// Target is the path with its query.
	Target string
	Header http.Header
	Body   io.Reader
	// Length is the body's length in bytes, -1 if it is unknown.
	Length int64
	// Attempt is the attempt that the call belongs to.
	Attempt lifecycle.AttemptID
	// Once forbids the HTTP client to send the call a second time by itself.
	Once bool
}

// Client forwards calls to endpoints.
type Client struct {
	clients httpcall.Clients
	notices *notice.Keeper
}

// New returns a client that records the notices in endpoints' answers.
func New(notices *notice.Keeper) *Client {
	return &Client{clients: httpcall.New(), notices: notices}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.clients.Close()
}

// hopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Strip removes the headers that must not be forwarded: the hop-by-hop headers and those listed in
// Connection.
func Strip(h http.Header) {
	for _, named := range strings.Split(h.Get("Connection"), ",") {
		h.Del(strings.TrimSpace(named))
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// Do sends a call to an endpoint and returns its answer. The caller of Do has to close the answer's
// body. Errors are adapter.ErrNotRun or adapter.ErrMayHaveRun.
func (c *Client) Do(ctx context.Context, e table.Endpoint, call Call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+e.Address+call.Target, call.Body)
	if err != nil {
		return nil, adapter.ErrNotRun.Wrap(err, "endpoint %s", e.Name)
	}
	req.Header = call.Header.Clone()
	req.ContentLength = call.Length
	// With GetBody, net/http could send the body again by itself.
	req.GetBody = nil
	resp, err := c.clients.Pick(call.Once).Do(req)
	if err != nil {
		return nil, httpcall.ErrorType(err).Wrap(err, "endpoint %s", e.Name)
	}
	c.notices.Answered(notice.Answer{
		Request: call.Attempt.String(), Endpoint: e.Name, Restarts: true,
		Notice: relayapi.Default().ParseNotice(resp.StatusCode, resp.Header.Get),
		Served: resp.StatusCode < http.StatusInternalServerError,
	})
	Strip(resp.Header)
	return resp, nil
}
