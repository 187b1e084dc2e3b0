// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package relayhttp is the side of a box that callers of routed services see.
// Requests are read whole and framed anew towards endpoints, so that no byte
// of a caller's framing passes on. Answers are handed on as they come.
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

// Relay answers requests.
type Relay interface {
	Serve(ctx context.Context, q relay.Request, c relay.Caller)
	// Limits bound what callers may send.
	Limits() table.Limits
}

// Config configures a Server.
type Config struct {
	Relay Relay
	Names relayapi.Names
	// MaxConnections bounds the callers' connections; 0 is the default.
	MaxConnections int
	// Held bounds the bytes that are held for callers; nil is no bound.
	Held *held.Budget
	Log  log.Logger
}

const (
	defaultMaxHeader      = 16 << 10
	defaultMaxBody        = 4 << 20
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	defaultMaxConnections = 3000
	// bodyTimeout bounds the reading of one body, and bodyPause how long nothing of it
	// may come.
	bodyTimeout = 30 * time.Second
	bodyPause   = 10 * time.Second
	// writeTimeout ends the connection of a caller who does not read.
	writeTimeout = 5 * time.Second
	// deliverTimeout bounds how long a caller may take to read what is left of an
	// answer that its endpoint has ended.
	deliverTimeout = 60 * time.Second
	// idleGrace is how much longer than announced a connection may rest, so
	// that a caller's next request does not cross its close.
	idleGrace = 2 * time.Second
	// closePatience is how long a closing connection is read on, so that its
	// answer is not lost to a reset.
	closePatience = 500 * time.Millisecond
	acceptPause   = 10 * time.Millisecond
	// sendBuffer bounds what the machine takes in of an answer that its caller does not
	// read, in bytes: it would take megabytes for each, past the box's own bound.
	sendBuffer = 32 << 10
)

// Server answers callers.
type Server struct {
	cfg      Config
	stopping atomic.Bool
	mutex    sync.Mutex
	// resting are the connections that wait for a request.
	resting map[*conn]struct{}
	closing bool
	open    int
	wait    sync.WaitGroup
	// delivering counts the answers of which their callers have not read all yet.
	delivering atomic.Int64
}

// New makes a server.
func New(cfg Config) *Server {
	if cfg.MaxConnections <= 0 {
		cfg.MaxConnections = defaultMaxConnections
	}
	return &Server{cfg: cfg, resting: make(map[*conn]struct{})}
}

// Serve answers until the listener is closed.
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
			defer s.leave()
			newConn(s, raw).serve(ctx)
		}()
	}
}

// admit says whether there is room for a new connection. Where there are too many, the one
// that has rested longest makes room.
func (s *Server) admit() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.open >= s.cfg.MaxConnections && !s.endResting() {
		return false
	}
	s.open++
	return true
}

// endResting ends the connection that has rested longest; false is that none rests. The mutex
// is held.
func (s *Server) endResting() bool {
	var longest *conn
	for c := range s.resting {
		if longest == nil || c.rested.Before(longest.rested) {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	delete(s.resting, longest)
	_ = longest.raw.SetReadDeadline(time.Unix(1, 0))
	return true
}

func (s *Server) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.open--
}

// Delivering is the number of requests that are served, but for the rest of the answer that
// the caller has not read yet.
func (s *Server) Delivering() int { return int(s.delivering.Load()) }

// Leave makes every further answer the last of its connection.
func (s *Server) Leave() { s.stopping.Store(true) }

// CloseResting ends the connections on which no request is under way, from
// now on.
func (s *Server) CloseResting() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closing = true
	for c := range s.resting {
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// Wait returns when all connections have ended, or the context has.
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

// bounds are the limits in force with their defaults.
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
	// rested is since when it waits for a request.
	rested time.Time
	// source is what reader reads from.
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

// serve answers one request after the other.
func (c *conn) serve(ctx context.Context) {
	defer func() { _ = c.raw.Close() }()
	for {
		if !c.rest() {
			return
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

// rest waits for the first byte of a request.
func (c *conn) rest() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	c.s.mutex.Lock()
	if c.s.closing {
		c.s.mutex.Unlock()
		return false
	}
	c.rested = time.Now()
	c.s.resting[c] = struct{}{}
	_ = c.raw.SetReadDeadline(time.Now().Add(c.s.bounds().idleIn + idleGrace))
	c.s.mutex.Unlock()
	_, err := c.reader.Peek(1)
	c.s.mutex.Lock()
	delete(c.s.resting, c)
	c.s.mutex.Unlock()
	return err == nil
}

// answer has the request served and says whether the connection goes on.
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
		w.Break()
	}
	c.deliver(q.ID)
	alive := watch.stop()
	if w.broken {
		c.cut(q.old)
		return false
	}
	if !alive {
		return false
	}
	if w.last {
		c.closeGently()
		return false
	}
	return true
}

// deliver waits until the caller has read the rest of its answer. The endpoint has ended it,
// so that nothing but the box waits for the caller.
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

// cut ends the connection so that a broken answer cannot be taken for a whole one.
func (c *conn) cut(unframed bool) {
	if t, ok := c.raw.(*net.TCPConn); ok && unframed {
		// Without framing only a reset tells a broken answer from a whole one.
		_ = t.SetLinger(0)
	}
	_ = c.raw.Close()
}

// closeGently ends the sending side and reads what still comes, since a close
// with unread bytes resets the connection and may take the answer with it.
func (c *conn) closeGently() {
	if t, ok := c.raw.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(closePatience))
	buffer := make([]byte, bufferSize)
	for {
		if _, err := c.raw.Read(buffer); err != nil {
			return
		}
	}
}

// goneWatch notices that the caller's connection has ended while its request
// is served.
type goneWatch struct {
	c     *conn
	ended chan struct{}
	gone  bool
}

// watch calls gone when the connection ends. A next request that comes early
// stays in the reader.
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

// stop ends the watch and says whether the connection lives.
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
