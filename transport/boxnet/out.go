// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxnet

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"runridge.example/runridge/protocol/boxwire"
)

// outConn is a connection that this box opened. The peer sends nothing on it, so a read returns
// only when the connection has ended. This has to be watched, since the first write after the
// peer's process has ended would be lost without an error.
type outConn struct {
	net.Conn
	// ended is true once the connection has ended, closed if this box closed it.
	ended, closed atomic.Bool
}

// watch waits for the end of the connection and records it.
func (o *outConn) watch() {
	var one [1]byte
	_, _ = o.Read(one[:])
	o.ended.Store(true)
}

func closeOut(o *outConn) {
	if o != nil {
		o.closed.Store(true)
		_ = o.Close()
	}
}

// dial opens a connection to the link's box and sends the hello.
func (n *Net) dial(ctx context.Context, l *link) (*outConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, err
	}
	hello, err := n.hello(l.name)
	if err != nil {
		closeConn(c)
		return nil, err
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(hello); err != nil {
		closeConn(c)
		return nil, err
	}
	n.sent.Add(uint64(len(hello)))
	n.flows.add(boxwire.KindHello, n.distanceTo(l.name), len(hello))
	o := &outConn{Conn: c}
	go func() {
		o.watch()
		n.lost.Add(1)
		if !o.closed.Load() {
			// The next process at that address may run another build.
			n.forget(l.name)
		}
	}()
	return o, nil
}
