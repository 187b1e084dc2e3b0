// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxnet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"runridge.example/runridge/modules/socket"
	"runridge.example/runridge/protocol/boxwire"
)

// Endpoints connects this box to endpoints on behalf of other boxes.
type Endpoints interface {
	// Connect opens a connection to an endpoint without the help of other boxes, whose reads get
	// io.EOF only if the endpoint closed its side (socket.ReportResets). The error is
	// ErrTunnelUnavailable for an unknown endpoint, otherwise that of the dial.
	Connect(ctx context.Context, id string) (net.Conn, error)
	// Listens checks whether anything listens at the endpoint's address, as reach.Prober does.
	Listens(ctx context.Context, id string) error
}

// ErrTunnelUnavailable is returned for a tunnel that says nothing about the endpoint, and
// ErrTunnelUnreached if the other box does not reach the endpoint either.
var (
	ErrTunnelUnavailable = errors.New("the box opens no tunnel to the endpoint")
	ErrTunnelUnreached   = errors.New("the box does not reach the endpoint")
)

const (
	// maxTunnels limits the tunnels that a box keeps for others.
	maxTunnels = 256
	// tunnelConnectTimeout bounds the connecting to an endpoint for another box.
	tunnelConnectTimeout = 400 * time.Millisecond
	// tunnelProbeTimeout bounds the check whether an endpoint listens.
	tunnelProbeTimeout = time.Second
	// tunnelIdle ends a tunnel over which nothing was sent in either direction.
	tunnelIdle   = time.Minute
	tunnelBuffer = 8 << 10
	// A box that neither acknowledges nor answers probes for this time is taken for lost.
	tunnelUnacknowledged = 2500 * time.Millisecond
	tunnelProbeInterval  = time.Second
	tunnelProbes         = 2
)

// Reads reports whether a box reads messages of a kind, as far as is known.
func (n *Net) Reads(box string, k boxwire.Kind) bool {
	_, reads := n.versions.of(box, n.peer(box), k)
	return reads
}

// OpenTunnel connects to an endpoint through another box. The error is ErrTunnelUnavailable if it
// says nothing about the endpoint, ErrTunnelUnreached if the other box does not reach the endpoint
// either, joined with syscall.ECONNREFUSED if nothing listens there.
func (n *Net) OpenTunnel(ctx context.Context, box, id string) (net.Conn, error) {
	return n.tunnel(ctx, box, &boxwire.Tunnel{Endpoint: id})
}

// ProbeThrough asks another box whether anything listens at an endpoint's address. Errors are those
// of OpenTunnel.
func (n *Net) ProbeThrough(ctx context.Context, box, id string) error {
	c, err := n.tunnel(ctx, box, &boxwire.Tunnel{Endpoint: id, Probe: true})
	closeConn(c)
	return err
}

func (n *Net) tunnel(ctx context.Context, box string, m *boxwire.Tunnel) (net.Conn, error) {
	to := n.peer(box).Address
	if to == "" || !n.Reads(box, m.Kind()) {
		return nil, ErrTunnelUnavailable
	}
	timeouts := socket.Timeouts{
		Dial: dialTimeout, Unacknowledged: tunnelUnacknowledged, KeepAlive: tunnelProbeInterval, Probes: tunnelProbes,
	}
	c, err := timeouts.Dialer().DialContext(ctx, "tcp", to)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTunnelUnavailable, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	r, err := n.greetTunnel(c, box, m)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		closeConn(c)
		return nil, err
	}
	return &tunnelConn{Conn: c, reader: r}, nil
}

// greetTunnel sends the greeting and the request for a tunnel, and reads the reply.
func (n *Net) greetTunnel(c net.Conn, box string, m *boxwire.Tunnel) (*bufio.Reader, error) {
	hello, err := n.hello(box)
	if err != nil {
		return nil, err
	}
	frames, err := boxwire.Append(hello, m, boxwire.VersionCurrent)
	if err != nil {
		return nil, err
	}
	if _, err := c.Write(frames); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTunnelUnavailable, err)
	}
	n.sent.Add(uint64(len(frames)))
	n.flows.add(m.Kind(), n.distanceTo(box), len(frames))
	r := bufio.NewReaderSize(countingReader{c: c, n: n}, bufferSize)
	reply, err := boxwire.Read(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTunnelUnavailable, err)
	}
	answer, ok := reply.(*boxwire.TunnelReply)
	if !ok {
		return nil, ErrTunnelUnavailable
	}
	switch answer.Outcome {
	case boxwire.TunnelConnected:
		return r, nil
	case boxwire.TunnelRefused:
		return nil, fmt.Errorf("%w: %w", ErrTunnelUnreached, syscall.ECONNREFUSED)
	case boxwire.TunnelUnreached:
		return nil, ErrTunnelUnreached
	default:
		return nil, ErrTunnelUnavailable
	}
}

// tunnelConn is a connection to an endpoint through another box.
type tunnelConn struct {
	net.Conn
	reader *bufio.Reader
	// pending has bytes of the endpoint that were not read yet, and ended is true after its last.
	pending []byte
	ended   bool
}

// Read reads what the endpoint sent. It returns io.EOF only if the endpoint closed its connection.
func (t *tunnelConn) Read(p []byte) (int, error) {
	for len(t.pending) == 0 {
		if t.ended {
			return 0, io.EOF
		}
		m, err := boxwire.Read(t.reader)
		if errors.Is(err, io.EOF) {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		data, ok := m.(*boxwire.TunnelData)
		if !ok {
			return 0, fmt.Errorf("%w: kind %s in a tunnel", boxwire.ErrFrame, m.Kind())
		}
		t.pending, t.ended = data.Bytes, len(data.Bytes) == 0
	}
	n := copy(p, t.pending)
	t.pending = t.pending[n:]
	return n, nil
}

// Tunnels returns the number of tunnels that this box keeps for others.
func (n *Net) Tunnels() int { return int(n.tunnels.Load()) }

// CloseTunnels makes the box open no more tunnels; those that are open stay.
func (n *Net) CloseTunnels() { n.tunnelsClosed.Store(true) }

// serveTunnel connects another box to an endpoint and passes bytes on until either end closes its
// connection.
func (n *Net) serveTunnel(c net.Conn, r *bufio.Reader, m *boxwire.Tunnel) {
	open := n.tunnels.Add(1)
	defer n.tunnels.Add(-1)
	var far net.Conn
	outcome := boxwire.TunnelUnavailable
	if n.cfg.Endpoints != nil && !n.tunnelsClosed.Load() && open <= maxTunnels {
		far, outcome = n.connectTunnel(m)
		defer closeConn(far)
	}
	reply, err := boxwire.Append(nil, &boxwire.TunnelReply{Outcome: outcome}, boxwire.VersionCurrent)
	if err != nil {
		n.cfg.Log.WithError(err).Error("box_message_bad")
		return
	}
	_ = c.SetDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(reply); err != nil || far == nil {
		return
	}
	_ = c.SetDeadline(time.Time{})
	var active atomic.Int64
	active.Store(time.Now().UnixNano())
	var both sync.WaitGroup
	both.Go(func() {
		// The endpoint gets no more once the other box is gone.
		defer closeConn(far)
		_ = passBytes(far, r, c, &active)
	})
	both.Go(func() {
		defer closeConn(c)
		to := dataWriter{net: n, to: c}
		if errors.Is(passBytes(to, far, far, &active), io.EOF) {
			_, _ = to.Write(nil)
		}
	})
	both.Wait()
}

// dataWriter writes TunnelData to another box.
type dataWriter struct {
	net *Net
	to  io.Writer
}

// Write writes one message with the given bytes.
func (w dataWriter) Write(p []byte) (int, error) {
	frame, err := boxwire.Append(nil, &boxwire.TunnelData{Bytes: p}, boxwire.VersionCurrent)
	if err != nil {
		return 0, err
	}
	if _, err := w.to.Write(frame); err != nil {
		return 0, err
	}
	w.net.sent.Add(uint64(len(frame)))
	return len(p), nil
}

// connectTunnel connects to the endpoint of a tunnel.
func (n *Net) connectTunnel(m *boxwire.Tunnel) (net.Conn, boxwire.TunnelOutcome) {
	timeout := tunnelConnectTimeout
	if m.Probe {
		timeout = tunnelProbeTimeout
	}
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()
	var far net.Conn
	var err error
	if m.Probe {
		err = n.cfg.Endpoints.Listens(ctx, m.Endpoint)
	} else {
		far, err = n.cfg.Endpoints.Connect(ctx, m.Endpoint)
	}
	switch {
	case err == nil:
		return far, boxwire.TunnelConnected
	case errors.Is(err, ErrTunnelUnavailable):
		return nil, boxwire.TunnelUnavailable
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, boxwire.TunnelRefused
	default:
		return nil, boxwire.TunnelUnreached
	}
}

// passBytes copies from one connection to the other until one of them ends or the tunnel is idle, and
// returns the error of the read or write that ended it. active is when bytes were last passed on, in
// either direction, in nanoseconds since 1970.
func passBytes(to io.Writer, from io.Reader, source net.Conn, active *atomic.Int64) error {
	buffer := make([]byte, tunnelBuffer)
	for {
		if err := source.SetReadDeadline(time.Now().Add(tunnelIdle)); err != nil {
			return err
		}
		k, err := from.Read(buffer)
		if k > 0 {
			active.Store(time.Now().UnixNano())
			if _, err := to.Write(buffer[:k]); err != nil {
				return err
			}
		}
		idle := time.Since(time.Unix(0, active.Load())) >= tunnelIdle
		if err != nil && (idle || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return err
		}
	}
}
