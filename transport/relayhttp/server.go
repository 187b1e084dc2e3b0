// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package relayhttp is the HTTP server for callers of routed services. It reads each request
// whole, and the request is framed anew towards the endpoint, so that no byte of a caller's
// framing is forwarded. Answers are forwarded as they arrive.
package relayhttp

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"runridge.example/runridge/coordination/held"
	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/protocol/relayapi"
	"runridge.example/runridge/state/table"
)

// Relay routes requests to endpoints.
type Relay interface {
	// Serve answers q through c.
	Serve(ctx context.Context, q relay.Request, c relay.Caller)
	// Limits returns the limits on callers' requests and connections.
	Limits() table.Limits
}

// Admission limits requests.
type Admission interface {
	// Accepted counts a request on a kept connection.
	Accepted()
	// Limited reports whether connections are not kept.
	Limited() bool
}

// Config configures a Server.
type Config struct {
	Relay Relay
	Names relayapi.Names
	// MaxConnections limits the open connections of callers; 0 means the default.
	MaxConnections int
	// Admission limits requests; nil means not at all.
	Admission Admission
	// Held is the budget of bytes held for callers; nil means unlimited.
	Held *held.Budget
	Log  log.Logger
}

const (
	defaultMaxHeader      = 16 << 10
	defaultMaxBody        = 4 << 20
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	defaultMaxConnections = 3000
	// bodyTimeout limits the reading of one body, and bodyPause the time without any of
	// its bytes.
	bodyTimeout = 30 * time.Second
	bodyPause   = 10 * time.Second
	// writeTimeout ends the connection of a caller who does not read.
	writeTimeout = 5 * time.Second
	// deliverTimeout limits how long a caller may take to read the rest of an answer
	// that its endpoint has completed.
	deliverTimeout = 60 * time.Second
	// idleGrace is added to the announced idle timeout, so that a caller's next request
	// doesn't cross the close of the connection.
	idleGrace = 2 * time.Second
	// closeTimeout is how long a closing connection is still read, so that its answer
	// isn't lost to a reset.
	closeTimeout = 500 * time.Millisecond
	acceptPause  = 10 * time.Millisecond
	// sendBuffer is the size of the kernel's send buffer of a connection, in bytes. By
	// default the kernel would buffer megabytes for each slow caller, outside the box's
	// own budget.
	sendBuffer = 32 << 10
)

// Server serves the connections of callers.
type Server struct {
	cfg      Config
	stopping atomic.Bool
	mutex    sync.Mutex
	// idle holds the connections that wait for a request.
	idle    map[*conn]struct{}
	closing bool
	open    int
	wait    sync.WaitGroup
	// delivering counts the completed answers that their callers have not fully read yet.
	delivering atomic.Int64
}

// New returns a server for cfg.
func New(cfg Config) *Server {
	if cfg.MaxConnections <= 0 {
		cfg.MaxConnections = defaultMaxConnections
	}
	return &Server{cfg: cfg, idle: make(map[*conn]struct{})}
}

// Serve accepts and serves connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		raw, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			s.cfg.Log.WithError(err).Warn("accept_failed")
			time.Sleep(acceptPause)
			continue
		}
		if !s.admit() {
			_ = raw.Close()
			continue
		}
		if t, ok := raw.(*net.TCPConn); ok {
			_ = t.SetWriteBuffer(sendBuffer)
		}
		s.wait.Add(1)
		go func() {
			defer s.wait.Done()
			defer s.release()
			newConn(s, raw).serve(ctx)
		}()
	}
}

// admit reports whether a new connection is accepted, and counts it. At the limit it evicts
// the connection that has been idle longest.
func (s *Server) admit() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.open >= s.cfg.MaxConnections && !s.evictIdle() {
		return false
	}
	s.open++
	return true
}

// evictIdle ends the connection that has been idle longest. It returns false if none is idle.
// The mutex is held.
func (s *Server) evictIdle() bool {
	var longest *conn
	for c := range s.idle {
		if longest == nil || c.idleSince.Before(longest.idleSince) {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	delete(s.idle, longest)
	_ = longest.raw.SetReadDeadline(time.Unix(1, 0))
	return true
}

// release frees the slot of a closed connection.
func (s *Server) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.open--
}

// Delivering returns the number of requests whose answer is complete but not yet fully read
// by the caller.
func (s *Server) Delivering() int { return int(s.delivering.Load()) }

// keepsAlive reports whether connections are kept after an answer.
func (s *Server) keepsAlive() bool {
	return !s.stopping.Load() && (s.cfg.Admission == nil || !s.cfg.Admission.Limited())
}

// DisableKeepAlives makes every later answer the last on its connection.
func (s *Server) DisableKeepAlives() { s.stopping.Store(true) }

// CloseIdle ends the idle connections, and from now on every connection as soon as it
// becomes idle.
func (s *Server) CloseIdle() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closing = true
	for c := range s.idle {
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// Wait returns when all connections have ended or ctx is done.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// bounds are the limits in force, with defaults where the table sets none. header and body
// are in bytes.
type bounds struct {
	header, body          int
	headerTimeout, idleIn time.Duration
}

func (s *Server) bounds() bounds {
	l := s.cfg.Relay.Limits()
	b := bounds{
		header: l.MaxHeaderBytes, body: l.MaxBodyBytes,
		headerTimeout: time.Duration(l.HeaderTimeoutMS) * time.Millisecond,
		idleIn:        time.Duration(l.IdleTimeoutMS) * time.Millisecond,
	}
	if b.header <= 0 {
		b.header = defaultMaxHeader
	}
	if b.body <= 0 {
		b.body = defaultMaxBody
	}
	if b.headerTimeout <= 0 {
		b.headerTimeout = defaultHeaderTimeout
	}
	if b.idleIn <= 0 {
		b.idleIn = defaultIdleTimeout
	}
	return b
}

// conn is one connection of a caller.
type conn struct {
	s      *Server
	raw    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	out    *outlet
	// idleSince is when the connection began to wait for a request.
	idleSince time.Time
	// source is the underlying reader of reader.
	source *bodySource
}

const bufferSize = 4 << 10

func newConn(s *Server, raw net.Conn) *conn {
	out, source := newOutlet(raw, s.cfg.Held), &bodySource{raw: raw}
	return &conn{
		s:      s,
		raw:    raw,
		reader: bufio.NewReaderSize(source, bufferSize),
		writer: bufio.NewWriterSize(out, bufferSize),
		out:    out,
		source: source,
	}
}

// serve reads and answers requests one after another until the connection ends.
func (c *conn) serve(ctx context.Context) {
	defer func() { _ = c.raw.Close() }()
	for first := true; ; first = false {
		if !c.awaitRequest() {
			return
		}
		if !first && c.s.cfg.Admission != nil {
			c.s.cfg.Admission.Accepted()
		}
		b := c.s.bounds()
		q, err := c.read(b)
		if err != nil {
			c.reject(q.ID, err)
			return
		}
		if !c.answer(ctx, q) {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false if the connection
// ended, was idle too long or is to be closed.
func (c *conn) awaitRequest() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	c.s.mutex.Lock()
	if c.s.closing {
		c.s.mutex.Unlock()
		return false
	}
	c.idleSince = time.Now()
	c.s.idle[c] = struct{}{}
	_ = c.raw.SetReadDeadline(time.Now().Add(c.s.bounds().idleIn + idleGrace))
	c.s.mutex.Unlock()
	_, err := c.reader.Peek(1)
	c.s.mutex.Lock()
	delete(c.s.idle, c)
	c.s.mutex.Unlock()
	return err == nil
}

// answer has the relay serve the request and reports whether the connection can serve another.
func (c *conn) answer(ctx context.Context, q request) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer q.held.Close()
	w := &reply{conn: c, q: q, names: c.s.cfg.Names}
	w.q.Body = nil
	c.out.begin(q.ID)
	watch := c.watch(cancel)
	c.s.cfg.Relay.Serve(ctx, q.Request, w)
	q.held.Close()
	if !w.done {
		w.Abort()
	}
	c.deliver(q.ID)
	alive := watch.stop()
	if w.broken {
		c.cut(q.http10)
		return false
	}
	if !alive {
		return false
	}
	if w.closeAfter {
		c.closeGently()
		return false
	}
	return true
}

// deliver waits until the caller has read the rest of its answer. The endpoint has already
// completed the answer, so only this connection is blocked.
func (c *conn) deliver(id string) {
	unread := c.out.unread()
	if unread == 0 {
		return
	}
	c.s.delivering.Add(1)
	defer c.s.delivering.Add(-1)
	begun := time.Now()
	left, err := c.out.finish(deliverTimeout)
	line := c.s.cfg.Log.WithFields(log.Fields{
		log.FieldRequest: id, "unread": unread, "left": left, "ms": time.Since(begun).Milliseconds(),
	})
	if err != nil {
		line.WithError(err).Info("answer_not_read")
		return
	}
	line.Info("answer_read")
}

// cut closes the connection so that a broken answer can't be taken for a complete one.
func (c *conn) cut(unframed bool) {
	if t, ok := c.raw.(*net.TCPConn); ok && unframed {
		// Without framing only a reset distinguishes a broken answer from a complete one.
		_ = t.SetLinger(0)
	}
	_ = c.raw.Close()
}

// closeGently closes the sending side and discards what still arrives, since closing a
// connection with unread bytes resets it and may lose the answer.
func (c *conn) closeGently() {
	if t, ok := c.raw.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(closeTimeout))
	buffer := make([]byte, bufferSize)
	for {
		if _, err := c.raw.Read(buffer); err != nil {
			return
		}
	}
}

// goneWatch detects that the caller's connection has ended while its request is served.
type goneWatch struct {
	c *conn
	// ended is closed when the watch goroutine has ended.
	ended chan struct{}
	gone  bool
}

// watch calls gone if the connection ends before the watch is stopped. A pipelined request
// stays in the reader, and then nothing is watched.
func (c *conn) watch(gone func()) *goneWatch {
	w := &goneWatch{c: c, ended: make(chan struct{})}
	_ = c.raw.SetReadDeadline(time.Time{})
	if c.reader.Buffered() > 0 {
		close(w.ended)
		return w
	}
	go func() {
		defer close(w.ended)
		_, err := c.reader.Peek(1)
		if err != nil && !isTimeout(err) {
			w.gone = true
			gone()
		}
	}()
	return w
}

// stop ends the watch and reports whether the connection is still open.
func (w *goneWatch) stop() bool {
	_ = w.c.raw.SetReadDeadline(time.Unix(1, 0))
	<-w.ended
	_ = w.c.raw.SetReadDeadline(time.Time{})
	return !w.gone
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
