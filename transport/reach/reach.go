// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package reach checks whether anything listens at an endpoint's address.
package reach

import (
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// openTime is how long a connection has to stay open to show that the endpoint listens. A proxy or
// port forwarder accepts connections for others and closes one as soon as it finds that nothing
// listens behind it. That takes a round trip, at most 100 ms between two regions; a server waits
// seconds for a request.
const openTime = 250 * time.Millisecond

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Prober probes endpoints.
type Prober struct {
	// Dial opens connections; nil means over TCP.
	Dial Dial
	// Open is how long a connection has to stay open to show that the endpoint listens; 0 means
	// the default.
	Open time.Duration
}

// Listens connects to an address once, sends nothing and checks whether the connection stays open.
// It returns nil if it does, otherwise the error of the dial or how the connection ended. A deadline
// of the context shortens the check.
func (p Prober) Listens(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	return errors.Join(p.staysOpen(ctx, c), c.Close())
}

func (p Prober) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.Dial != nil {
		return p.Dial(ctx, address)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// staysOpen returns an error if a connection ends within Open. Without this check a forwarder
// hides that the endpoint behind it has ended: in TestPoisonBehindForwarders 12 attempts of one
// request ended 12 endpoints, and none was detected.
func (p Prober) staysOpen(ctx context.Context, c net.Conn) error {
	until := time.Now().Add(cmp.Or(p.Open, openTime))
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(until) {
		until = deadline
	}
	if err := c.SetReadDeadline(until); err != nil {
		return err
	}
	// A server that sends first listens too.
	_, err := c.Read(make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}
