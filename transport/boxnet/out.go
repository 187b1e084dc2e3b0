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

// out is a connection that this box opened. The other side says nothing on it,
// so a read that returns means that it has ended; what was written after the
// other process had ended would be lost without an error.
type out struct {
	net.Conn
	// ended says that the connection has ended, closed that this box ended it.
	ended, closed atomic.Bool
}

// watch notes the connection's end.
func (o *out) watch() {
	var one [1]byte
	_, _ = o.Read(one[:])
	o.ended.Store(true)
}

func closeOut(o *out) {
	if o != nil {
		o.closed.Store(true)
		_ = o.Close()
	}
}

func (n *Net) dial(ctx context.Context, l *link) (*out, error) {
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
	o := &out{Conn: c}
	go func() {
		o.watch()
		n.lost.Add(1)
		if !o.closed.Load() {
			// The process there may be followed by one of another build.
			n.forget(l.name)
		}
	}()
	return o, nil
}
