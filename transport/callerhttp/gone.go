// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package callerhttp

import (
	"crypto/tls"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// goneWatch detects that a caller's connection has ended while its request is served, which the
// HTTP library doesn't report. The library reads the connection only between requests, so the
// watch may use it until then. It only peeks and consumes no byte. A caller that shuts down its
// sending side counts as gone.
type goneWatch struct {
	conn net.Conn
	// stopped is closed when the watch has ended.
	stopped chan struct{}
}

// watchGone starts a watch that calls gone, once, if the connection ends before stop is called.
// It does nothing for connections other than TCP.
func watchGone(conn net.Conn, gone func()) *goneWatch {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	w := &goneWatch{conn: conn, stopped: make(chan struct{})}
	raw, ok := conn.(syscall.Conn)
	if !ok {
		close(w.stopped)
		return w
	}
	control, err := raw.SyscallConn()
	if err != nil {
		close(w.stopped)
		return w
	}
	go w.run(control, gone)
	return w
}

func (w *goneWatch) run(control syscall.RawConn, gone func()) {
	defer close(w.stopped)
	ended := false
	// As long as the function returns false, it is called again each time the connection
	// becomes readable.
	_ = control.Read(func(fd uintptr) bool {
		ended = peerEnded(int(fd))
		return ended
	})
	// Otherwise the deadline that stop sets has ended the wait.
	if ended {
		gone()
	}
}

// stop ends the watch and clears the read deadline.
func (w *goneWatch) stop() {
	select {
	case <-w.stopped:
	default:
		_ = w.conn.SetReadDeadline(time.Unix(1, 0))
		<-w.stopped
	}
	_ = w.conn.SetReadDeadline(time.Time{})
}

// peerEnded reports whether the peer has closed or reset the connection. Unread bytes of a next
// request may precede the close and hide it from the peek, so the TCP state is checked as well.
func peerEnded(fd int) bool {
	var one [1]byte
	n, _, err := unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return false
	case err != nil || n == 0:
		return true
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return true
	}
	return info.State != tcpEstablished
}

// tcpEstablished is TCP_ESTABLISHED of the Linux kernel.
const tcpEstablished = 1
