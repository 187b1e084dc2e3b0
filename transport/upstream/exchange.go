// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/modules/httphead"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/protocol/relayapi"
)

// maxStray limits how many answers to other requests are skipped on a connection, and
// maxStrayBytes the body of each.
const (
	maxStray      = 4
	maxStrayBytes = 256 << 10
)

// longBody is the size from which a body is written concurrently with reading the answer,
// since an endpoint may answer before it has read the whole body.
const longBody = 16 << 10

// exchange is a request and its answer on one connection.
type exchange struct {
	client *Client
	conn   *conn
	call   relay.Call
	names  relayapi.Names
	// written is closed when the request is written or its write has failed.
	written  chan struct{}
	writeErr error
	// sent is how many bytes of the request were written.
	sent int
	// ctx ends when the caller leaves or the request's time is over.
	ctx context.Context
	// stop keeps the end of the context from closing the connection. It returns false if
	// the context has ended already.
	stop func() bool
	// begun is when the exchange started, before its first byte was written.
	begun time.Time
	// silence checks the path while the endpoint sends nothing; nil if the connection goes through
	// another box. pathLost is true once the path was found lost.
	silence  *time.Timer
	pathLost atomic.Bool
	// stray is true if an answer to another request arrived first.
	stray bool
}

// run writes the request and returns its answer as soon as the head has arrived.
func (x *exchange) run(ctx context.Context) (*relay.Answer, error) {
	x.ctx = ctx
	x.stop = context.AfterFunc(ctx, x.conn.retire)
	x.begun = time.Now()
	x.watchSilence()
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

// write writes the request. A long body isn't copied, so that the box holds it only once
// however slowly its endpoint reads.
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

// fail ends the exchange and returns err as adapter.ErrNotRun if no byte of the request was
// written, otherwise as adapter.ErrMayHaveRun.
func (x *exchange) fail(ctx context.Context, err error) error {
	x.stop()
	x.endWatch()
	err = x.explain(err, explainTime)
	if x.conn.reused && time.Since(x.begun) < x.client.roundTrip(x.conn.key) {
		// The failure arrived sooner than a round trip takes, so the endpoint had ended
		// the connection before the request reached it. Without the mark, a failure of
		// an endpoint that was gone already would count as caused by this request.
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

// request returns the head of the request.
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
	if call.Remaining > 0 {
		field(x.names.Deadline, strconv.FormatInt(max(call.Remaining.Milliseconds(), 1), 10))
	}
	if !call.Control {
		field(x.names.Instance, call.Endpoint.ID)
	}
	if call.Account != "" {
		field(x.names.Account, call.Account)
	}
	if call.HasPriority {
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

// read reads answers until the one to this request arrives. Answers to other requests are
// skipped; an answer without a request ID is an error unless this is a control call.
func (x *exchange) read() (*http.Response, error) {
	request := &http.Request{Method: x.call.Method}
	x.conn.expectAnswer()
	for range maxStray {
		resp, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, x.headError(err)
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
		// A late answer to an earlier request arrived before ours.
		x.stray = true
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes)); err != nil {
			return nil, err
		}
		x.conn.expectAnswer()
	}
	return nil, errStrays
}

// headError returns the error of a head that could not be read. It logs one that is too long or malformed.
func (x *exchange) headError(err error) error {
	err = cmp.Or(x.conn.answers.Err(), err)
	if x.conn.answers.Complete() {
		// All lines are sound, so the parser has refused how they frame the body.
		err = &httphead.MalformedError{Part: httphead.PartFraming}
	}
	line := x.client.cfg.Log.WithFields(log.Fields{log.FieldRequest: x.call.RequestID, log.FieldEngine: x.call.Endpoint.ID})
	var malformed *httphead.MalformedError
	switch {
	case errors.Is(err, httphead.ErrTooLong):
		line.WithField("bytes", adapter.MaxAnswerHead).Warn("answer_head_too_long")
	case errors.As(err, &malformed):
		line.WithField("part", malformed.Part).Warn("answer_malformed")
	}
	return adapter.Shorten(err)
}

var (
	errNoID   = errors.New("answer without a request ID")
	errStrays = errors.New("too many answers to other requests")
)

// answer converts a response. Its body returns the connection to the pool at the end if the
// connection is reusable.
func (x *exchange) answer(resp *http.Response) *relay.Answer {
	a := &relay.Answer{
		Status:       resp.StatusCode,
		Length:       resp.ContentLength,
		Via:          x.conn.via,
		Signed:       resp.Header.Get(x.names.Signature) != "",
		NotRun:       resp.Header.Get(x.names.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest,
		AddressTaken: resp.StatusCode == http.StatusMisdirectedRequest,
		Notice:       x.names.ParseNotice(resp.StatusCode, resp.Header.Get),
		Encoded:      resp.Header.Get("Content-Encoding") != "",
	}
	x.conn.idleFor = keepAlive(resp.Header)
	reusable := !resp.Close && !x.stray
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		a.Unframed, reusable = true, false
	}
	strip(resp.Header)
	for name, values := range resp.Header {
		for _, v := range values {
			a.Header = append(a.Header, relay.HeaderField{Name: name, Value: v})
		}
	}
	a.Body = &body{x: x, source: resp.Body, reusable: reusable, unframed: a.Unframed}
	return a
}

// hopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1), and Content-Length, since
// the answer to the caller is framed anew.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// strip removes the hop-by-hop headers and those listed in Connection.
func strip(h http.Header) {
	for _, named := range strings.Split(h.Get("Connection"), ",") {
		h.Del(strings.TrimSpace(named))
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// body is the body of an answer.
type body struct {
	x      *exchange
	source io.Reader
	// reusable is true if the connection may serve another request after the body.
	reusable bool
	// unframed is true if the body ends with the connection.
	unframed bool
	ended    bool
}

// Read reads from the body. At its end the connection goes back to the pool if it can be
// reused, and is closed otherwise.
func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.source.Read(p)
	if err == nil {
		return n, nil
	}
	b.ended = true
	if b.unframed {
		b.logEnd(err)
	}
	b.x.endWatch()
	if !errors.Is(err, io.EOF) {
		b.x.stop()
		b.x.conn.retire()
		// The time of the error tells whether the caller's reading was the cause, so it is not delayed.
		return n, b.x.explain(err, 0)
	}
	b.finish()
	return n, io.EOF
}

// SetReadDeadline bounds the reads from the body.
func (b *body) SetReadDeadline(at time.Time) error { return b.x.conn.raw.SetReadDeadline(at) }

// logEnd logs how an answer without a length ended, and how far the request was written by then.
func (b *body) logEnd(err error) {
	fields := log.Fields{
		log.FieldRequest: b.x.call.RequestID, log.FieldEngine: b.x.call.Endpoint.ID,
		"whole": errors.Is(err, io.EOF), "end": err.Error(), "write": "under_way",
	}
	select {
	case <-b.x.written:
		fields["write"] = "done"
		if b.x.writeErr != nil {
			fields["write"] = b.x.writeErr.Error()
		}
	default:
	}
	b.x.client.cfg.Log.WithFields(fields).Info("unframed_answer_ended")
}

// finish returns the connection to the pool or closes it.
func (b *body) finish() {
	x := b.x
	if !x.stop() {
		// The context has ended; the connection is closed already.
		return
	}
	select {
	case <-x.written:
	default:
		// The endpoint answered before it had read the whole request. It still expects
		// the rest, so nothing else may be sent on this connection.
		x.conn.retire()
		<-x.written
		return
	}
	if !b.reusable || x.conn.via != "" || x.writeErr != nil || x.conn.reader.Buffered() > 0 {
		x.conn.retire()
		return
	}
	x.client.put(x.conn)
}

// Close discards the rest of the answer and closes the connection, unless the body was read
// to its end.
func (b *body) Close() error {
	if b.ended {
		return nil
	}
	b.ended = true
	b.x.stop()
	b.x.endWatch()
	b.x.conn.retire()
	return nil
}
