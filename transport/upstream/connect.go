// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"errors"
	"net"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/modules/socket"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/path"
	"runridge.example/runridge/transport/boxnet"
)

// dialDirect opens a connection to an address. The end of an answer without a length is that of its
// connection, so a reset must not look like an end.
func (c *Client) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	raw, err := c.cfg.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return socket.ReportResets(raw), nil
}

// direct returns the direct way to an endpoint.
func (c *Client) direct(e relay.Endpoint) try {
	return try{headStart: c.patience(directHeadStart), open: func(ctx context.Context) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, c.patience(dialTimeout))
		defer cancel()
		return c.dialDirect(ctx, e.Address)
	}}
}

// throughPeers returns the ways to an endpoint through peers.
func (c *Client) throughPeers(e relay.Endpoint, allowed locality.Allowed, via string) []try {
	var out []try
	for _, p := range c.candidates(e, allowed, via) {
		out = append(out, try{via: p.Name, headStart: c.patience(peerHeadStart), open: func(ctx context.Context) (net.Conn, error) {
			return c.cfg.Peers.OpenTunnel(ctx, p.Name, e.ID)
		}})
	}
	return out
}

// raceTo connects to an endpoint: directly first while that works, otherwise through peers first.
func (c *Client) raceTo(ctx context.Context, s path.State, e relay.Endpoint, allowed locality.Allowed) raced {
	if s.Direct() {
		return race(ctx, []try{c.direct(e)}, func() []try { return c.throughPeers(e, allowed, "") })
	}
	return race(ctx, append(c.throughPeers(e, allowed, s.Via()), c.direct(e)), nil)
}

// connect opens a connection to an endpoint, directly or through another box, whose name it returns,
// for a request that is allowed in the given regions. The error of a connection that could not be made
// is an adapter.UnreachedError.
func (c *Client) connect(ctx context.Context, key poolKey, e relay.Endpoint, allowed locality.Allowed) (raw net.Conn, via string, err error) {
	c.mutex.Lock()
	s := c.pathOf(key, e).state
	c.mutex.Unlock()
	if s.Unreached(time.Now(), allowed) {
		return nil, "", &adapter.UnreachedError{Known: true}
	}
	if s.ProbeDue(time.Now()) {
		c.checkPath(key, e)
	}
	bounded, cancel := context.WithTimeout(ctx, c.patience(dialTimeout))
	defer cancel()
	r := c.raceTo(bounded, s, e, allowed)
	c.notePeers(r)
	switch {
	case r.won && r.via == "":
		c.noteReached(key)
		c.countWay(e.Service, wayDirect)
		return r.conn, "", nil
	case r.won:
		if s.Direct() {
			c.noteLost(key, e, r.via, allowed, r.directError())
		} else {
			c.noteVia(key, e, r.via, allowed)
		}
		c.countWay(e.Service, wayPeer)
		return r.conn, r.via, nil
	case ctx.Err() != nil:
		return nil, "", ctx.Err()
	}
	unreached := unreachedError(r)
	c.noteUnreached(key, e, allowed, unreached)
	return nil, "", unreached
}

// unreachedError returns the error of a race without a winner.
func unreachedError(r raced) *adapter.UnreachedError {
	out := &adapter.UnreachedError{Err: r.directError()}
	for _, f := range r.failed {
		if errors.Is(f.err, boxnet.ErrTunnelUnreached) {
			out.Others++
		}
	}
	if out.Err == nil {
		out.Err = context.DeadlineExceeded
	}
	return out
}

// Connect opens a connection to an endpoint for another box, without the help of others.
func (c *Client) Connect(ctx context.Context, e relay.Endpoint) (net.Conn, error) {
	key := poolKey{address: e.Address, id: e.ID}
	now := time.Now()
	c.mutex.Lock()
	p := c.pathOf(key, e)
	s := p.state
	due := s.Direct() || s.ProbeDue(now)
	p.state = s.WithTry(now)
	c.mutex.Unlock()
	if !due {
		return nil, boxnet.ErrTunnelUnreached
	}
	raw, err := c.dialDirect(ctx, e.Address)
	if err != nil {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		p.state = p.state.WithLost(now)
		return nil, err
	}
	c.noteReached(key)
	return raw, nil
}
