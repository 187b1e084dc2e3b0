// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httphead

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
)

// ErrSurplus is the error of a request whose connection had an answer before the request was sent.
var ErrSurplus = errors.New("the answer is older than its request")

// conn is a connection whose answers are checked.
type conn struct {
	net.Conn
	answers *Reader
}

// Read reads from the connection and checks the heads of answers.
func (c *conn) Read(p []byte) (int, error) { return c.answers.Read(p) }

// transport is the RoundTripper of Check.
type transport struct {
	base *http.Transport
}

// Check returns a RoundTripper over a transport for plain HTTP whose answers have sound heads. Its errors are
// those of the transport, MalformedError, ErrTooLong and ErrSurplus. The transport must not be used otherwise.
// A head may have limit bytes.
func Check(base *http.Transport, limit int) http.RoundTripper {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, answers: NewReader(c, limit)}, nil
	}
	base.MaxResponseHeaderBytes = int64(limit)
	return &transport{base: base}
}

// RoundTrip sends a request and returns its answer.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used *conn
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		used = got.Conn.(*conn)
		used.answers.Expect(nil)
	}}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		if used != nil {
			err = cmp.Or(used.answers.Err(), err)
		}
		return nil, err
	}
	if !used.answers.Complete() {
		return nil, errors.Join(ErrSurplus, used.Close(), resp.Body.Close())
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
