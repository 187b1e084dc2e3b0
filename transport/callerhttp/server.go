// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package callerhttp is the side of a box that callers see: the completions
// API, plain services by route, and health.
package callerhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"runridge.example/runridge/coordination/dispatch"
	"runridge.example/runridge/modules/invalid"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/protocol/callerapi"
	"runridge.example/runridge/state/account"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/table"
)

// Dispatcher runs model requests.
type Dispatcher interface {
	Submit(ctx context.Context, r dispatch.Request) *dispatch.Call
}

// Tables gives the table in force.
type Tables interface {
	Table() table.Table
}

// Config configures a Server.
type Config struct {
	Dispatcher Dispatcher
	Plain      Plain
	Tables     Tables
	// Ready says whether the box takes requests.
	Ready func() bool
	Zone  string
	// MaxBody bounds a completions body, in bytes.
	MaxBody int
	// MaxHeaders bounds a request's headers, in bytes.
	MaxHeaders int
	// MaxConcurrent bounds the requests served at once.
	MaxConcurrent int
	// BytesPerToken estimates a prompt's tokens.
	BytesPerToken float64
	Log           log.Logger
}

const (
	defaultMaxBody       = 1 << 20
	defaultMaxHeaders    = 16 << 10
	defaultMaxConcurrent = 4096
	defaultBytesPerToken = 4
	idleTimeout          = 2 * time.Minute
	readTimeout          = 30 * time.Second
	writeTimeout         = 0
)

// Server answers callers.
type Server struct {
	cfg    Config
	http   *fasthttp.Server
	active atomic.Int64
}

// New makes a server; Serve starts it.
func New(cfg Config) *Server {
	if cfg.MaxBody <= 0 {
		cfg.MaxBody = defaultMaxBody
	}
	if cfg.MaxHeaders <= 0 {
		cfg.MaxHeaders = defaultMaxHeaders
	}
	if cfg.MaxConcurrent <= 0 {
		cfg.MaxConcurrent = defaultMaxConcurrent
	}
	if cfg.BytesPerToken <= 0 {
		cfg.BytesPerToken = defaultBytesPerToken
	}
	s := &Server{cfg: cfg}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "runridge",
		ReadBufferSize:        cfg.MaxHeaders,
		MaxRequestBodySize:    cfg.MaxBody,
		StreamRequestBody:     true,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		ErrorHandler:          s.badRequest,
		Logger:                quiet{},
	}
	return s
}

// quiet drops the library's own log lines; events are logged here.
type quiet struct{}

// Printf drops a line.
func (quiet) Printf(string, ...any) {}

// Serve answers until the context ends; requests in flight are finished first.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ended := make(chan error, 1)
	go func() { ended <- s.http.Serve(l) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		return s.http.ShutdownWithContext(context.WithoutCancel(ctx))
	}
}

// Active is the number of requests being served.
func (s *Server) Active() int {
	return int(s.active.Load())
}

// badRequest answers what the library could not read.
func (s *Server) badRequest(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		s.refuseField(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, invalid.FieldError{
			Field: "headers", Value: "too large", Allowed: fmt.Sprintf("at most %d bytes", s.cfg.MaxHeaders),
		})
		return
	}
	s.refuseField(ctx, fasthttp.StatusBadRequest, invalid.FieldError{
		Field: "request", Value: "unreadable", Allowed: "HTTP/1.1: " + err.Error(),
	})
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case callerapi.PathHealth:
		ctx.SetBodyString("ok\n")
		return
	case callerapi.PathReady:
		s.ready(ctx)
		return
	}
	if s.cfg.Tables.Table().Generation == 0 {
		// A box that has just started knows no service yet.
		s.refuse(ctx, fasthttp.StatusServiceUnavailable, callerapi.RefusalBody{
			Outcome:      callerapi.OutcomeNotRun,
			Reason:       "box_not_ready",
			Message:      "the box has no table yet",
			RetryAfterMS: notReadyRetryMS,
		})
		return
	}
	if int(s.active.Add(1)) > s.cfg.MaxConcurrent {
		s.active.Add(-1)
		s.refuse(ctx, fasthttp.StatusTooManyRequests, callerapi.RefusalBody{
			Outcome:      callerapi.OutcomeNotRun,
			Reason:       "box_concurrency",
			Message:      fmt.Sprintf("requests at once, allowed: at most %d on a box", s.cfg.MaxConcurrent),
			RetryAfterMS: minRetryMS,
		})
		return
	}
	// A streamed answer is written after this function has returned, so the
	// count is given back by whoever finishes the answer.
	switch path {
	case callerapi.PathChat:
		s.complete(ctx, true)
	case callerapi.PathCompletions:
		s.complete(ctx, false)
	default:
		if service, ok := s.route(path); ok {
			s.plain(ctx, service)
			return
		}
		s.active.Add(-1)
		s.refuseField(ctx, fasthttp.StatusNotFound, invalid.FieldError{
			Field: "path", Value: path, Allowed: s.paths(),
		})
	}
}

// notReadyRetryMS is when to come again to a box that has no table yet.
const notReadyRetryMS = 1000

// minRetryMS is the least that a refused caller is told to wait.
const minRetryMS = 100

// paths lists what can be asked for.
func (s *Server) paths() string {
	paths := []string{callerapi.PathChat, callerapi.PathCompletions}
	for _, service := range s.cfg.Tables.Table().Services {
		if service.Route != "" {
			paths = append(paths, service.Route)
		}
	}
	return strings.Join(paths, ", ")
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if s.cfg.Ready != nil && !s.cfg.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// readBody reads a whole body within the bound.
func (s *Server) readBody(ctx *fasthttp.RequestCtx) ([]byte, error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return ctx.PostBody(), nil
	}
	data, err := io.ReadAll(io.LimitReader(stream, int64(s.cfg.MaxBody)+1))
	if err != nil {
		return nil, invalid.FieldError{Field: "body", Value: "cut short", Allowed: "a whole body: " + err.Error()}
	}
	if len(data) > s.cfg.MaxBody {
		return nil, errBodyTooLarge
	}
	return data, nil
}

var errBodyTooLarge = errors.New("body too large")

// request reads and checks a completions request.
func (s *Server) request(ctx *fasthttp.RequestCtx, chat bool) (callerapi.Body, dispatch.Request, int, error) {
	if !ctx.IsPost() {
		return callerapi.Body{}, dispatch.Request{}, fasthttp.StatusMethodNotAllowed, invalid.FieldError{
			Field: "method", Value: string(ctx.Method()), Allowed: "POST",
		}
	}
	data, err := s.readBody(ctx)
	if errors.Is(err, errBodyTooLarge) {
		return callerapi.Body{}, dispatch.Request{}, fasthttp.StatusRequestEntityTooLarge, invalid.FieldError{
			Field: "body", Value: "too large", Allowed: fmt.Sprintf("at most %d bytes", s.cfg.MaxBody),
		}
	}
	if err != nil {
		return callerapi.Body{}, dispatch.Request{}, fasthttp.StatusBadRequest, err
	}
	body, err := callerapi.ParseBody(data, chat)
	if err != nil {
		return body, dispatch.Request{}, fasthttp.StatusBadRequest, err
	}
	service, ok := s.cfg.Tables.Table().Service(body.Model)
	if !ok || service.Kind != table.KindModel {
		return body, dispatch.Request{}, fasthttp.StatusNotFound, invalid.FieldError{
			Field: "model", Value: body.Model, Allowed: s.models(),
		}
	}
	r, err := s.fill(ctx, body, service)
	if err != nil {
		return body, r, fasthttp.StatusBadRequest, err
	}
	if status, err := s.account(ctx, r.Account); err != nil {
		return body, r, status, err
	}
	return body, r, 0, nil
}

func (s *Server) models() string {
	var names []string
	for _, service := range s.cfg.Tables.Table().Services {
		if service.Kind == table.KindModel {
			names = append(names, service.Name)
		}
	}
	return strings.Join(names, ", ")
}

// fill checks bounds and headers and makes the dispatcher's request.
func (s *Server) fill(ctx *fasthttp.RequestCtx, body callerapi.Body, service table.Service) (dispatch.Request, error) {
	prompt := body.Text()
	tokens := max(int(float64(len(prompt))/s.cfg.BytesPerToken), 1)
	r := dispatch.Request{
		Service:      service.Name,
		Account:      string(ctx.Request.Header.Peek(callerapi.HeaderAccount)),
		Prompt:       prompt,
		PromptTokens: tokens,
		OutputTokens: service.MaxOutputTokens,
		Zone:         s.cfg.Zone,
	}
	if tokens > service.MaxPromptTokens {
		return r, invalid.FieldError{
			Field: "prompt", Value: fmt.Sprintf("about %d tokens", tokens),
			Allowed: fmt.Sprintf("at most %d tokens", service.MaxPromptTokens),
		}
	}
	if body.MaxTokens > service.MaxOutputTokens {
		return r, invalid.FieldError{
			Field: "max_tokens", Value: strconv.Itoa(body.MaxTokens),
			Allowed: fmt.Sprintf("at most %d", service.MaxOutputTokens),
		}
	}
	if body.MaxTokens > 0 {
		r.OutputTokens = body.MaxTokens
	}
	return r, s.headers(ctx, &r)
}

// headers reads what the request's headers say.
func (s *Server) headers(ctx *fasthttp.RequestCtx, r *dispatch.Request) error {
	priority, err := number(ctx, callerapi.HeaderPriority, -callerapi.MaxPriority, callerapi.MaxPriority)
	if err != nil {
		return err
	}
	deadline, err := number(ctx, callerapi.HeaderDeadline, 0, callerapi.MaxDeadlineMS)
	if err != nil {
		return err
	}
	r.Priority = priority
	r.Deadline = time.Duration(deadline) * time.Millisecond
	once := string(ctx.Request.Header.Peek(callerapi.HeaderOnce))
	if once != "" && once != "true" && once != "false" {
		return invalid.FieldError{Field: callerapi.HeaderOnce, Value: once, Allowed: "true, false"}
	}
	r.Once = once == "true"
	r.Key = string(ctx.Request.Header.Peek(callerapi.HeaderIdempotencyKey))
	if len(r.Key) > callerapi.MaxKeyLength {
		return invalid.FieldError{
			Field: callerapi.HeaderIdempotencyKey, Value: fmt.Sprintf("%d bytes long", len(r.Key)),
			Allowed: fmt.Sprintf("at most %d bytes", callerapi.MaxKeyLength),
		}
	}
	return nil
}

// number reads a header that is a whole number; a header not sent is 0.
func number(ctx *fasthttp.RequestCtx, header string, low, high int) (int, error) {
	text := string(ctx.Request.Header.Peek(header))
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < low || n > high {
		return 0, invalid.FieldError{
			Field: header, Value: text, Allowed: fmt.Sprintf("a whole number from %d to %d", low, high),
		}
	}
	return n, nil
}

// account checks the caller's key if the table has one for the account. A
// table without accounts serves any.
func (s *Server) account(ctx *fasthttp.RequestCtx, name string) (int, error) {
	t := s.cfg.Tables.Table()
	if len(t.Accounts) == 0 {
		return 0, nil
	}
	a, ok := t.Account(name)
	if !ok {
		return fasthttp.StatusUnauthorized, invalid.FieldError{
			Field: callerapi.HeaderAccount, Value: name, Allowed: "an account of the table",
		}
	}
	if len(a.KeysSHA256) == 0 {
		return 0, nil
	}
	key := bytes.TrimPrefix(ctx.Request.Header.Peek("Authorization"), []byte("Bearer "))
	if !account.Holds(a, account.DigestOf(key)) {
		return fasthttp.StatusUnauthorized, invalid.FieldError{
			Field: "Authorization", Value: "a key that does not fit", Allowed: "Bearer and the key of account " + name,
		}
	}
	return 0, nil
}

// refuse writes a typed refusal.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, status int, body callerapi.RefusalBody) {
	data, err := json.Marshal(callerapi.Refusal{Error: body})
	if err != nil {
		panic(err)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	if body.RetryAfterMS > 0 {
		seconds := (body.RetryAfterMS + msPerSecond - 1) / msPerSecond
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
	ctx.SetBody(data)
}

const msPerSecond = 1000

// refuseField answers a request that breaks a rule; nothing ran.
func (s *Server) refuseField(ctx *fasthttp.RequestCtx, status int, err error) {
	s.refuse(ctx, status, callerapi.RefusalBody{
		Outcome: callerapi.OutcomeNotRun,
		Reason:  "bad_request",
		Message: err.Error(),
	})
}

// refusalFor turns the end of a request into what its caller is told.
func refusalFor(id lifecycle.RequestID, a dispatch.Answer) (int, callerapi.RefusalBody) {
	body := callerapi.RefusalBody{Reason: string(a.Reason), Request: id.String()}
	switch a.Phase {
	case lifecycle.RefusedNotRun:
		body.Outcome = callerapi.OutcomeNotRun
		body.Message = "the request was not run"
		body.RetryAfterMS = max(int(a.RetryAfter.Milliseconds()), minRetryMS)
		switch a.Reason {
		case lifecycle.ReasonAccountLimit:
			return fasthttp.StatusTooManyRequests, body
		case lifecycle.ReasonKeyConflict:
			body.RetryAfterMS = 0
			return fasthttp.StatusUnprocessableEntity, body
		}
		return fasthttp.StatusServiceUnavailable, body
	case lifecycle.Unknown:
		body.Outcome = callerapi.OutcomeUnknown
		body.Message = "the request may have run; no answer was received"
		return fasthttp.StatusBadGateway, body
	default:
		body.Outcome = callerapi.OutcomeFailed
		body.Message = "the request ran and did not end well"
		return fasthttp.StatusInternalServerError, body
	}
}
