// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package upstream makes exchanges with the endpoints of routed services, on
// pooled connections of its own. It sends each request once. The standard
// client is not used: it hides the connection, and with it whether a request
// left, whether bytes follow an answer, and whose answer has come.
package upstream

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/notice"
	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/modules/socket"
	"runridge.example/runridge/protocol/relayapi"
)

const (
	dialTimeout = time.Second
	// silentPeer ends a connection whose peer acknowledges nothing.
	silentPeer = 2500 * time.Millisecond
	probeEvery = time.Second
	probes     = 2
	// idleShare is the part of an endpoint's announced idle time that a
	// connection is used for, and shortIdle what is used without a word.
	idleShare = 0.6
	shortIdle = 400 * time.Millisecond
	// freeTimeout bounds the freeing of one kept result.
	freeTimeout = 700 * time.Millisecond
)

// Config configures a Client.
type Config struct {
	Names relayapi.Names
	// Share is how many connections this box may have to one endpoint of a
	// service; 0 is no bound.
	Share func(service string) int
	// Notices takes what endpoints say of themselves in their answers; nil is nobody.
	Notices *notice.Keeper
}

// Client makes exchanges.
type Client struct {
	cfg   Config
	mutex sync.Mutex
	pools map[poolKey]*pool
	// opened counts the connections made.
	opened uint64
}

// poolKey is one start of an endpoint: its address may be another's later.
type poolKey struct{ address, id string }

// pool is the connections to one endpoint.
type pool struct {
	open int
	idle []*conn
	// trip is the least time that making a connection took: the way there and back.
	trip time.Duration
}

// New makes a client.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, pools: make(map[poolKey]*pool)}
}

// Opened is the number of connections made so far.
func (c *Client) Opened() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.opened
}

// Close drops idle connections.
func (c *Client) Close() {
	c.mutex.Lock()
	var idle []*conn
	for _, p := range c.pools {
		idle = append(idle, p.idle...)
		p.idle = nil
	}
	c.mutex.Unlock()
	for _, k := range idle {
		k.retire()
	}
}

// Send sends a request once and returns when the head of its answer is here.
// Errors say what they prove about the request.
func (c *Client) Send(ctx context.Context, call relay.Call) (*relay.Answer, error) {
	k, err := c.take(ctx, call.Endpoint)
	if err != nil {
		return nil, err
	}
	x := &exchange{client: c, conn: k, call: call, names: c.cfg.Names}
	a, err := x.run(ctx)
	if err == nil && !a.OtherHere {
		c.cfg.Notices.Answered(notice.Answered{
			Request: call.RequestID, Endpoint: call.Endpoint.ID, Born: call.Endpoint.Born,
			Notice: a.Notice, Served: served(call, a),
		})
	}
	return a, err
}

// served says whether an answer shows that its endpoint took the request.
func served(call relay.Call, a *relay.Answer) bool {
	return !call.Control && !a.NotRun && (a.Signed || call.Prefill && a.Success())
}

// errShare is returned when the box has all its connections to an endpoint in
// use.
var errShare = errors.New("all connections to the endpoint are in use")

// take gives a connection that is clean, new if there is none.
func (c *Client) take(ctx context.Context, e relay.Endpoint) (*conn, error) {
	key := poolKey{address: e.Address, id: e.ID}
	for {
		k, room := c.pop(key, e.Service)
		if k == nil && !room {
			return nil, adapter.ErrNotRun.Wrap(errShare, "endpoint %s", e.ID)
		}
		if k == nil {
			return c.dial(ctx, key, e)
		}
		if k.wake() {
			return k, nil
		}
		k.retire()
	}
}

// pop takes an idle connection, or room for a new one.
func (c *Client) pop(key poolKey, service string) (k *conn, room bool) {
	limit := 0
	if c.cfg.Share != nil {
		limit = c.cfg.Share(service)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[key]
	if p == nil {
		p = &pool{}
		c.pools[key] = p
	}
	if n := len(p.idle); n > 0 {
		k = p.idle[n-1]
		p.idle = p.idle[:n-1]
		return k, true
	}
	if limit > 0 && p.open >= limit {
		return nil, false
	}
	p.open++
	c.opened++
	return nil, true
}

func (c *Client) dial(ctx context.Context, key poolKey, e relay.Endpoint) (*conn, error) {
	patience := socket.Patience{Dial: dialTimeout, Sent: silentPeer, Probe: probeEvery, Probes: probes}
	begin := time.Now()
	raw, err := patience.Dialer().DialContext(ctx, "tcp", e.Address)
	if err != nil {
		c.closed(key)
		return nil, adapter.ErrNotRun.Wrap(err, "endpoint %s", e.ID)
	}
	c.noteTrip(key, time.Since(begin))
	return newConn(c, key, raw), nil
}

// noteTrip takes in how long making a connection took.
func (c *Client) noteTrip(key poolKey, took time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p := c.pools[key]; p != nil && (p.trip == 0 || took < p.trip) {
		p.trip = took
	}
}

// trip is the least time that a message to an endpoint and its answer take; 0 is not known.
func (c *Client) trip(key poolKey) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p := c.pools[key]; p != nil {
		return p.trip
	}
	return 0
}

// put keeps a connection for the next request.
func (c *Client) put(k *conn) {
	k.rest()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[k.key]
	p.idle = append(p.idle, k)
}

// closed counts a connection that is no more.
func (c *Client) closed(key poolKey) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[key]
	p.open--
	if p.open <= 0 && len(p.idle) == 0 {
		delete(c.pools, key)
	}
}

// drop takes an idle connection out of its pool, if it is there.
func (c *Client) drop(k *conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[k.key]
	if p == nil {
		return false
	}
	for i, other := range p.idle {
		if other == k {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return true
		}
	}
	return false
}

// Free frees a kept prefill result; what fails lapses at the engine.
func (c *Client) Free(ctx context.Context, e relay.Endpoint, handle string) error {
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	a, err := c.Send(ctx, relay.Call{
		Endpoint: e,
		Method:   http.MethodDelete,
		Target:   c.cfg.Names.FreePath + handle,
		Host:     e.Address,
		Control:  true,
	})
	if err != nil {
		return err
	}
	return a.Discard()
}

// keepAlive reads the idle time that an endpoint announced.
func keepAlive(h http.Header) time.Duration {
	for _, value := range h.Values("Keep-Alive") {
		for _, part := range splitList(value) {
			if seconds, found := cutPrefixFold(part, "timeout="); found {
				if n, err := strconv.Atoi(seconds); err == nil && n > 0 {
					return time.Duration(float64(n) * idleShare * float64(time.Second))
				}
			}
		}
	}
	return shortIdle
}
