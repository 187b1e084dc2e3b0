// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package callerhttp

import (
	"bufio"
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

// Plain sends calls to plain services.
type Plain interface {
	Do(ctx context.Context, e table.Endpoint, call plainhttp.Call) (*http.Response, error)
}

// maxKept is the largest body that is kept so that a call can be tried again,
// in bytes. Larger ones are streamed and sent once.
const maxKept = 64 << 10

// idempotent are the methods that may be repeated unless the caller says no
// (RFC 9110, section 9.2.2).
var idempotent = []string{
	fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions,
	fasthttp.MethodPut, fasthttp.MethodDelete, fasthttp.MethodTrace,
}

// route finds the plain service of a path: the one with the longest route.
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

// passage is one plain call being passed on. The dispatcher's driver makes
// the exchange with the endpoint; the handler hands its answer to the caller.
type passage struct {
	s    *Server
	call plainhttp.Call
	// kept is the body when it is small, to send it again, and hold its part of what the
	// box holds.
	kept []byte
	hold *held.Hold
	// begun is true once a streamed body has begun to flow.
	begun   atomic.Bool
	answers chan *http.Response
	copied  chan error
}

// plain passes a call on.
func (s *Server) plain(ctx *fasthttp.RequestCtx, service table.Service) {
	hold := s.hold(ctx)
	p, r, err := s.newPassage(ctx, service, hold)
	if err != nil {
		hold.Close()
		s.active.Add(-1)
		s.refuseUnread(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	if status, err := s.account(ctx, r.Account); err != nil {
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
		// While a body is streamed the library itself reads the connection.
		watch := watchGone(ctx.Conn(), call.Gone)
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

func (s *Server) newPassage(ctx *fasthttp.RequestCtx, service table.Service, hold *held.Hold) (*passage, dispatch.Request, error) {
	p := &passage{s: s, hold: hold, answers: make(chan *http.Response), copied: make(chan error, 1)}
	r := dispatch.Request{
		Service: service.Name,
		Account: string(ctx.Request.Header.Peek(callerapi.HeaderAccount)),
		Zone:    s.cfg.Zone,
		Forward: p.forward,
	}
	if err := s.headers(ctx, &r); err != nil {
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
	if err := p.takeBody(ctx, &r); err != nil {
		return p, r, err
	}
	p.call.Once = r.Once
	if p.kept != nil {
		// What is streamed is not known whole before it is sent.
		r.Asks = asks(ctx, r.Account, p.kept)
	}
	return p, r, nil
}

// takeBody keeps a small body and leaves a large one to be streamed.
func (p *passage) takeBody(ctx *fasthttp.RequestCtx, r *dispatch.Request) error {
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
	// What was streamed cannot be sent again.
	r.Once = true
	return nil
}

// errCallerSlow stands for an answer that could not be handed on.
var errCallerSlow = errors.New("answer could not be handed to the caller")

// forward makes one exchange with an endpoint; the driver calls it.
func (p *passage) forward(ctx context.Context, attempt lifecycle.AttemptID, e table.Endpoint) error {
	call := p.call
	call.Attempt = attempt
	if p.kept != nil {
		call.Body = bytes.NewReader(p.kept)
	} else if p.begun.Swap(true) {
		return adapter.ErrNotRun.New("the body was streamed and is gone")
	}
	resp, err := p.s.cfg.Plain.Do(ctx, e, call)
	if err != nil {
		return err
	}
	select {
	case p.answers <- resp:
	case <-ctx.Done():
		_ = resp.Body.Close()
		return adapter.ErrDidRun.Wrap(ctx.Err(), "answer came too late")
	}
	if err := <-p.copied; err != nil {
		return adapter.ErrFinal.Wrap(err, "answer was cut")
	}
	return nil
}

// answer hands an endpoint's answer to the caller as it comes.
func (p *passage) answer(ctx *fasthttp.RequestCtx, resp *http.Response, finish func()) {
	ctx.SetStatusCode(resp.StatusCode)
	for name, values := range resp.Header {
		if name == "Content-Length" {
			continue
		}
		for _, v := range values {
			ctx.Response.Header.Add(name, v)
		}
	}
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer finish()
		p.copied <- copyFlushed(w, resp.Body)
	})
}

// copyFlushed passes on each piece as it comes.
func copyFlushed(w *bufio.Writer, body io.ReadCloser) error {
	defer func() { _ = body.Close() }()
	buf := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			_, _ = w.Write(buf[:n])
			if w.Flush() != nil {
				return errCallerSlow
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

const copyBuffer = 16 << 10
