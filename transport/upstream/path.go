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
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/path"
	"runridge.example/runridge/transport/boxnet"
	"runridge.example/runridge/transport/reach"
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
	// failedPeerTime is how long a peer that could not connect this box is asked after the others.
	failedPeerTime = time.Second
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
	// checkPeers is how many peers are asked whether they reach an endpoint, and maxChecks how many
	// other paths are checked once one is found lost.
	checkPeers = 3
	maxChecks  = 32
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
// reached a moment ago.
func (c *Client) Unreached(service string) []string {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var out []string
	for key, p := range c.paths {
		if p.endpoint.Service == service && p.state.Unreached(now) {
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
		case p.state.Unreached(now):
			unreached++
		case p.state.Via() != "":
			throughPeers++
		}
	}
	return throughPeers, unreached
}

// candidates returns the peers to ask for an endpoint, the best first.
func (c *Client) candidates(e relay.Endpoint, via string) []path.Peer {
	if c.cfg.Peers == nil {
		return nil
	}
	peers := c.cfg.Peers.Candidates()
	now := time.Now()
	c.mutex.Lock()
	for i := range peers {
		peers[i].Failed = now.Before(c.failedPeers[peers[i].Name])
	}
	c.mutex.Unlock()
	need := path.Need{Endpoint: e.ID, Box: c.cfg.Box, BoxZone: c.cfg.Zone, BoxRegion: c.cfg.Regions.Of(c.cfg.Zone), Via: via}
	if c.cfg.ZoneOf != nil {
		need.Zone = c.cfg.ZoneOf(e.ID)
	}
	need.Region = c.cfg.Regions.Of(need.Zone)
	return path.Order(need, peers)
}

// try is one way to connect to an endpoint; via is empty for the direct path.
type try struct {
	via string
	// headStart is how long the try may take before the next one begins.
	headStart time.Duration
	open      func(ctx context.Context) (net.Conn, error)
}

// failedTry is a try that did not connect.
type failedTry struct {
	via string
	err error
}

// raced is the result of a race. Without a winner via and conn are empty.
type raced struct {
	won  bool
	via  string
	conn net.Conn
	// failed are the tries that failed before the end of the race.
	failed []failedTry
}

// directError returns how the direct path failed; nil if it was not tried or is still open.
func (r raced) directError() error {
	for _, f := range r.failed {
		if f.via == "" {
			return f.err
		}
	}
	return nil
}

// tried is the result of a try.
type tried struct {
	try  try
	conn net.Conn
	err  error
}

// race makes the tries in turn until one succeeds: each begins when the one before it has failed or
// has used up its head start. more returns further tries once there are none left to begin; it may be
// nil.
func race(ctx context.Context, tries []try, more func() []try) raced {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var out raced
	results := make(chan tried)
	open := 0
	defer func() { go closeLosers(results, open) }()
	headStart := time.NewTimer(0)
	defer headStart.Stop()
	begin := func() {
		if len(tries) == 0 && more != nil {
			tries, more = more(), nil
		}
		if len(tries) == 0 {
			return
		}
		next := tries[0]
		tries = tries[1:]
		open++
		headStart.Reset(next.headStart)
		go func() {
			conn, err := next.open(ctx)
			results <- tried{try: next, conn: conn, err: err}
		}()
	}
	for begin(); open > 0; {
		select {
		case <-headStart.C:
			begin()
		case r := <-results:
			open--
			if r.err == nil {
				out.won, out.via, out.conn = true, r.try.via, r.conn
				return out
			}
			out.failed = append(out.failed, failedTry{via: r.try.via, err: r.err})
			begin()
		case <-ctx.Done():
			return out
		}
	}
	return out
}

// closeLosers closes the connections of tries that end after the race.
func closeLosers(results <-chan tried, open int) {
	for range open {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}

// direct returns the direct way to an endpoint.
func (c *Client) direct(e relay.Endpoint) try {
	return try{headStart: directHeadStart, open: func(ctx context.Context) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return c.cfg.Dial(ctx, e.Address)
	}}
}

// throughPeers returns the ways to an endpoint through peers.
func (c *Client) throughPeers(e relay.Endpoint, via string) []try {
	var out []try
	for _, p := range c.candidates(e, via) {
		out = append(out, try{via: p.Name, headStart: peerHeadStart, open: func(ctx context.Context) (net.Conn, error) {
			return c.cfg.Peers.OpenTunnel(ctx, p.Name, e.ID)
		}})
	}
	return out
}

// raceTo connects to an endpoint: directly first while that works, otherwise through peers first.
func (c *Client) raceTo(ctx context.Context, s path.State, e relay.Endpoint) raced {
	if s.Direct() {
		return race(ctx, []try{c.direct(e)}, func() []try { return c.throughPeers(e, "") })
	}
	return race(ctx, append(c.throughPeers(e, s.Via()), c.direct(e)), nil)
}

// connect opens a connection to an endpoint, directly or through another box, whose name it returns.
// The error of a connection that could not be made is an adapter.UnreachedError.
func (c *Client) connect(ctx context.Context, key poolKey, e relay.Endpoint) (raw net.Conn, via string, err error) {
	c.mutex.Lock()
	s := c.pathOf(key, e).state
	c.mutex.Unlock()
	if s.Unreached(time.Now()) {
		return nil, "", &adapter.UnreachedError{Known: true}
	}
	if s.ProbeDue(time.Now()) {
		c.checkPath(key, e)
	}
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	r := c.raceTo(bounded, s, e)
	c.notePeers(r)
	switch {
	case r.won && r.via == "":
		c.noteReached(key)
		c.countWay(e.Service, wayDirect)
		return r.conn, "", nil
	case r.won:
		if s.Direct() {
			c.noteLost(key, e, r.via, r.directError())
		} else {
			c.noteVia(key, e, r.via)
		}
		c.countWay(e.Service, wayPeer)
		return r.conn, r.via, nil
	case ctx.Err() != nil:
		return nil, "", ctx.Err()
	}
	unreached := unreachedError(r)
	c.noteUnreached(key, e, unreached)
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

// notePeers records which peers could not connect this box.
func (c *Client) notePeers(r raced) {
	until := time.Now().Add(failedPeerTime)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, f := range r.failed {
		if f.via != "" {
			c.failedPeers[f.via] = until
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
func (c *Client) noteVia(key poolKey, e relay.Endpoint, via string) {
	c.mutex.Lock()
	p := c.pathOf(key, e)
	was := p.state
	p.state = p.state.WithVia(via)
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
func (c *Client) noteLost(key poolKey, e relay.Endpoint, via string, cause error) {
	c.mutex.Lock()
	p := c.pathOf(key, e)
	was := p.state
	p.state = p.state.WithLost(time.Now()).WithVia(via)
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
func (c *Client) noteUnreached(key poolKey, e relay.Endpoint, err *adapter.UnreachedError) {
	now := time.Now()
	c.mutex.Lock()
	p := c.pathOf(key, e)
	was := p.state
	p.state = p.state.WithLost(now)
	if err.Others > 0 {
		p.state = p.state.WithUnreached(now)
	}
	c.mutex.Unlock()
	c.countWay(e.Service, wayNone)
	if was.Direct() || was.Via() != "" {
		c.cfg.Log.WithFields(log.Fields{
			log.FieldEngine: e.ID, "service": e.Service, "others": err.Others, "found": string(foundOf(err.Err)),
		}).Info("endpoint_unreached")
	}
}

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
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
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
	c.noteLost(key, e, via, failed)
	if found := foundOf(failed); found == adapter.BreakSilent {
		c.dropSilent(key)
	}
}

// reachedThrough asks peers whether they reach an endpoint, and returns one that does.
func (c *Client) reachedThrough(e relay.Endpoint) (via string, reached bool) {
	ctx, cancel := context.WithTimeout(context.Background(), peersTimeout)
	defer cancel()
	r := race(ctx, c.probes(e, checkPeers), nil)
	c.notePeers(r)
	return r.via, r.won
}

// probes returns the questions to at most limit peers whether they reach an endpoint.
func (c *Client) probes(e relay.Endpoint, limit int) []try {
	var out []try
	candidates := c.candidates(e, "")
	for _, p := range candidates[:min(len(candidates), limit)] {
		out = append(out, try{via: p.Name, headStart: peerHeadStart, open: func(ctx context.Context) (net.Conn, error) {
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
		if key == except || known == nil || !known.state.Direct() || now.Sub(p.heard()) < silentAfter || len(due) == maxChecks {
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
	now := time.Now()
	c.mutex.Lock()
	p := c.pools[key]
	if p == nil {
		c.mutex.Unlock()
		return
	}
	drop := p.idle
	p.idle = nil
	for x := range p.active {
		if x.call.Repeatable && now.Sub(x.heard()) >= silentAfter {
			x.pathLost.Store(true)
			drop = append(drop, x.conn)
		}
	}
	c.mutex.Unlock()
	for _, k := range drop {
		k.retire()
	}
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
	raw, err := c.cfg.Dial(ctx, e.Address)
	if err != nil {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		p.state = p.state.WithLost(now)
		return nil, err
	}
	c.noteReached(key)
	return raw, nil
}

// ListensConfirmed checks whether an endpoint listens, like reach.Prober. If its address refuses
// this box, peers are asked: their answer counts if they reach it or cannot tell.
func (c *Client) ListensConfirmed(ctx context.Context, e relay.Endpoint) error {
	err := reach.Prober{Dial: c.cfg.Dial}.Listens(ctx, e.Address)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return err
	}
	tries := c.probes(e, path.MaxPeers)
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
