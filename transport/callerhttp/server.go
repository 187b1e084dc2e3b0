// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package callerhttp is the side of a box that callers see: the completions
// API, plain services by route, and health.
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
	// Held bounds the bytes that are held for callers; nil is no bound.
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
	// in that time.
	writeTimeout = 5 * time.Second
	writePiece   = 8 << 10
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
	go func() { ended <- s.http.Serve(patientListener{l}) }()
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
