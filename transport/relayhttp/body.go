// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relayhttp

import (
	"net"
	"sync"
	"time"
)

// bodySource reads from a caller. It ends a body that comes too slowly, or that has to give
// way to others.
type bodySource struct {
	raw net.Conn

	mutex sync.Mutex
	// until bounds the body that is read; zero is that none is.
	until   time.Time
	yielded bool
}

// begin starts the time of a body.
func (s *bodySource) begin() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.until = time.Now().Add(bodyTimeout)
}

// end says that no body is read any more.
func (s *bodySource) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.until = time.Time{}
}

// Read reads on, for as long as something of a body comes in time.
func (s *bodySource) Read(p []byte) (int, error) {
	s.extend()
	return s.raw.Read(p)
}

// extend waits for the next bytes of a body, unless it has given way.
func (s *bodySource) extend() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.until.IsZero() || s.yielded {
		return
	}
	next := time.Now().Add(bodyPause)
	if next.After(s.until) {
		next = s.until
	}
	_ = s.raw.SetReadDeadline(next)
}

// giveWay ends the reading; the connection serves no request after it.
func (s *bodySource) giveWay() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.yielded = true
	_ = s.raw.SetReadDeadline(time.Unix(1, 0))
}
