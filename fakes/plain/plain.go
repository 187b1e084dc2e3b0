// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package plain is a small stand-in for a plain service: it echoes each call
// and counts the calls by their key.
package plain

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"runridge.example/runridge/protocol/engineapi"
	"runridge.example/runridge/protocol/relayapi"
	"runridge.example/runridge/tests/arrival"
)

// HeaderKey is the header with the key under which a call is counted.
const HeaderKey = "X-Call"

// Server is the stand-in. Its methods may be called while it serves.
type Server struct {
	mutex sync.Mutex
	runs  map[string]int
	// callsToCut is how many of the next calls run and break the connection before the answer.
	callsToCut int
	// takeOver, if set, answers all calls on their connections.
	takeOver func(c *net.TCPConn)
	limit    *float64
	leaving  bool
	rest     time.Duration
	arrivals arrival.Log
	addr     string
	server   *http.Server
}

// Start starts a service on a loopback address that serves until the context ends or Stop is called.
func Start(ctx context.Context) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{runs: make(map[string]int), addr: l.Addr().String()}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = s.server.Close() })
	return s, nil
}

// Addr returns the address as IP:port.
func (s *Server) Addr() string { return s.addr }

// Stop closes the service; later connections to it are refused.
func (s *Server) Stop() { _ = s.server.Close() }

// CutNext makes the next n calls run and break the connection without an answer.
func (s *Server) CutNext(n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.callsToCut = n
}

// TakeOver makes the service run all calls and hand their connections, of which the bodies are still to be
// read, to answer. Nil ends that.
func (s *Server) TakeOver(answer func(c *net.TCPConn)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.takeOver = answer
}

// Runs returns how many times calls with that key have run.
func (s *Server) Runs(key string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[key]
}

// NameLimit makes the service announce a limit in its answers, in requests per second.
func (s *Server) NameLimit(perSecond float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limit = &perSecond
}

// Leave makes the service announce in its answers that it leaves.
func (s *Server) Leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaving = true
}

// RejectWithRest makes the service reject all calls and ask for a rest in each answer.
func (s *Server) RejectWithRest(rest time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rest = rest
}

// Arrivals returns the log of the calls that reached the service.
func (s *Server) Arrivals() *arrival.Log { return &s.arrivals }

// ServeHTTP answers with the method, the path and the body of the call, unless it is rejected or cut.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.arrivals.Add(time.Now())
	s.mutex.Lock()
	if s.limit != nil {
		w.Header().Set(engineapi.HeaderLimit, strconv.FormatFloat(*s.limit, 'f', -1, 64))
	}
	if s.leaving {
		w.Header().Set(engineapi.HeaderLeaving, relayapi.LeavingYes)
	}
	if s.rest > 0 {
		s.arrivals.AskRest(time.Now(), s.rest)
		w.Header().Set("Retry-After", strconv.FormatFloat(s.rest.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		s.mutex.Unlock()
		return
	}
	s.runs[r.Header.Get(HeaderKey)]++
	cut := s.callsToCut > 0
	if cut {
		s.callsToCut--
	}
	takeOver := s.takeOver
	s.mutex.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
	if takeOver != nil {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		takeOver(c.(*net.TCPConn))
		return
	}
	w.Header().Set("X-Service", "plain")
	w.WriteHeader(http.StatusAccepted)
	_, _ = fmt.Fprintf(w, "%s %s ", r.Method, r.URL.RequestURI())
	_, _ = io.Copy(w, r.Body)
}
