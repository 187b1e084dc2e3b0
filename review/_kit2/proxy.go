// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"math/rand/v2"
	"net"
	"regexp"
	"sync"
)

// proxy passes connections on to one address and can reset them.
type proxy struct {
	to       string
	listener net.Listener
	mutex    sync.Mutex
	open     map[*proxied]struct{}
}

// proxied is a connection that goes through a proxy. id is that of the latest request on it.
type proxied struct {
	near, far *net.TCPConn
	id        string
}

// startProxy starts a proxy for an address.
func startProxy(to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &proxy{to: to, listener: l, open: make(map[*proxied]struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn))
		}
	}()
	return p
}

var requestID = regexp.MustCompile(`X-Request-Id: ([0-9a-f]+)`)

func (p *proxy) serve(near *net.TCPConn) {
	raw, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	c := &proxied{near: near, far: raw.(*net.TCPConn)}
	p.mutex.Lock()
	p.open[c] = struct{}{}
	p.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() {
		pass(c.far, c.near, func(data []byte) {
			if found := requestID.FindSubmatch(data); found != nil {
				p.mutex.Lock()
				c.id = string(found[1])
				p.mutex.Unlock()
			}
		})
		_ = c.far.Close()
	})
	both.Go(func() {
		pass(c.near, c.far, nil)
		_ = c.near.Close()
	})
	both.Wait()
	p.mutex.Lock()
	delete(p.open, c)
	p.mutex.Unlock()
}

func pass(to, from net.Conn, look func([]byte)) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if look != nil {
				look(buffer[:n])
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reset resets a share of the connections whose latest request is one of the given ones, on both sides,
// and returns their number.
func (p *proxy) reset(share float64, of func(id string) bool) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n := 0
	for c := range p.open {
		if c.id == "" || !of(c.id) || rand.Float64() >= share {
			continue
		}
		n++
		for _, side := range []*net.TCPConn{c.near, c.far} {
			_ = side.SetLinger(0)
			_ = side.Close()
		}
	}
	return n
}
