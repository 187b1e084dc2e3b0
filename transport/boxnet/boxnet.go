// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package boxnet carries messages between boxes: one TCP connection in each
// direction, opened when first needed, with a bounded ring in front of it.
// A message that cannot be queued or sent is lost; whoever sent it asks again.
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

// Handler takes a message that came from a process of a box. It must not
// block.
type Handler func(from boxwire.Owner, m boxwire.Message)

// Config configures a Net.
type Config struct {
	Box         string
	Incarnation uint64
	// Key is shared by all boxes; empty means that none is asked for.
	Key []byte
	// QueueSize bounds the messages that wait for one peer.
	QueueSize int
	Handler   Handler
	// OnRefused, if set, is told of a box at whose address nothing listens any
	// more. It must not block.
	OnRefused func(box string)
	// DistanceTo, if set, says how far another box is, for the counts of what is
	// sent. It must not block.
	DistanceTo func(box string) locality.Distance
	Log        log.Logger
}

const (
	defaultQueue = 256
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	helloTimeout = 2 * time.Second
	// idleTimeout closes a connection that nothing used: a large fleet's
	// probes go to another box each time.
	idleTimeout = 5 * time.Second
	// idleMargin keeps an idle close from being taken for an early one.
	idleMargin = 500 * time.Millisecond
	// readPatience ends connections whose sender vanished without a word.
	readPatience = 3 * idleTimeout
	bufferSize   = 4 << 10
)

// Net is a box's connections to the others.
type Net struct {
	cfg   Config
	mutex sync.Mutex
	ctx   context.Context
	peers map[string]Peer
	links map[string]*link
	conns map[net.Conn]struct{}
	ended bool

	sent, received atomic.Uint64
	messages       atomic.Uint64
	// lost counts the outgoing connections that have ended.
	lost     atomic.Uint64
	flows    flows
	versions peerVersions
	unknown  unknownCounts
}

// link is the way to one box while it is used.
type link struct {
	name    string
	address string
	queue   *ring.Ring[boxwire.Message]
	cancel  context.CancelFunc
}

// New makes the connections' owner; Serve accepts those of others. Sending
// ends with the context.
func New(ctx context.Context, cfg Config) *Net {
	if cfg.QueueSize <= 0 {
		cfg.QueueSize = defaultQueue
	}
	return &Net{
		cfg:   cfg,
		ctx:   ctx,
		peers: make(map[string]Peer),
		links: make(map[string]*link),
		conns: make(map[net.Conn]struct{}),
	}
}

// Traffic is what the box has sent and received so far, in bytes, and the
// messages sent.
func (n *Net) Traffic() (sent, received, messages uint64) {
	return n.sent.Load(), n.received.Load(), n.messages.Load()
}

// SetPeers replaces the other boxes by name. Links to boxes that are gone or
// have moved are dropped.
func (n *Net) SetPeers(peers map[string]Peer) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.peers = peers
	for name, l := range n.links {
		if peers[name].Address != l.address {
			l.cancel()
			delete(n.links, name)
		}
	}
}

// Send queues a message for a box. Full also stands for a box not known.
func (n *Net) Send(box string, m boxwire.Message) ring.Outcome {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	address := n.peers[box].Address
	if address == "" || n.ended {
		return ring.Full
	}
	l := n.links[box]
	if l == nil {
		l = n.open(box, address)
	}
	return l.queue.Offer(m)
}

// open starts a link. The mutex is held.
func (n *Net) open(box, address string) *link {
	ctx, cancel := context.WithCancel(n.ctx)
	l := &link{name: box, address: address, queue: ring.New[boxwire.Message](n.cfg.QueueSize), cancel: cancel}
	n.links[box] = l
	go n.drain(ctx, l)
	return l
}

// retire ends a link that was idle, unless something was queued meanwhile.
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

// drain is the duty that writes to one box.
func (n *Net) drain(ctx context.Context, l *link) {
	defer l.cancel()
	var c *out
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

// write sends a message and all that wait behind it, and returns the
// connection to go on with, nil if it broke.
func (n *Net) write(ctx context.Context, l *link, c *out, m boxwire.Message) *out {
	if c == nil || c.ended.Load() {
		closeOut(c)
		var err error
		if c, err = n.dial(ctx, l); err != nil {
			n.dialFailed(l.name, err)
			return nil
		}
	}
	buf, err := n.frame(make([]byte, 0, bufferSize), l.name, m)
	count := uint64(1)
	for err == nil && len(buf) < bufferSize && l.queue.Len() > 0 {
		buf, err = n.frame(buf, l.name, <-l.queue.C())
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

// frame adds a message to a box to buf and counts it. What the box does not read is left out.
func (n *Net) frame(buf []byte, to string, m boxwire.Message) ([]byte, error) {
	version, reads := n.versions.of(to, n.told(to), m.Kind())
	if !reads {
		return buf, nil
	}
	before := len(buf)
	buf, err := boxwire.Append(buf, m, version)
	if err == nil {
		n.flows.add(m.Kind(), n.distanceTo(to), len(buf)-before)
	}
	return buf, err
}

// Serve accepts connections until the context ends.
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
		if !n.keep(c) {
			closeConn(c)
			continue
		}
		readers.Go(func() error {
			n.read(c)
			return nil
		})
	}
}

func (n *Net) keep(c net.Conn) bool {
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

// read is the duty that takes one connection's messages.
func (n *Net) read(c net.Conn) {
	defer func() {
		n.mutex.Lock()
		delete(n.conns, c)
		n.mutex.Unlock()
		closeConn(c)
	}()
	heard := time.Now()
	from := ""
	defer func() {
		// The other side closes only what was idle. What ends sooner may be
		// the end of the process.
		if from != "" && time.Since(heard) < idleTimeout-idleMargin {
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
	if !ok || !n.trusts(hello) {
		n.cfg.Log.WithFields(log.Fields{"peer": c.RemoteAddr().String()}).Warn("box_hello_refused")
		return
	}
	from = hello.Box
	sender := boxwire.Owner{Box: hello.Box, Incarnation: hello.Incarnation}
	n.versions.greeted(hello)
	for {
		_ = c.SetReadDeadline(time.Now().Add(readPatience))
		m, err := boxwire.Read(r)
		if err != nil {
			return
		}
		heard = time.Now()
		if u, ok := m.(*boxwire.Unknown); ok {
			n.passOver(sender, u)
			continue
		}
		n.versions.heard(sender, m.Kind())
		n.cfg.Handler(sender, m)
	}
}

// countingReader counts the bytes that come in.
type countingReader struct {
	c net.Conn
	n *Net
}

// Read passes on what the connection gives.
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

// Address is where a box is reached; empty if that is not known.
func (n *Net) Address(box string) string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.peers[box].Address
}
