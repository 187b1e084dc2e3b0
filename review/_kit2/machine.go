// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// machine passes on the connections to one router's address for other routers. While it is dark it says
// nothing, like a machine without power: what is sent to it is lost, connections to it do not come up,
// and no connection ends. Connections that were open when it became dark stay silent afterwards.
type machine struct {
	to       string
	listener *net.TCPListener
	mutex    sync.Mutex
	dark     bool
	lit      *sync.Cond
	open     map[*hop]struct{}
	// fillers occupy the queue of new connections while the machine is dark.
	fillers []net.Conn
}

// hop is a connection that goes through a machine. It is mute once nothing on it is passed on any more.
type hop struct {
	near, far net.Conn
	mute      bool
	// first are the first bytes, which name the router that opened the connection.
	first []byte
}

const (
	usualBacklog = 128
	firstBytes   = 64
)

func newMachine(to string) *machine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	m := &machine{to: to, listener: l.(*net.TCPListener), open: make(map[*hop]struct{})}
	m.lit = sync.NewCond(&m.mutex)
	go m.serve()
	return m
}

func (m *machine) address() string { return m.listener.Addr().String() }

func (m *machine) serve() {
	for {
		m.mutex.Lock()
		for m.dark {
			m.lit.Wait()
		}
		m.mutex.Unlock()
		c, err := m.listener.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			continue
		case err != nil:
			return
		}
		go m.pass(c)
	}
}

func (m *machine) pass(near net.Conn) {
	far, err := net.Dial("tcp", m.to)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	h := &hop{near: near, far: far}
	m.mutex.Lock()
	h.mute = m.dark
	m.open[h] = struct{}{}
	m.mutex.Unlock()
	go m.copy(h, far, near)
	m.copy(h, near, far)
}

// copy passes bytes on until the connection ends or the hop is mute.
func (m *machine) copy(h *hop, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		m.mutex.Lock()
		mute := h.mute
		if from == h.near && len(h.first) < firstBytes {
			h.first = append(h.first, buffer[:n]...)
		}
		m.mutex.Unlock()
		if mute {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			_ = h.near.Close()
			_ = h.far.Close()
			m.mutex.Lock()
			delete(m.open, h)
			m.mutex.Unlock()
			return
		}
	}
}

// darken silences all open connections for good, and keeps new ones from coming up. It returns the
// number of connections that it silenced.
func (m *machine) darken() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.dark = true
	n := 0
	for h := range m.open {
		if !h.mute {
			h.mute = true
			n++
		}
	}
	_ = m.listener.SetDeadline(time.Unix(1, 0))
	m.setBacklog(0)
	for range 4 {
		c, err := net.DialTimeout("tcp", m.address(), 50*time.Millisecond)
		if err != nil {
			break
		}
		m.fillers = append(m.fillers, c)
	}
	return n
}

// forsake silences the connections that a router has opened to this machine: it has lost its power.
func (m *machine) forsake(r *router) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for h := range m.open {
		if bytes.Contains(h.first, []byte(r.name)) {
			h.mute = true
		}
	}
}

// light lets new connections come up again.
func (m *machine) light() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, c := range m.fillers {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	m.fillers = nil
	m.setBacklog(usualBacklog)
	_ = m.listener.SetDeadline(time.Time{})
	m.dark = false
	m.lit.Broadcast()
}

func (m *machine) setBacklog(n int) {
	raw, err := m.listener.SyscallConn()
	if err != nil {
		panic(err)
	}
	if err := raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) }); err != nil {
		panic(err)
	}
}
