// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package callerhttp is the HTTP server for callers: the completions API, plain services by
// route, and health checks.
package callerhttp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"runridge.example/runridge/coordination/dispatch"
	"runridge.example/runridge/coordination/held"
	"runridge.example/runridge/modules/invalid"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/protocol/callerapi"
	"runridge.example/runridge/state/table"
)

// Dispatcher runs requests for model and plain services.
type Dispatcher interface {
	Submit(ctx context.Context, r dispatch.Request) *dispatch.Call
}

// Tables returns the table in force.
type Tables interface {
	Table() table.Table
}

// Admission limits requests.
type Admission interface {
	// ClosedFor returns for how long no request is accepted; 0 if one is.
	ClosedFor() time.Duration
	// Accepted counts a request.
	Accepted()
}

// Config configures a Server.
type Config struct {
	Dispatcher Dispatcher
	Plain      Plain
	Tables     Tables
	// Ready reports whether the box accepts requests; nil means always.
	Ready func() bool
	Zone  string
	// MaxBody is the largest completions body, in bytes.
	MaxBody int
	// MaxHeaders is the largest size of a request's headers, in bytes.
	MaxHeaders int
	// MaxConcurrent limits the requests served at once.
	MaxConcurrent int
	// BytesPerToken is used to estimate a prompt's tokens from its length.
	BytesPerToken float64
	// Admission limits requests; nil means not at all.
	Admission Admission
	// Held is the budget of bytes held for callers; nil means unlimited.
	Held *held.Budget
	Log  log.Logger
}

const (
	defaultMaxBody       = 1 << 20
	defaultMaxHeaders    = 16 << 10
	defaultMaxConcurrent = 4096
	defaultBytesPerToken = 4
	idleTimeout          = 2 * time.Minute
	readTimeout          = 30 * time.Second
	// writeTimeout ends the connection of a caller who does not read writePiece bytes
	// within that time.
	writeTimeout = 5 * time.Second
	writePiece   = 8 << 10
)

// Server serves callers' requests.
type Server struct {
	cfg    Config
	http   *fasthttp.Server
	active atomic.Int64
}

// New returns a server with defaults for limits that aren't set; Serve starts it.
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
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		ErrorHandler:          s.badRequest,
		Logger:                discardLogger{},
	}
	return s
}

// discardLogger drops the library's own log lines, since the box logs its own events.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// Serve serves requests until the context ends, then finishes the requests in flight.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ended := make(chan error, 1)
	go func() { ended <- s.http.Serve(writeTimeoutListener{l}) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		return s.http.ShutdownWithContext(context.WithoutCancel(ctx))
	}
}

// Active returns the number of requests being served.
func (s *Server) Active() int {
	return int(s.active.Load())
}

// badRequest refuses a request that the library could not read.
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
		// A box that has just started has read no table and knows no services.
		s.refuse(ctx, fasthttp.StatusServiceUnavailable, callerapi.RefusalBody{
			Outcome:      callerapi.OutcomeNotRun,
			Reason:       "box_not_ready",
			Message:      "the box has no table yet",
			RetryAfterMS: notReadyRetryMS,
		})
		return
	}
	if s.overloaded() {
		// The balancer sends the retry to another box.
		s.refuse(ctx, fasthttp.StatusServiceUnavailable, callerapi.RefusalBody{
			Outcome:      callerapi.OutcomeNotRun,
			Reason:       "box_overloaded",
			Message:      "the box has more requests than it can serve in time",
			RetryAfterMS: minRetryMS,
		})
		ctx.SetConnectionClose()
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
	// A streamed answer is written after this function has returned, so the count of
	// active requests is decremented by whatever finishes the answer.
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

// overloaded reports whether a request is refused because the box has too many, and counts it otherwise.
func (s *Server) overloaded() bool {
	if s.cfg.Admission == nil {
		return false
	}
	if s.cfg.Admission.ClosedFor() > 0 {
		return true
	}
	s.cfg.Admission.Accepted()
	return false
}

// notReadyRetryMS is the retry time of a box that has no table yet.
const notReadyRetryMS = 1000

// minRetryMS is the shortest retry time sent with a refusal.
const minRetryMS = 100

// paths lists the paths that are served, for refusals.
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
