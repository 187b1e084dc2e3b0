// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relayhttp

import (
	"net"
	"sync"
	"time"
)

// bodySource reads from a caller's connection. Its reads fail with a timeout once a body
// arrives too slowly or has been evicted by the budget of held bytes.
type bodySource struct {
	raw net.Conn

	mutex sync.Mutex
	// until is the deadline of the body being read; zero while no body is read.
	until   time.Time
	evicted bool
}

// begin sets the deadline for a body whose reading starts now.
func (s *bodySource) begin() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.until = time.Now().Add(bodyTimeout)
}

// end clears the deadline after a body has been read.
func (s *bodySource) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.until = time.Time{}
}

// Read reads from the connection. While a body is read it allows at most bodyPause without
// any bytes and bodyTimeout for the whole body.
func (s *bodySource) Read(p []byte) (int, error) {
	s.extend()
	return s.raw.Read(p)
}

// extend moves the read deadline for the next bytes of a body, unless the body was evicted.
func (s *bodySource) extend() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.until.IsZero() || s.evicted {
		return
	}
	next := time.Now().Add(bodyPause)
	if next.After(s.until) {
		next = s.until
	}
	_ = s.raw.SetReadDeadline(next)
}

// evict evicts the body: pending and later reads time out, and the connection serves no
// further request.
func (s *bodySource) evict() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.evicted = true
	_ = s.raw.SetReadDeadline(time.Unix(1, 0))
}
