// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package boxnet carries messages between boxes over one TCP connection in each direction. A
// connection is opened on first use and has a bounded send queue. A message that can't be queued
// or sent is lost; the sender has to retry.
package boxnet

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/protocol/boxwire"
	"runridge.example/runridge/state/locality"
)

// Handler handles a message received from a box's process. It must not block.
type Handler func(from boxwire.Owner, m boxwire.Message)

// Config configures a Net.
type Config struct {
	Box         string
	Incarnation uint64
	// Address is where other boxes reach this one, as stated in hellos.
	Address string
	// Key is the secret that all boxes share; if it is empty, hellos aren't authenticated.
	Key []byte
	// QueueSize limits the messages queued for one peer; 0 means the default.
	QueueSize int
	Handler   Handler
	// OnRefused, if set, is called with a box at whose address nothing listens any
	// more. It must not block.
	OnRefused func(box string)
	// DistanceTo, if set, returns the distance of another box, for the counts of sent
	// messages. It must not block.
	DistanceTo func(box string) locality.Distance
	// Endpoints connects other boxes to endpoints; nil means that this box doesn't.
	Endpoints Endpoints
	Log       log.Logger
}

const (
	defaultQueue = 256
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	helloTimeout = 2 * time.Second
	// idleTimeout is after how long an idle outgoing connection is closed. In a large
	// fleet each probe goes to another box, so most connections aren't used again soon.
	idleTimeout = 5 * time.Second
	// idleMargin is by how much a peer's idle close may be early without counting as a
	// failure of its process.
	idleMargin = 500 * time.Millisecond
	// readTimeout ends an incoming connection whose sender is gone without closing it.
	readTimeout = 3 * idleTimeout
	bufferSize  = 4 << 10
)

// Net holds a box's connections to the other boxes.
type Net struct {
	cfg   Config
	mutex sync.Mutex
	ctx   context.Context
	peers map[string]Peer
	// callers holds the boxes whose incoming connections are open and that membership may not know
	// yet, as their hellos state them.
	callers map[string]Peer
	links   map[string]*link
	// conns holds the incoming connections.
	conns map[net.Conn]struct{}
	ended bool

	// sent and received count bytes, messages the messages sent.
	sent, received atomic.Uint64
	messages       atomic.Uint64
	// lost counts the outgoing connections that have ended.
	lost     atomic.Uint64
	flows    flows
	versions peerVersions
	unknown  unknownCounts
	// tunnels counts the tunnels kept for other boxes; tunnelsClosed is true once the box opens no
	// more.
	tunnels       atomic.Int64
	tunnelsClosed atomic.Bool
}

// link is the outgoing connection to a box and its send queue. It exists while it is in use.
type link struct {
	name    string
	address string
	queue   *ring.Ring[boxwire.Message]
	cancel  context.CancelFunc
}

// New returns a Net that can send until ctx ends. Serve accepts the connections of other boxes.
func New(ctx context.Context, cfg Config) *Net {
	if cfg.QueueSize <= 0 {
		cfg.QueueSize = defaultQueue
	}
	return &Net{
		cfg:     cfg,
		ctx:     ctx,
		peers:   make(map[string]Peer),
		callers: make(map[string]Peer),
		links:   make(map[string]*link),
		conns:   make(map[net.Conn]struct{}),
	}
}

// Traffic returns the bytes sent and received so far, and the number of messages sent.
func (n *Net) Traffic() (sent, received, messages uint64) {
	return n.sent.Load(), n.received.Load(), n.messages.Load()
}

// SetPeers replaces the other boxes, keyed by name. Links to boxes that are gone or have another
// address are closed.
func (n *Net) SetPeers(peers map[string]Peer) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.peers = peers
	for name, l := range n.links {
		if n.addressOf(name) != l.address {
			l.cancel()
			delete(n.links, name)
		}
	}
}

// addressOf returns the address of a box, by membership or by its own hello; empty if it is unknown.
// The mutex is held.
func (n *Net) addressOf(box string) string {
	if known := n.peers[box].Address; known != "" {
		return known
	}
	return n.callers[box].Address
}

// noteCaller records a box whose connection has opened, so that it can be answered although membership
// does not know it yet. The returned function forgets it.
func (n *Net) noteCaller(m *boxwire.Hello) (forget func()) {
	if m.Address == "" {
		return func() {}
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	caller := Peer{Address: m.Address, Incarnation: m.Incarnation, Version: m.Version}
	n.callers[m.Box] = caller
	return func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		if n.callers[m.Box] == caller {
			delete(n.callers, m.Box)
		}
	}
}

// Send queues a message for a box. It also returns ring.Full if the box is unknown.
func (n *Net) Send(box string, m boxwire.Message) ring.Outcome {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	address := n.addressOf(box)
	if address == "" || n.ended {
		return ring.Full
	}
	l := n.links[box]
	if l == nil {
		l = n.open(box, address)
	}
	return l.queue.Offer(m)
}

// open creates a link and starts its writer. The mutex is held.
func (n *Net) open(box, address string) *link {
	ctx, cancel := context.WithCancel(n.ctx)
	l := &link{name: box, address: address, queue: ring.New[boxwire.Message](n.cfg.QueueSize), cancel: cancel}
	n.links[box] = l
	go n.writeLoop(ctx, l)
	return l
}

// retire removes an idle link. It returns false if a message was queued meanwhile.
func (n *Net) retire(l *link) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if l.queue.Len() > 0 {
		return false
	}
	if n.links[l.name] == l {
		delete(n.links, l.name)
	}
	return true
}

// writeLoop writes the messages queued for one box until the link is idle or canceled.
func (n *Net) writeLoop(ctx context.Context, l *link) {
	defer l.cancel()
	var c *outConn
	defer func() { closeOut(c) }()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			if n.retire(l) {
				return
			}
		case m := <-l.queue.C():
			idle.Reset(idleTimeout)
			c = n.write(ctx, l, c, m)
		}
	}
}

// write sends a message together with others that are queued, up to about bufferSize bytes. It
// dials if c is nil or has ended, and returns the connection for the next write, nil after a
// failure.
func (n *Net) write(ctx context.Context, l *link, c *outConn, m boxwire.Message) *outConn {
	if c == nil || c.ended.Load() {
		closeOut(c)
		var err error
		if c, err = n.dial(ctx, l); err != nil {
			n.dialFailed(l.name, err)
			return nil
		}
	}
	buf, err := n.appendFrame(make([]byte, 0, bufferSize), l.name, m)
	count := uint64(1)
	for err == nil && len(buf) < bufferSize && l.queue.Len() > 0 {
		buf, err = n.appendFrame(buf, l.name, <-l.queue.C())
		count++
	}
	if err != nil {
		n.cfg.Log.WithError(err).Error("box_message_bad")
		return c
	}
	if len(buf) == 0 {
		return c
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(buf); err != nil {
		n.cfg.Log.WithFields(log.Fields{"peer": l.name}).WithError(err).Debug("box_write_failed")
		closeOut(c)
		n.suspect(l.name)
		return nil
	}
	n.sent.Add(uint64(len(buf)))
	n.messages.Add(count)
	return c
}

// appendFrame appends the frame of a message for a box to buf and counts it. A message of a kind
// that the box does not read is skipped.
func (n *Net) appendFrame(buf []byte, to string, m boxwire.Message) ([]byte, error) {
	version, reads := n.versions.of(to, n.peer(to), m.Kind())
	if !reads {
		return buf, nil
	}
	before := len(buf)
	buf, err := boxwire.AppendKnown(buf, m, version)
	if err == nil {
		n.flows.add(m.Kind(), n.distanceTo(to), len(buf)-before)
	}
	return buf, err
}

// Serve accepts and reads connections until the context ends. Then it closes them and the links.
func (n *Net) Serve(ctx context.Context, l net.Listener) error {
	var readers errgroup.Group
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		n.closeAll()
	})
	defer stop()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			closeConn(c)
			return readers.Wait()
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			continue
		}
		if !n.register(c) {
			closeConn(c)
			continue
		}
		readers.Go(func() error {
			n.readLoop(c)
			return nil
		})
	}
}

// register adds an incoming connection. It returns false if the Net has ended.
func (n *Net) register(c net.Conn) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.ended {
		return false
	}
	n.conns[c] = struct{}{}
	return true
}

func (n *Net) closeAll() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.ended = true
	for c := range n.conns {
		closeConn(c)
	}
	for _, l := range n.links {
		l.cancel()
	}
}

// readLoop reads the messages of one incoming connection until it ends.
func (n *Net) readLoop(c net.Conn) {
	defer func() {
		n.mutex.Lock()
		delete(n.conns, c)
		n.mutex.Unlock()
		closeConn(c)
	}()
	lastReceived := time.Now()
	from := ""
	defer func() {
		// The peer closes only idle connections. If one ends sooner, the peer's process
		// may have ended.
		if from != "" && time.Since(lastReceived) < idleTimeout-idleMargin {
			n.suspect(from)
		}
	}()
	counted := countingReader{c: c, n: n}
	r := bufio.NewReaderSize(counted, bufferSize)
	_ = c.SetReadDeadline(time.Now().Add(helloTimeout))
	first, err := boxwire.Read(r)
	if err != nil {
		n.cfg.Log.WithError(err).Warn("box_hello_bad")
		return
	}
	hello, ok := first.(*boxwire.Hello)
	if !ok || !n.verify(hello) {
		n.cfg.Log.WithFields(log.Fields{"peer": c.RemoteAddr().String()}).Warn("box_hello_refused")
		return
	}
	from = hello.Box
	sender := boxwire.Owner{Box: hello.Box, Incarnation: hello.Incarnation}
	n.versions.recordHello(hello)
	defer n.noteCaller(hello)()
	n.greetBack(hello)
	for {
		_ = c.SetReadDeadline(time.Now().Add(readTimeout))
		m, err := boxwire.Read(r)
		if err != nil {
			return
		}
		lastReceived = time.Now()
		if t, ok := m.(*boxwire.Tunnel); ok {
			// The end of a tunnel says nothing about the peer's process.
			from = ""
			n.serveTunnel(c, r, t)
			return
		}
		if h, ok := m.(*boxwire.Hello); ok {
			if h.Box == from && n.verify(h) {
				n.versions.recordHello(h)
			}
			continue
		}
		if u, ok := m.(*boxwire.Unknown); ok {
			n.skipUnknown(sender, u)
			continue
		}
		n.versions.recordKind(sender, m.Kind())
		n.cfg.Handler(sender, m)
	}
}

// countingReader counts the bytes received from a connection.
type countingReader struct {
	c net.Conn
	n *Net
}

// Read reads from the connection and counts the bytes.
func (r countingReader) Read(p []byte) (int, error) {
	k, err := r.c.Read(p)
	r.n.received.Add(uint64(k))
	return k, err
}

func closeConn(c net.Conn) {
	if c != nil {
		_ = c.Close()
	}
}

// Address returns a box's address; empty if it is unknown.
func (n *Net) Address(box string) string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.peers[box].Address
}
