// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/transport/reach"
)

// checkPath checks in the background whether this box reaches an endpoint directly and, if not,
// whether others do. The channel is closed when the check under way ends; nil if there is none.
func (c *Client) checkPath(key poolKey, e relay.Endpoint) <-chan struct{} {
	if c.cfg.Peers == nil {
		return nil
	}
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pathOf(key, e)
	interval := checkInterval
	if !p.state.Direct() {
		interval = lostCheckInterval
	}
	if p.checked != nil || now.Sub(p.checkedAt) < interval {
		return p.checked
	}
	done := make(chan struct{})
	p.checked, p.checkedAt, p.state = done, now, p.state.WithTry(now)
	go func() {
		c.check(key, e)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		p.checked = nil
		close(done)
	}()
	return done
}

// pathIsLost reports whether this box does not reach an endpoint that another box reaches.
func (c *Client) pathIsLost(key poolKey) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.paths[key]
	return p != nil && !p.state.Direct() && p.state.Via() != ""
}

// check is the body of checkPath.
func (c *Client) check(key poolKey, e relay.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), c.patience(checkTimeout))
	defer cancel()
	failed := reach.Prober{Dial: c.cfg.Dial, Open: checkOpen}.Listens(ctx, e.Address)
	if failed == nil {
		c.noteReached(key)
		return
	}
	via, reached := c.reachedThrough(e)
	if !reached {
		return
	}
	c.noteLost(key, e, via, locality.Allowed{}, failed)
	if foundOf(failed) == adapter.BreakSilent {
		c.dropSilent(key)
	}
}

// reachedThrough asks peers whether they reach an endpoint, and returns one that does.
func (c *Client) reachedThrough(e relay.Endpoint) (via string, reached bool) {
	ctx, cancel := context.WithTimeout(context.Background(), peersTimeout)
	defer cancel()
	r := race(ctx, c.probes(e), nil)
	c.notePeers(r)
	return r.via, r.won
}

// probes returns the questions to peers whether they reach an endpoint.
func (c *Client) probes(e relay.Endpoint) []try {
	var out []try
	for _, p := range c.candidates(e, locality.Allowed{}, "") {
		out = append(out, try{via: p.Name, headStart: c.patience(peerHeadStart), open: func(ctx context.Context) (net.Conn, error) {
			return nil, c.cfg.Peers.ProbeThrough(ctx, p.Name, e.ID)
		}})
	}
	return out
}

// checkOthers checks the paths to the other endpoints in use from which nothing came of late.
func (c *Client) checkOthers(except poolKey) {
	var due []poolKey
	var endpoints []relay.Endpoint
	now := time.Now()
	c.mutex.Lock()
	for key, p := range c.pools {
		known := c.paths[key]
		if key == except || known == nil || !known.state.Direct() || now.Sub(p.heard()) < c.patience(silentAfter) || len(due) == maxChecks {
			continue
		}
		due, endpoints = append(due, key), append(endpoints, known.endpoint)
	}
	c.mutex.Unlock()
	for i, key := range due {
		c.checkPath(key, endpoints[i])
	}
}

// dropSilent closes the direct connections to an endpoint over which nothing comes any more: idle
// ones, and those of requests that may be repeated.
func (c *Client) dropSilent(key poolKey) {
	c.mutex.Lock()
	p := c.pools[key]
	if p == nil {
		c.mutex.Unlock()
		return
	}
	drop := p.idle
	p.idle = nil
	for x := range p.active {
		if x.call.Repeatable && x.silent(&x.conn.heardAt) >= c.patience(silentAfter) {
			x.pathLost.Store(true)
			drop = append(drop, x.conn)
		}
	}
	c.mutex.Unlock()
	for _, k := range drop {
		k.retire()
	}
}

// ListensConfirmed checks whether an endpoint listens, like reach.Prober. If its address refuses
// this box, peers are asked: their answer counts if they reach it or cannot tell.
func (c *Client) ListensConfirmed(ctx context.Context, e relay.Endpoint) error {
	err := reach.Prober{Dial: c.cfg.Dial}.Listens(ctx, e.Address)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return err
	}
	tries := c.probes(e)
	if len(tries) == 0 {
		return err
	}
	r := race(ctx, tries, nil)
	if r.won {
		return nil
	}
	for _, other := range r.failed {
		if errors.Is(other.err, syscall.ECONNREFUSED) {
			return err
		}
	}
	return context.DeadlineExceeded
}
