// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/protocol/relayapi"
)

// maxStray bounds the answers of earlier requests that are passed over, and
// maxStrayBytes the body of one.
const (
	maxStray      = 4
	maxStrayBytes = 256 << 10
)

// longBody is the size from which a body is written while the answer is
// already awaited: an endpoint may answer before it has read all.
const longBody = 16 << 10

// exchange is one request and its answer on one connection.
type exchange struct {
	client *Client
	conn   *conn
	call   relay.Call
	names  relayapi.Names
	// written is closed when the request has left, or the write has failed.
	written  chan struct{}
	writeErr error
	sent     int
	stop     func() bool
	// begun is when the request began to be written.
	begun time.Time
	// stray is true when another request's answer came first.
	stray bool
}

func (x *exchange) run(ctx context.Context) (*relay.Answer, error) {
	x.stop = context.AfterFunc(ctx, x.conn.retire)
	x.begun = time.Now()
	head := x.request()
	x.written = make(chan struct{})
	if len(x.call.Body) >= longBody {
		go x.write(head)
	} else {
		x.write(head)
		if x.writeErr != nil {
			return nil, x.fail(ctx, x.writeErr)
		}
	}
	resp, err := x.read()
	if err != nil {
		return nil, x.fail(ctx, err)
	}
	return x.answer(resp), nil
}

// write sends the request. A long body is not copied: the box holds it once, however slowly
// its endpoint reads.
func (x *exchange) write(head []byte) {
	defer close(x.written)
	if len(x.call.Body) < longBody {
		x.sent, x.writeErr = x.conn.raw.Write(append(head, x.call.Body...))
		return
	}
	x.sent, x.writeErr = x.conn.raw.Write(head)
	if x.writeErr != nil {
		return
	}
	n, err := x.conn.raw.Write(x.call.Body)
	x.sent, x.writeErr = x.sent+n, err
}

// fail ends the exchange and types the error by what it proves: a request of
// which no byte left has not run.
func (x *exchange) fail(ctx context.Context, err error) error {
	x.stop()
	if x.conn.reused && time.Since(x.begun) < x.client.trip(x.conn.key) {
		// What ended it was on its way before the request: an endpoint that had ended
		// already when it was sent was taken for one that it ended.
		err = errors.Join(err, adapter.ErrStale)
	}
	x.conn.retire()
	<-x.written
	if cause := context.Cause(ctx); cause != nil {
		err = errors.Join(err, cause)
	}
	if x.sent == 0 && x.writeErr != nil {
		return adapter.ErrNotRun.Wrap(err, "endpoint %s", x.call.Endpoint.ID)
	}
	return adapter.ErrMayHaveRun.Wrap(err, "endpoint %s", x.call.Endpoint.ID)
}

// request is the head of the request.
func (x *exchange) request() []byte {
	var b bytes.Buffer
	call := x.call
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\n", call.Method, call.Target)
	field := func(name, value string) {
		b.WriteString(name)
		b.WriteString(": ")
		b.WriteString(value)
		b.WriteString("\r\n")
	}
	field("Host", call.Host)
	if !call.Control {
		field(x.names.RequestID, call.RequestID)
	}
	for _, f := range call.Header {
		field(f.Name, f.Value)
	}
	if call.Left > 0 {
		field(x.names.Deadline, strconv.FormatInt(max(call.Left.Milliseconds(), 1), 10))
	}
	if !call.Control {
		field(x.names.Instance, call.Endpoint.ID)
	}
	if call.Account != "" {
		field(x.names.Account, call.Account)
	}
	if call.Ranked {
		field(x.names.Priority, strconv.Itoa(call.Priority))
	}
	if call.Prefill {
		field(x.names.Stage, x.names.StagePrefill)
	}
	if call.Source != "" {
		field(x.names.Source, call.Source)
	}
	if call.LastEvent != "" {
		field(x.names.LastEvent, call.LastEvent)
	}
	if len(call.Body) > 0 || call.HasBody {
		field("Content-Length", strconv.Itoa(len(call.Body)))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// read reads answers until this request's own comes.
func (x *exchange) read() (*http.Response, error) {
	request := &http.Request{Method: x.call.Method}
	for range maxStray {
		resp, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errStatus
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		id := resp.Header.Get(x.names.RequestID)
		if id == x.call.RequestID || x.call.Control {
			return resp, nil
		}
		if id == "" || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errNoID
		}
		// A late answer to an earlier request stands before ours.
		x.stray = true
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes)); err != nil {
			return nil, err
		}
	}
	return nil, errStrays
}

var (
	errStatus = errors.New("an answer with a status that is none")
	errNoID   = errors.New("an answer without a request's id")
	errStrays = errors.New("too many answers to other requests")
)

// answer hands the answer on.
func (x *exchange) answer(resp *http.Response) *relay.Answer {
	a := &relay.Answer{
		Status:    resp.StatusCode,
		Length:    resp.ContentLength,
		Signed:    resp.Header.Get(x.names.Signature) != "",
		NotRun:    resp.Header.Get(x.names.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest,
		OtherHere: resp.StatusCode == http.StatusMisdirectedRequest,
		Notice:    x.names.ParseNotice(resp.StatusCode, resp.Header.Get),
		Encoded:   resp.Header.Get("Content-Encoding") != "",
	}
	x.conn.idleFor = keepAlive(resp.Header)
	reusable := !resp.Close && !x.stray
	// An answer without a length ends with its connection.
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		reusable = false
	}
	strip(resp.Header)
	for name, values := range resp.Header {
		for _, v := range values {
			a.Header = append(a.Header, relay.Field{Name: name, Value: v})
		}
	}
	a.Body = &body{x: x, source: resp.Body, reusable: reusable}
	return a
}

// hopByHop are the headers that are between two neighbours only (RFC 9110,
// section 7.6.1), and the length, which the next hop frames anew.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

func strip(h http.Header) {
	for _, named := range strings.Split(h.Get("Connection"), ",") {
		h.Del(strings.TrimSpace(named))
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// body is the rest of an answer.
type body struct {
	x        *exchange
	source   io.Reader
	reusable bool
	ended    bool
}

// Read reads on. At the end the connection is kept for the next request, if
// nothing speaks against it.
func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.source.Read(p)
	if err == nil {
		return n, nil
	}
	b.ended = true
	if !errors.Is(err, io.EOF) {
		b.x.stop()
		b.x.conn.retire()
		return n, err
	}
	b.finish()
	return n, io.EOF
}

func (b *body) finish() {
	x := b.x
	if !x.stop() {
		// The context has ended; the connection is closed already.
		return
	}
	select {
	case <-x.written:
	default:
		// The endpoint answered before it had read the whole request: what it
		// reads next must not be anything else.
		x.conn.retire()
		<-x.written
		return
	}
	if !b.reusable || x.writeErr != nil || x.conn.reader.Buffered() > 0 {
		x.conn.retire()
		return
	}
	x.client.put(x.conn)
}

// Close gives the rest of the answer up.
func (b *body) Close() error {
	if b.ended {
		return nil
	}
	b.ended = true
	b.x.stop()
	b.x.conn.retire()
	return nil
}
