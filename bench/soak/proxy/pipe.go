// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// direction is one of the two directions of a connection.
type direction int

const (
	forward direction = iota
	backward
	directions
)

// linkState is the combined effect of distance and faults on a connection.
type linkState struct {
	delay   time.Duration
	lines   [directions]*Line
	cut     [directions]bool
	refused bool
}

// connection is one proxied connection: the one accepted and the one to the target.
type connection struct {
	link   Link
	number uint64
	state  atomic.Pointer[linkState]
	// changed is closed and replaced when the state changes; done is closed on reset.
	mutex   sync.Mutex
	changed chan struct{}
	done    chan struct{}
	// closed is true after reset. conns are the two TCP connections, once they are open.
	closed bool
	conns  []*net.TCPConn
}

func newConnection(l Link, number uint64) *connection {
	p := &connection{link: l, number: number, changed: make(chan struct{}), done: make(chan struct{})}
	p.state.Store(&linkState{})
	return p
}

func (p *connection) current() linkState { return *p.state.Load() }

func (p *connection) set(s linkState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.state.Store(&s)
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset aborts both TCP connections. They are closed when it returns, since no byte that is
// sent after a fault began may be forwarded.
func (p *connection) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	close(p.done)
	for _, c := range p.conns {
		abort(c)
	}
}

// attach registers the TCP connections that a reset aborts, and aborts them at once if the
// reset has happened already.
func (p *connection) attach(conns ...*net.TCPConn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.conns = conns
	if !p.closed {
		return
	}
	for _, c := range conns {
		abort(c)
	}
}

// run forwards bytes until both directions have ended or the connection is reset.
func (p *connection) run(near, far *net.TCPConn) {
	p.attach(near, far)
	var both sync.WaitGroup
	both.Go(func() { p.relay(forward, near, far) })
	both.Go(func() { p.relay(backward, far, near) })
	both.Wait()
	// After a reset they are closed already.
	_ = near.Close()
	_ = far.Close()
}

const (
	// chunkSize bounds one read in bytes, and maxQueuedChunks the chunks in flight per direction.
	chunkSize       = 16 << 10
	maxQueuedChunks = 64
)

// chunk holds the bytes of one read. A chunk without bytes marks the end of a direction.
type chunk struct {
	data   []byte
	readAt time.Time
}

// relay reads from one end and writes to the other, delayed as the link's state demands.
func (p *connection) relay(d direction, from, to *net.TCPConn) {
	chunks := make(chan chunk, maxQueuedChunks)
	go p.read(from, chunks)
	for next := range chunks {
		if !p.await(d, next) {
			return
		}
		if len(next.data) == 0 {
			_ = to.CloseWrite()
			return
		}
		if _, err := to.Write(next.data); err != nil {
			p.reset()
			return
		}
	}
}

// read queues what it reads as chunks. A read error, such as a reset by one end, resets the
// other end too.
func (p *connection) read(from *net.TCPConn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkSize)
		n, err := from.Read(buffer)
		if n > 0 && !p.enqueue(chunks, chunk{buffer[:n], time.Now()}) {
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			p.enqueue(chunks, chunk{readAt: time.Now()})
			return
		case err != nil:
			p.reset()
			return
		}
	}
}

func (p *connection) enqueue(chunks chan<- chunk, next chunk) bool {
	select {
	case chunks <- next:
		return true
	case <-p.done:
		return false
	}
}

// await waits until a chunk may be forwarded. It returns false if the connection is reset first.
func (p *connection) await(d direction, next chunk) bool {
	charged := false
	for {
		p.mutex.Lock()
		s, changed := *p.state.Load(), p.changed
		p.mutex.Unlock()
		if s.cut[d] {
			select {
			case <-changed:
				continue
			case <-p.done:
				return false
			}
		}
		wait := s.delay - time.Since(next.readAt)
		if s.lines[d] != nil && !charged {
			charged = true
			wait = max(wait, s.lines[d].reserve(len(next.data)))
		}
		if wait <= 0 {
			return true
		}
		select {
		case <-time.After(wait):
		case <-p.done:
			return false
		}
	}
}

// Line is one direction of a line of limited bandwidth that several links share.
type Line struct {
	rate   float64
	mutex  sync.Mutex
	freeAt time.Time
}

// NewLine returns a line with a rate in bytes per second.
func NewLine(rate float64) *Line { return &Line{rate: rate} }

// reserve queues bytes behind those reserved before and returns how long until the line has
// sent them.
func (l *Line) reserve(size int) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(size) / l.rate * float64(time.Second)))
	return l.freeAt.Sub(now)
}
