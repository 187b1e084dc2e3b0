// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package callerhttp

import (
	"net"
	"syscall"
	"time"
)

// patientListener bounds how long each of its connections waits for a caller who does not
// read. The HTTP library's own bound is one for a whole answer, which would end long streams.
type patientListener struct{ net.Listener }

// Accept takes the next connection.
func (l patientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return patientConn{c}, nil
}

// patientConn gives a caller writeTimeout for each writePiece bytes.
type patientConn struct{ net.Conn }

// Write writes all, unless the caller stops reading.
func (c patientConn) Write(p []byte) (int, error) {
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

// SyscallConn is the connection itself, for the watch over its end.
func (c patientConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return raw.SyscallConn()
}
