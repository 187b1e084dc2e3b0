// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package callerhttp

import (
	"net"
	"syscall"
	"time"
)

// writeTimeoutListener limits how long its connections wait for a caller who does not read. The
// HTTP library's write timeout covers a whole answer, which would end long streams.
type writeTimeoutListener struct{ net.Listener }

// Accept returns the next connection.
func (l writeTimeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return writeTimeoutConn{c}, nil
}

// writeTimeoutConn allows a caller writeTimeout for each writePiece bytes.
type writeTimeoutConn struct{ net.Conn }

// Write writes all of p. It fails with a timeout if the caller stops reading.
func (c writeTimeoutConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := c.Conn.Write(p[written:min(len(p), written+writePiece)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// SyscallConn returns the underlying connection, which goneWatch needs.
func (c writeTimeoutConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return raw.SyscallConn()
}
