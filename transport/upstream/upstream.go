// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package upstream sends requests to the endpoints of routed services over its own connection
// pools. It sends each request once. It doesn't use the net/http client, because that hides the
// connection and with it whether a request was written, whether bytes follow an answer, and
// which request an answer belongs to.
package upstream

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/notice"
	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/socket"
	"runridge.example/runridge/protocol/relayapi"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/transport/reach"
)

const (
	dialTimeout = time.Second
	// ackTimeout ends a connection whose peer acknowledges nothing.
	ackTimeout    = 2500 * time.Millisecond
	probeInterval = time.Second
	probes        = 2
	// idleShare is the fraction of an endpoint's announced idle timeout during which an
	// idle connection is reused, and shortIdle the time if the endpoint announces none.
	idleShare = 0.6
	shortIdle = 400 * time.Millisecond
	// freeTimeout limits a call that frees a kept result.
	freeTimeout = 700 * time.Millisecond
)

// Config configures a Client.
type Config struct {
	Names relayapi.Names
	// Share returns how many connections this box may have to one endpoint of a
	// service; 0 means unlimited.
	Share func(service string) int
	// Notices receives the notices in endpoints' answers; nil drops them.
	Notices *notice.Keeper
	// Dial opens a connection to the address of an endpoint; nil means over TCP.
	Dial reach.Dial
	// Box and Zone are this box's name and availability zone, Regions maps zones to regions, and
	// ZoneOf returns the zone of an endpoint, empty if unknown; nil means that none is known.
	Box, Zone string
	Regions   locality.Map
	ZoneOf    func(id string) string
	// Slack returns how much longer than usual answers may take because this box is slow; nil means 0.
	Slack func() time.Duration
	// Peers connects to endpoints that this box does not reach; nil means that nobody does.
	Peers Peers
	// Metrics may be nil.
	Metrics Metrics
	// Log may be nil.
	Log log.Logger
}

// Client sends requests to endpoints.
type Client struct {
	cfg   Config
	mutex sync.Mutex
	pools map[poolKey]*pool
	// opened counts the connections opened, including failed dials.
	opened uint64
	paths  map[poolKey]*pathRecord
	// unreached has the paths of endpoints that nobody reached a moment ago, and others that no
	// request has asked about since: each ask looks them up.
	unreached map[poolKey]struct{}
	// failedPeers has when each peer last could not connect this box, if it has not done so since.
	failedPeers map[string]time.Time
}

// poolKey identifies one incarnation of an endpoint; another endpoint may later use its address.
type poolKey struct{ address, id string }

// pool holds the connections to one endpoint.
type pool struct {
	// open counts the connections, idle ones and those being dialed included.
	open int
	// idle is a stack: the connection used last is reused first.
	idle []*conn
	// roundTrip is the shortest time that dialing took, as an estimate of a round trip; 0
	// is unknown.
	roundTrip time.Duration
	// active are the exchanges over direct connections, and heardAt is when the endpoint last sent
	// anything over one, in nanoseconds since 1970.
	active  map[*exchange]struct{}
	heardAt atomic.Int64
}

// heard returns when the endpoint last sent anything over a direct connection.
func (p *pool) heard() time.Time { return time.Unix(0, p.heardAt.Load()) }

// New returns a client for cfg.
func New(cfg Config) *Client {
	if cfg.Log == nil {
		cfg.Log = log.Discard()
	}
	if cfg.Dial == nil {
		timeouts := socket.Timeouts{Dial: dialTimeout, Unacknowledged: ackTimeout, KeepAlive: probeInterval, Probes: probes}
		dialer := timeouts.Dialer()
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &Client{
		cfg: cfg, pools: make(map[poolKey]*pool), paths: make(map[poolKey]*pathRecord),
		unreached: make(map[poolKey]struct{}), failedPeers: make(map[string]time.Time),
	}
}

// patience returns how long to wait for an answer that usually comes within a time.
func (c *Client) patience(usual time.Duration) time.Duration {
	if c.cfg.Slack == nil {
		return usual
	}
	return usual + c.cfg.Slack()
}

// Opened returns the number of connections opened so far, including failed dials.
func (c *Client) Opened() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.opened
}

// Close closes the idle connections.
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

// Send sends a request once and returns when the head of its answer has arrived. Errors are
// adapter.ErrNotRun or adapter.ErrMayHaveRun.
func (c *Client) Send(ctx context.Context, call relay.Call) (*relay.Answer, error) {
	begin := time.Now()
	k, err := c.take(ctx, call)
	if err != nil {
		return nil, err
	}
	if call.Remaining > 0 {
		call.Remaining = max(call.Remaining-time.Since(begin), time.Millisecond)
	}
	if call.MaySend != nil && !call.MaySend() {
		k.retire()
		return nil, adapter.ErrNotRun.New("endpoint %s may not be sent to any more", call.Endpoint.ID)
	}
	x := &exchange{client: c, conn: k, call: call, names: c.cfg.Names}
	a, err := x.run(ctx)
	if err == nil && !a.AddressTaken {
		c.cfg.Notices.Answered(notice.Answer{
			Request: call.RequestID, Endpoint: call.Endpoint.ID, Born: call.Endpoint.Born,
			Notice: a.Notice, Served: served(call, a),
		})
	}
	return a, err
}

// served reports whether an answer shows that its endpoint accepted the request.
func served(call relay.Call, a *relay.Answer) bool {
	return !call.Control && !a.NotRun && (a.Signed || call.Prefill && a.Success())
}

// take returns a clean idle connection for a call, or a new one if there is none.
func (c *Client) take(ctx context.Context, call relay.Call) (*conn, error) {
	e := call.Endpoint
	key := poolKey{address: e.Address, id: e.ID}
	for {
		k, ok := c.pop(key, e.Service)
		if k == nil && !ok {
			return nil, adapter.ErrNotRun.Wrap(adapter.ErrShareUsed, "endpoint %s", e.ID)
		}
		if k == nil {
			return c.dial(ctx, key, call)
		}
		if k.wake() {
			return k, nil
		}
		k.retire()
	}
}

// pop returns an idle connection, or nil after reserving capacity for a new one. It returns
// false if the box's share is used up.
func (c *Client) pop(key poolKey, service string) (k *conn, ok bool) {
	limit := 0
	if c.cfg.Share != nil {
		limit = c.cfg.Share(service)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[key]
	if p == nil {
		p = &pool{active: make(map[*exchange]struct{})}
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

// dial opens the connection for which pop reserved capacity. Failures are adapter.ErrNotRun.
func (c *Client) dial(ctx context.Context, key poolKey, call relay.Call) (*conn, error) {
	e := call.Endpoint
	begin := time.Now()
	var raw net.Conn
	var via string
	var err error
	if call.DirectOnly {
		raw, err = c.dialDirect(ctx, e.Address)
	} else {
		raw, via, err = c.connect(ctx, key, e, call.Allowed)
	}
	if err != nil {
		c.closed(key)
		return nil, adapter.ErrNotRun.Wrap(err, "endpoint %s", e.ID)
	}
	if via == "" {
		c.recordRoundTrip(key, time.Since(begin))
	}
	return newConn(c, key, raw, via), nil
}

// recordRoundTrip records how long dialing took, if it is the shortest so far.
func (c *Client) recordRoundTrip(key poolKey, elapsed time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p := c.pools[key]; p != nil && (p.roundTrip == 0 || elapsed < p.roundTrip) {
		p.roundTrip = elapsed
	}
}

// roundTrip returns the shortest known round trip to an endpoint; 0 is unknown.
func (c *Client) roundTrip(key poolKey) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p := c.pools[key]; p != nil {
		return p.roundTrip
	}
	return 0
}

// put returns a connection to its pool for the next request, unless it was closed meanwhile.
func (c *Client) put(k *conn) {
	k.startIdle()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if k.retired {
		return
	}
	p := c.pools[k.key]
	p.idle = append(p.idle, k)
}

// retired removes a connection that is closed from its pool's count.
func (c *Client) retired(k *conn) {
	c.mutex.Lock()
	k.retired = true
	c.mutex.Unlock()
	c.closed(k.key)
}

// closed removes a closed or never opened connection from its pool's count, and the pool once
// it is empty.
func (c *Client) closed(key poolKey) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[key]
	p.open--
	if p.open <= 0 && len(p.idle) == 0 {
		delete(c.pools, key)
		c.forgetPath(key)
	}
}

// drop removes an idle connection from its pool and reports whether it was there.
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

// Free frees a kept prefill result. If it fails, the result expires at the engine.
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

// keepAlive returns how long a connection may be idle and still be reused: idleShare of the
// timeout that the endpoint announced in Keep-Alive, or shortIdle.
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
