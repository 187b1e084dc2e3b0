// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package gate limits the new connections of a listener. While no more are accepted, it does not
// listen: callers are refused before they send anything, and at once.
package gate

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"runridge.example/runridge/modules/log"
)

// Admission limits new connections.
type Admission interface {
	// Accepted counts a new connection.
	Accepted()
	// ClosedFor returns for how long no connection is accepted before it has to be asked again; 0 if
	// one is.
	ClosedFor() time.Duration
}

const (
	// reopenInterval is the time between two attempts to listen again.
	reopenInterval = 5 * time.Millisecond
	// drainTime is how long connections that are up already are accepted before the listener closes:
	// their callers have sent requests.
	drainTime = time.Millisecond
)

// Listener is a net.Listener that does not listen while its Admission accepts no connection.
type Listener struct {
	admission Admission
	log       log.Logger
	address   net.Addr

	mutex sync.Mutex
	// changed announces changes of open and ended.
	changed *sync.Cond
	// open is nil while the listener does not listen, and drains is true before it closes.
	open   net.Listener
	drains bool
	ended  bool
}

// New returns a listener that limits the connections of l, which it owns.
func New(l net.Listener, a Admission, logger log.Logger) *Listener {
	out := &Listener{admission: a, log: logger, address: l.Addr(), open: l}
	out.changed = sync.NewCond(&out.mutex)
	return out
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		open, err := l.listening()
		if err != nil {
			return nil, err
		}
		c, err := open.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			l.suspend()
			continue
		}
		if err != nil {
			return nil, err
		}
		l.admission.Accepted()
		if l.admission.ClosedFor() > 0 {
			l.drain()
		}
		return c, nil
	}
}

// drain lets the listener close soon.
func (l *Listener) drain() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	open, ok := l.open.(interface{ SetDeadline(t time.Time) error })
	if l.drains || !ok {
		return
	}
	l.drains = true
	if err := open.SetDeadline(time.Now().Add(drainTime)); err != nil {
		l.log.WithError(err).Warn("listener_deadline_failed")
	}
}

// listening returns the open listener, after waiting for it if there is none.
func (l *Listener) listening() (net.Listener, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for l.open == nil && !l.ended {
		l.changed.Wait()
	}
	if l.ended {
		return nil, net.ErrClosed
	}
	return l.open, nil
}

// suspend stops listening until connections are accepted again.
func (l *Listener) suspend() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ended || l.open == nil {
		return
	}
	if err := l.open.Close(); err != nil {
		l.log.WithError(err).Warn("listener_close_failed")
	}
	l.open, l.drains = nil, false
	time.AfterFunc(l.admission.ClosedFor(), l.reopen)
}

// reopen listens again, later if no connection is accepted yet or the address cannot be had now.
func (l *Listener) reopen() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ended {
		return
	}
	if closedFor := l.admission.ClosedFor(); closedFor > 0 {
		time.AfterFunc(closedFor, l.reopen)
		return
	}
	open, err := net.Listen(l.address.Network(), l.address.String())
	if err != nil {
		l.log.WithError(err).Warn("listener_reopen_failed")
		time.AfterFunc(reopenInterval, l.reopen)
		return
	}
	l.open = open
	l.changed.Broadcast()
}

// Close ends the listener.
func (l *Listener) Close() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ended {
		return net.ErrClosed
	}
	l.ended = true
	l.changed.Broadcast()
	if l.open == nil {
		return nil
	}
	return l.open.Close()
}

// Addr returns the address, also while the listener does not listen.
func (l *Listener) Addr() net.Addr { return l.address }
