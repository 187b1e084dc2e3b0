// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/protocol/relayapi"
	"runridge.example/runridge/tests/peer"
)

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// sendWithoutEnd returns the address of a server that sends the beginning, and then a piece again and again, up to
// endlessBytes in all.
func sendWithoutEnd(t *testing.T, first, piece string) string {
	t.Helper()
	return peer.Serve(t, func(c *net.TCPConn) {
		pieces := strings.Repeat(piece, max(1, 4096/len(piece)))
		_, err := io.WriteString(c, first)
		for sent := 0; err == nil && sent < endlessBytes; sent += len(pieces) {
			_, err = io.WriteString(c, pieces)
		}
	})
}

const (
	endlessBytes = 4 << 20
	// maxHeadRead is what may be read of a head: its limit, and what the buffer holds besides.
	maxHeadRead = adapter.MaxAnswerHead + readBuffer
)

// Guards against a box that runs out of memory because an endpoint sends the head of an answer without end.
func TestHeadWithoutEndIsReadWhole(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct{ first, piece string }{
		"a line that is no status":       {piece: "x"},
		"a status line":                  {first: "HTTP/1.1 200 ", piece: "x"},
		"a field":                        {first: status + "X-Long: ", piece: "x"},
		"the name of a field":            {first: status, piece: "x"},
		"fields":                         {first: status, piece: "X-Again: y\r\n"},
		"continued lines":                {first: status + "X-Long: y\r\n", piece: " y\r\n"},
		"interim answers":                {piece: "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim answers with fields":    {piece: "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("l", 30_000) + "\r\n\r\n"},
		"fields after an interim answer": {first: "HTTP/1.1 100 Continue\r\n\r\n" + status, piece: "X-Again: y\r\n"},
		"zero bytes":                     {piece: "\x00"},
		"empty lines":                    {piece: "\r\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var read atomic.Int64
			var dialer net.Dialer
			client := New(Config{Names: relayapi.Default(), Dial: func(ctx context.Context, address string) (net.Conn, error) {
				raw, err := dialer.DialContext(ctx, "tcp", address)
				return countingConn{raw, &read}, err
			}})
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			_, err := client.Send(ctx, relay.Call{
				Endpoint: relay.Endpoint{ID: "e", Address: sendWithoutEnd(t, c.first, c.piece)}, Method: http.MethodGet, Target: "/", Host: "h", RequestID: "1",
			})
			if !errorx.IsOfType(err, adapter.ErrMayHaveRun) {
				t.Errorf("error %v", err)
			}
			if read.Load() > maxHeadRead {
				t.Errorf("%d bytes were read, at most %d may be", read.Load(), maxHeadRead)
			}
			if err != nil && len(err.Error()) > 1000 {
				t.Errorf("the error has %d bytes", len(err.Error()))
			}
		})
	}
}

// Guards against an answer whose long body is taken for a long head.
func TestLongBodyIsTakenForAHead(t *testing.T) {
	s, c := newServer(t), client()
	body := strings.Repeat("b", 2*adapter.MaxAnswerHead)
	got := send(c, s.endpoint(), "1")
	conn := <-s.accepted
	<-conn.requests
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRunridge-Request-Id: 1\r\nRunridge-Signature: x\r\nContent-Length: 131072\r\n\r\n"+body)
	select {
	case a := <-got:
		if a.err != nil || a.body != body {
			t.Errorf("error %v, %d bytes", a.err, len(a.body))
		}
	case <-time.After(waitTimeout):
		t.Error("no answer")
	}
}

// Guards against a request that waits for the rest of an answer that is not for its caller.
func TestDiscardedBodyWithoutEndHoldsItsRequest(t *testing.T) {
	cases := map[string]string{
		"the rest never comes": "Content-Length: 1000\r\n\r\nbegin",
		"chunks without end":   "Transfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n",
	}
	for name, rest := range cases {
		t.Run(name, func(t *testing.T) {
			s, c := newServer(t), client()
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			go func() {
				conn := <-s.accepted
				<-conn.requests
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nRunridge-Request-Id: 1\r\n"+rest)
			}()
			a, err := c.Send(ctx, relay.Call{Endpoint: s.endpoint(), Method: http.MethodGet, Target: "/", Host: "h", RequestID: "1"})
			if err != nil {
				t.Fatal(err)
			}
			if err := a.Discard(); err == nil || ctx.Err() != nil {
				t.Errorf("discarded with error %v, the request's time: %v", err, ctx.Err())
			}
		})
	}
}
