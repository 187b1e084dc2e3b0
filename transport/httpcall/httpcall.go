// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package httpcall holds what the HTTP calls from a box to endpoints share: clients that, on
// request, never send an order a second time by themselves, and the error type of a failed call.
package httpcall

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/httphead"
	"runridge.example/runridge/modules/socket"
)

const (
	// maxIdle limits the idle connections to one endpoint.
	maxIdle     = 64
	idleTimeout = 30 * time.Second
	dialTimeout = 2 * time.Second
)

// opDial is the operation of errors of connections that were not established.
const opDial = "dial"

// Clients holds two clients that differ in whether they reuse connections.
type Clients struct {
	// Shared reuses connections. Fresh opens one for each order, so that net/http never
	// sends an order again after a reused connection failed.
	Shared *http.Client
	Fresh  *http.Client
}

// New returns the clients. They return redirects instead of following them.
func New() Clients {
	return Clients{Shared: newClient(false), Fresh: newClient(true)}
}

func newClient(fresh bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: httphead.Check(&http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				if err := adapter.CheckSend(ctx); err != nil {
					return nil, &net.OpError{Op: opDial, Net: network, Err: errors.Join(err, c.Close())}
				}
				return socket.ReportResets(c), nil
			},
			MaxIdleConnsPerHost: maxIdle,
			IdleConnTimeout:     idleTimeout,
			DisableKeepAlives:   fresh,
			DisableCompression:  true,
		}, adapter.MaxAnswerHead),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Pick returns the client for an order; once means that it must not be repeated.
func (c Clients) Pick(once bool) *http.Client {
	if once {
		return c.Fresh
	}
	return c.Shared
}

// Close closes the idle connections.
func (c Clients) Close() {
	c.Shared.CloseIdleConnections()
	c.Fresh.CloseIdleConnections()
}

// ErrorType returns the error type of a failed call: adapter.ErrNotRun if the connection was never
// established, otherwise adapter.ErrMayHaveRun.
func ErrorType(err error) *errorx.Type {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == opDial {
		return adapter.ErrNotRun
	}
	return adapter.ErrMayHaveRun
}
