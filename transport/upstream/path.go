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
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/path"
)

// Peers connects this box to endpoints through other boxes. Errors are those of
// boxnet.Net.OpenTunnel.
type Peers interface {
	// Candidates returns the other boxes that may be asked.
	Candidates() []path.Peer
	OpenTunnel(ctx context.Context, box, id string) (net.Conn, error)
	ProbeThrough(ctx context.Context, box, id string) error
}

// Metrics records how endpoints are reached.
type Metrics interface {
	// EndpointConnected counts a connection to an endpoint, by the way on which it was made:
	// direct, peer, or none if it failed.
	EndpointConnected(service, way string)
}

// Ways of connections to endpoints, for metrics.
const (
	wayDirect = "direct"
	wayPeer   = "peer"
	wayNone   = "none"
)

const (
	// directHeadStart is how long a direct path may take before a peer is asked as well, and
	// peerHeadStart the same for a peer before the next one.
	directHeadStart = 150 * time.Millisecond
	peerHeadStart   = 80 * time.Millisecond
	// failedPeerTime is how long a peer that could not connect this box is asked after the others. It
	// has to cover several checks of a path.
	failedPeerTime = 5 * time.Second
	// silentAfter is after how long without a byte from an endpoint the path to it is checked.
	silentAfter = 600 * time.Millisecond
	// lostCheckInterval and checkInterval are the shortest times between two checks of a path that
	// is lost and of one that works, whose endpoint may just be slow: a new connection may hold one
	// of its slots. checkTimeout bounds the check of the direct path, and checkOpen is how long its
	// connection has to stay open.
	lostCheckInterval = 500 * time.Millisecond
	checkInterval     = 1500 * time.Millisecond
	checkTimeout      = 300 * time.Millisecond
	checkOpen         = 50 * time.Millisecond
	// peersTimeout bounds the question to peers that follows a failed check.
	peersTimeout = time.Second
	// explainTime bounds the wait for the check of a path after an interrupted exchange.
	explainTime = 30 * time.Millisecond
	// maxChecks is how many other paths are checked once one is found lost.
	maxChecks = 32
	// maxPaths is how many paths are kept before stale ones are forgotten.
	maxPaths = 512
)

// pathRecord is what the client knows of the paths to one endpoint.
type pathRecord struct {
	endpoint  relay.Endpoint
	state     path.State
	checkedAt time.Time
	// checked is closed when the check under way ends; nil if there is none.
	checked chan struct{}
}

// pathOf returns the record of an endpoint, a new one if there is none. The mutex is held.
func (c *Client) pathOf(key poolKey, e relay.Endpoint) *pathRecord {
	p := c.paths[key]
	if p == nil {
		if len(c.paths) >= maxPaths {
			c.forgetStalePaths()
		}
		p = &pathRecord{endpoint: e}
		c.paths[key] = p
	}
	return p
}

// forgetPath forgets a path that works and is no longer in use. The mutex is held.
func (c *Client) forgetPath(key poolKey) {
	if p := c.paths[key]; p != nil && p.state.Direct() && p.checked == nil {
		delete(c.paths, key)
	}
}

// forgetStalePaths forgets the paths that have not been used for long. The mutex is held.
func (c *Client) forgetStalePaths() {
	now := time.Now()
	for key, p := range c.paths {
		if c.pools[key] == nil && p.checked == nil && p.state.Stale(now) {
			delete(c.paths, key)
		}
	}
}

// Unreached returns the endpoints of a service that neither this box nor the others that it asked
// reached a moment ago for a request that is allowed in the given regions.
func (c *Client) Unreached(service string, allowed locality.Allowed) []string {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var out []string
	for key := range c.unreached {
		p := c.paths[key]
		switch {
		case p == nil || !p.state.AnyUnreached(now):
			delete(c.unreached, key)
		case p.endpoint.Service == service && p.state.Unreached(now, allowed):
			out = append(out, key.id)
		}
	}
	return out
}

// PathCounts returns the number of endpoints that this box reaches only through others, and of
// those that nobody reached a moment ago.
func (c *Client) PathCounts() (throughPeers, unreached int) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, p := range c.paths {
		switch {
		case p.state.AnyUnreached(now):
			unreached++
		case p.state.Via() != "":
			throughPeers++
		}
	}
	return throughPeers, unreached
}

// candidates returns the peers to ask for an endpoint, the best first, for a request that is allowed in
// the given regions.
func (c *Client) candidates(e relay.Endpoint, allowed locality.Allowed, via string) []path.Peer {
	if c.cfg.Peers == nil {
		return nil
	}
	peers := c.cfg.Peers.Candidates()
	now := time.Now()
	c.mutex.Lock()
	for i := range peers {
		if at := c.failedPeers[peers[i].Name]; now.Sub(at) < failedPeerTime {
			peers[i].FailedAt = at
		}
	}
	c.mutex.Unlock()
	need := path.Need{
		Endpoint: e.ID, Box: c.cfg.Box, BoxZone: c.cfg.Zone, BoxRegion: c.cfg.Regions.Of(c.cfg.Zone), Allowed: allowed, Via: via,
	}
	if c.cfg.ZoneOf != nil {
		need.Zone = c.cfg.ZoneOf(e.ID)
	}
	need.Region = c.cfg.Regions.Of(need.Zone)
	return path.Order(need, peers)
}

// notePeers records which peers could not connect this box, and which one could.
func (c *Client) notePeers(r raced) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.failedPeers, r.via)
	for _, f := range r.failed {
		if f.via != "" {
			c.failedPeers[f.via] = now
		}
	}
}

func (c *Client) countWay(service, way string) {
	if c.cfg.Metrics != nil {
		c.cfg.Metrics.EndpointConnected(service, way)
	}
}

// noteReached records that the direct path to an endpoint works.
func (c *Client) noteReached(key poolKey) {
	c.mutex.Lock()
	p := c.paths[key]
	if p == nil {
		c.mutex.Unlock()
		return
	}
	was, lostFor := p.state, p.state.LostFor(time.Now())
	p.state = p.state.WithReached()
	c.mutex.Unlock()
	if !was.Direct() {
		c.cfg.Log.WithFields(log.Fields{
			log.FieldEngine: key.id, "service": p.endpoint.Service, "lost_ms": lostFor.Milliseconds(), "via": was.Via(),
		}).Info("endpoint_path_regained")
	}
}

// noteVia records that another box reached an endpoint whose direct path was lost before.
func (c *Client) noteVia(key poolKey, e relay.Endpoint, via string, allowed locality.Allowed) {
	c.mutex.Lock()
	p := c.pathOf(key, e)
	was := p.state
	p.state = p.state.WithVia(via, allowed)
	c.mutex.Unlock()
	if was.Via() == "" {
		c.logLost(e, via, adapter.BreakNone)
	}
}

// logLost logs that this box does not reach an endpoint that another box reaches; found is how the
// direct path failed just now.
func (c *Client) logLost(e relay.Endpoint, via string, found adapter.Break) {
	c.cfg.Log.WithFields(log.Fields{
		log.FieldEngine: e.ID, "service": e.Service, "via": via, "found": string(found),
	}).Info("endpoint_path_lost")
}

// noteLost records that the direct path to an endpoint failed while another box reached it. Then the
// paths to other endpoints may be lost as well.
func (c *Client) noteLost(key poolKey, e relay.Endpoint, via string, allowed locality.Allowed, cause error) {
	c.mutex.Lock()
	p := c.pathOf(key, e)
	was := p.state
	p.state = p.state.WithLost(time.Now()).WithVia(via, allowed)
	c.mutex.Unlock()
	if !was.Direct() && was.Via() != "" {
		return
	}
	c.logLost(e, via, foundOf(cause))
	c.checkOthers(key)
}

// foundOf returns how a failed try of the direct path ended; one that was given up got no answer.
func foundOf(cause error) adapter.Break {
	if cause == nil || errors.Is(cause, context.Canceled) {
		return adapter.BreakSilent
	}
	return adapter.BreakOf(cause)
}

// noteUnreached records that neither this box nor those that it asked reached an endpoint.
func (c *Client) noteUnreached(key poolKey, e relay.Endpoint, allowed locality.Allowed, err *adapter.UnreachedError) {
	now := time.Now()
	c.mutex.Lock()
	p := c.pathOf(key, e)
	was := p.state
	p.state = p.state.WithLost(now)
	if err.Others > 0 {
		p.state = p.state.WithUnreached(now, allowed)
		c.unreached[key] = struct{}{}
	}
	c.mutex.Unlock()
	c.countWay(e.Service, wayNone)
	if was.Direct() || was.Via() != "" {
		c.cfg.Log.WithFields(log.Fields{
			log.FieldEngine: e.ID, "service": e.Service, "others": err.Others, "found": string(foundOf(err.Err)),
		}).Info("endpoint_unreached")
	}
}
