// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package socket

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// ReportResets returns a connection whose reads return io.EOF only if the peer closed its side, and
// otherwise the error that ended the connection.
//
// The kernel reports the error of a connection once, to whichever call comes next. If that is a write,
// a read that follows gets io.EOF, as if the peer had sent everything.
//
// A read that gets io.EOF ends a write that is under way.
func ReportResets(c net.Conn) net.Conn {
	r := &resetConn{Conn: c}
	r.idle.L = &r.mutex
	return r
}

// resetConn is the connection of ReportResets.
type resetConn struct {
	net.Conn
	mutex sync.Mutex
	// idle is signaled when a write ends.
	idle sync.Cond
	// writing is the number of writes under way, and writeErr the error of the first that failed.
	writing  int
	writeErr error
}

// Write writes to the connection.
func (c *resetConn) Write(p []byte) (int, error) {
	c.mutex.Lock()
	c.writing++
	c.mutex.Unlock()
	n, err := c.Conn.Write(p)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writing--
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.idle.Broadcast()
	return n, err
}

// Read reads from the connection.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if broken := c.brokenWrite(); broken != nil {
		return n, broken
	}
	return n, err
}

// brokenWrite returns the error that ended the connection, if a write got it. A write that is under way
// may have got it and not returned yet, so it is ended.
func (c *resetConn) brokenWrite() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.writing > 0 {
		if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
			return err
		}
	}
	for c.writing > 0 {
		c.idle.Wait()
	}
	if endsConnection(c.writeErr) {
		return c.writeErr
	}
	return nil
}

// endsConnection reports whether the error of a write shows that the connection was broken before the
// peer closed its side. EPIPE shows the contrary: the peer had closed it, and then reset the
// connection as more bytes arrived.
func endsConnection(err error) bool {
	var code syscall.Errno
	return errors.As(err, &code) && code != syscall.EPIPE
}
