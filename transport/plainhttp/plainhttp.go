// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package plainhttp passes calls on to plain services over HTTP.
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

// Call is one call as it came from the caller.
type Call struct {
	Method string
	// Target is the path with its query.
	Target string
	Header http.Header
	Body   io.Reader
	// Length is the body's length, -1 if it is not known.
	Length int64
	// Attempt is what the call is made for.
	Attempt lifecycle.AttemptID
	// Once forbids the transport to send the call a second time by itself.
	Once bool
}

// Client passes calls on.
type Client struct {
	clients httpcall.Clients
	notices *notice.Keeper
}

// New makes a client, which notes what endpoints say of themselves.
func New(notices *notice.Keeper) *Client {
	return &Client{clients: httpcall.New(), notices: notices}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.clients.Close()
}

// hopByHop are the headers that are between two neighbours only (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Strip removes the headers that must not be passed on.
func Strip(h http.Header) {
	for _, named := range strings.Split(h.Get("Connection"), ",") {
		h.Del(strings.TrimSpace(named))
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// Do sends a call to an endpoint and returns its answer, whose body the caller
// of Do closes. Errors say what they prove, as those of an engine do.
func (c *Client) Do(ctx context.Context, e table.Endpoint, call Call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+e.Address+call.Target, call.Body)
	if err != nil {
		return nil, adapter.ErrNotRun.Wrap(err, "endpoint %s", e.Name)
	}
	req.Header = call.Header.Clone()
	req.ContentLength = call.Length
	// Without this the library could send the body again by itself.
	req.GetBody = nil
	resp, err := c.clients.Pick(call.Once).Do(req)
	if err != nil {
		return nil, httpcall.TypeAfter(err).Wrap(err, "endpoint %s", e.Name)
	}
	c.notices.Answered(notice.Answered{
		Request: call.Attempt.String(), Endpoint: e.Name, Restarts: true,
		Notice: relayapi.Default().ParseNotice(resp.StatusCode, resp.Header.Get),
		Served: resp.StatusCode < http.StatusInternalServerError,
	})
	Strip(resp.Header)
	return resp, nil
}
