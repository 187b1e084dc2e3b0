// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package callerhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/dispatch"
	"runridge.example/runridge/coordination/held"
	"runridge.example/runridge/protocol/callerapi"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/table"
	"runridge.example/runridge/transport/plainhttp"
)

// Plain sends calls to endpoints of plain services.
type Plain interface {
	Do(ctx context.Context, e table.Endpoint, call plainhttp.Call) (*http.Response, error)
}

// maxKept is the largest body that is buffered so that a call can be retried, in bytes. Larger
// ones are streamed and sent once.
const maxKept = 64 << 10

// idempotent lists the methods that may be repeated unless the caller forbids it (RFC 9110,
// section 9.2.2).
var idempotent = []string{
	fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions,
	fasthttp.MethodPut, fasthttp.MethodDelete, fasthttp.MethodTrace,
}

// route returns the plain service of a path: the one with the longest matching route. It
// returns false if there is none.
func (s *Server) route(path string) (table.Service, bool) {
	var found table.Service
	for _, service := range s.cfg.Tables.Table().Services {
		under := path == service.Route || strings.HasPrefix(path, service.Route+"/")
		if service.Kind == table.KindPlain && under && len(service.Route) > len(found.Route) {
			found = service
		}
	}
	return found, found.Name != ""
}

// plainCall is a call to a plain service. The dispatcher's driver calls forward to exchange it
// with an endpoint; the handler forwards the answer to the caller.
type plainCall struct {
	s    *Server
	call plainhttp.Call
	// kept is the body if it is small enough to be sent again, otherwise nil.
	kept []byte
	// hold accounts for the body in the box's budget of held bytes.
	hold *held.Hold
	// begun is true once a streamed body has been used for an attempt.
	begun atomic.Bool
	// answers passes the endpoint's answer from forward to the handler, and copied the
	// result of copying it to the caller back.
	answers chan *http.Response
	copied  chan error
}

// plain serves a call to a plain service.
func (s *Server) plain(ctx *fasthttp.RequestCtx, service table.Service) {
	hold := s.hold(ctx)
	p, r, err := s.newPlainCall(ctx, service, hold)
	if err != nil {
		hold.Close()
		s.active.Add(-1)
		s.refuseUnread(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	if status, err := s.authenticate(ctx, r.Account); err != nil {
		hold.Close()
		s.active.Add(-1)
		s.refuseField(ctx, status, err)
		return
	}
	call := s.cfg.Dispatcher.Submit(context.Background(), r)
	finish := func() {
		hold.Close()
		s.active.Add(-1)
	}
	if p.kept != nil {
		// A watch is only possible without a streamed body, since the library reads
		// that from the connection.
		watch := watchGone(ctx.Conn(), call.CallerGone)
		finish = func() {
			watch.stop()
			hold.Close()
			s.active.Add(-1)
		}
	}
	ctx.Response.Header.Set(callerapi.HeaderRequest, call.ID.String())
	select {
	case resp := <-p.answers:
		p.answer(ctx, resp, func() {
			<-call.Done()
			finish()
		})
	case <-call.Done():
		defer finish()
		a, _ := call.Answer(context.Background())
		status, body := refusalFor(call.ID, a)
		s.refuse(ctx, status, body)
	}
}

// newPlainCall parses a call and returns it with the dispatcher's request for it.
func (s *Server) newPlainCall(ctx *fasthttp.RequestCtx, service table.Service, hold *held.Hold) (*plainCall, dispatch.Request, error) {
	p := &plainCall{s: s, hold: hold, answers: make(chan *http.Response), copied: make(chan error, 1)}
	r := dispatch.Request{
		Service: service.Name,
		Account: string(ctx.Request.Header.Peek(callerapi.HeaderAccount)),
		Zone:    s.cfg.Zone,
		Forward: p.forward,
	}
	if err := s.parseHeaders(ctx, &r); err != nil {
		return p, r, err
	}
	method := string(ctx.Method())
	if len(ctx.Request.Header.Peek(callerapi.HeaderOnce)) == 0 {
		r.Once = !slices.Contains(idempotent, method)
	}
	p.call = plainhttp.Call{
		Method: method,
		Target: string(ctx.RequestURI()),
		Header: make(http.Header),
		Length: int64(ctx.Request.Header.ContentLength()),
	}
	for k, v := range ctx.Request.Header.All() {
		p.call.Header.Add(string(k), string(v))
	}
	p.call.Header.Del("Authorization")
	p.call.Header.Del("Content-Length")
	plainhttp.Strip(p.call.Header)
	if err := p.bufferBody(ctx, &r); err != nil {
		return p, r, err
	}
	p.call.Once = r.Once
	if p.kept != nil {
		// A streamed body can't be fingerprinted before it is sent.
		r.PoisonIdentity = poisonRequest(ctx, r.Account, p.kept)
	}
	return p, r, nil
}

// bufferBody buffers a small body and sets up a large one to be streamed.
func (p *plainCall) bufferBody(ctx *fasthttp.RequestCtx, r *dispatch.Request) error {
	stream := ctx.RequestBodyStream()
	head, err := readBody(ctx, p.hold, maxKept)
	if err == nil {
		p.kept = head
		p.call.Length = int64(len(p.kept))
		return nil
	}
	if !errors.Is(err, held.ErrTooLong) {
		return err
	}
	p.hold.Complete()
	p.call.Body = io.MultiReader(bytes.NewReader(head), stream)
	p.call.Length = max(p.call.Length, -1)
	// A streamed body can't be sent again.
	r.Once = true
	return nil
}

// errCallerSlow is returned when an answer could not be written to the caller.
var errCallerSlow = errors.New("answer could not be written to the caller")

// forward sends the call to an endpoint and waits until its answer is copied to the caller. The
// dispatcher's driver calls it for each attempt.
func (p *plainCall) forward(ctx context.Context, attempt lifecycle.AttemptID, e table.Endpoint) error {
	call := p.call
	call.Attempt = attempt
	if p.kept != nil {
		call.Body = bytes.NewReader(p.kept)
	} else if p.begun.Swap(true) {
		return adapter.ErrNotRun.New("the body was streamed and can't be sent again")
	}
	resp, err := p.s.cfg.Plain.Do(ctx, e, call)
	if err != nil {
		return err
	}
	select {
	case p.answers <- resp:
	case <-ctx.Done():
		_ = resp.Body.Close()
		return adapter.ErrDidRun.Wrap(ctx.Err(), "answer arrived too late")
	}
	if err := <-p.copied; err != nil {
		return adapter.ErrFinal.Wrap(err, "answer was cut short")
	}
	return nil
}

// answer streams an endpoint's answer to the caller and calls finish at its end.
func (p *plainCall) answer(ctx *fasthttp.RequestCtx, resp *http.Response, finish func()) {
	ctx.SetStatusCode(resp.StatusCode)
	for name, values := range resp.Header {
		if name == "Content-Length" {
			continue
		}
		for _, v := range values {
			ctx.Response.Header.Add(name, v)
		}
	}
	ctx.SetBodyStream(&answerBody{body: resp.Body, ended: func(err error) {
		p.copied <- err
		finish()
	}}, -1)
}

// answerBody is the body of an endpoint's answer on its way to the caller. The library flushes what each
// read returns, and ends the caller's connection without the end that its framing requires if a read
// fails.
type answerBody struct {
	body io.ReadCloser
	// err is the error of the last read.
	err error
	// ended is called once, with how the answer ended.
	ended func(error)
}

// Read reads from the endpoint.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.err = err
	return n, err
}

// CloseWithError ends the answer; err is why it was not written to its end, or nil. An answer to a
// request for the headers alone is never read.
func (b *answerBody) CloseWithError(err error) error {
	if err != nil && (b.err == nil || errors.Is(b.err, io.EOF)) {
		err = errCallerSlow
	}
	b.ended(err)
	return b.body.Close()
}

var _ fasthttp.ReadCloserWithError = (*answerBody)(nil)
