// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package platform is a small stand-in for the platform's object API: objects
// with versions, conditional updates, watches and a list of boxes. It can fail
// as the real one does: outages, lost answers and stale reads.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"runridge.example/runridge/protocol/platformapi"
)

// Counts has the number of calls received so far; a watch counts as one read.
type Counts struct {
	Reads  int
	Writes int
}

// Server is the stand-in. Its methods may be called while it serves.
type Server struct {
	mutex   sync.Mutex
	changed chan struct{}
	objects map[string]platformapi.Object
	boxes   map[string]platformapi.Box
	counts  Counts
	// version is the last version given to any object; it is shared, so that the versions of
	// each object increase.
	version uint64
	down    bool
	// answersToLose is how many of the next writes take effect without an answer.
	answersToLose int
	// staleObjects has, by name, the objects whose reads return an old value, as from a stale replica.
	staleObjects map[string]platformapi.Object

	http *http.Server
	addr string
}

// New returns a stand-in that serves once it is started.
func New() *Server {
	return &Server{
		changed:      make(chan struct{}),
		objects:      make(map[string]platformapi.Object),
		boxes:        make(map[string]platformapi.Box),
		staleObjects: make(map[string]platformapi.Object),
	}
}

// Start listens on a loopback address and serves until the context ends.
func (s *Server) Start(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc(platformapi.PathObjects, s.serveObject)
	mux.HandleFunc(platformapi.PathBoxes, s.serveBoxes)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.http.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = s.http.Close() })
	return nil
}

// Addr returns the address as IP:port.
func (s *Server) Addr() string {
	return s.addr
}

// Counts returns the number of calls so far.
func (s *Server) Counts() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counts
}

// SetDown starts or ends an outage. Its start ends pending watches with an error.
func (s *Server) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	s.wake()
}

// LoseAnswers makes the next n writes take effect and breaks their connections before the answer.
func (s *Server) LoseAnswers(n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answersToLose = n
}

// SetStale makes reads of an object return its present value, whatever is written
// later, until SetStale is called with false.
func (s *Server) SetStale(name string, stale bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if stale {
		s.staleObjects[name] = s.objects[name]
		return
	}
	delete(s.staleObjects, name)
	s.wake()
}

// SetBox adds or replaces a box in the list.
func (s *Server) SetBox(b platformapi.Box) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.boxes[b.Name] = b
}

// RemoveBox removes a box from the list.
func (s *Server) RemoveBox(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.boxes, name)
}

// Put writes an object directly, whatever fault is set, and returns its version.
func (s *Server) Put(name string, value []byte) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.set(name, value)
}

// Version returns an object's version, whatever fault is set; 0 means that it does not exist.
func (s *Server) Version(name string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.objects[name].Version
}

func (s *Server) set(name string, value []byte) uint64 {
	s.version++
	s.objects[name] = platformapi.Object{Version: s.version, Value: value}
	s.wake()
	return s.version
}

// wake makes pending watches read their object again. The mutex is held.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) serveObject(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, platformapi.PathObjects)
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, name)
	case http.MethodPut:
		s.put(w, r, name)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, name string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get(platformapi.QueryAfter), 10, 64)
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get(platformapi.QueryWaitMS), 10, 64)
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	s.mutex.Lock()
	s.counts.Reads++
	s.mutex.Unlock()
	for {
		s.mutex.Lock()
		o, changed, down := s.read(name), s.changed, s.down
		s.mutex.Unlock()
		if down {
			http.Error(w, "out of service", http.StatusServiceUnavailable)
			return
		}
		if after == 0 || o.Version > after {
			writeJSON(w, o)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, o)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) read(name string) platformapi.Object {
	if o, stale := s.staleObjects[name]; stale {
		return o
	}
	return s.objects[name]
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, name string) {
	value, err := io.ReadAll(io.LimitReader(r.Body, platformapi.MaxValue+1))
	if err != nil || len(value) > platformapi.MaxValue || !json.Valid(value) {
		http.Error(w, "value: allowed is JSON of up to a megabyte", http.StatusBadRequest)
		return
	}
	expected, err := strconv.ParseUint(r.URL.Query().Get(platformapi.QueryVersion), 10, 64)
	if err != nil {
		http.Error(w, "if_version: allowed is a whole number", http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	s.counts.Writes++
	if s.down {
		s.mutex.Unlock()
		http.Error(w, "out of service", http.StatusServiceUnavailable)
		return
	}
	if s.objects[name].Version != expected {
		s.mutex.Unlock()
		http.Error(w, "another version", http.StatusConflict)
		return
	}
	version := s.set(name, value)
	lost := s.answersToLose > 0
	if lost {
		s.answersToLose--
	}
	s.mutex.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, platformapi.Object{Version: version})
}

func (s *Server) serveBoxes(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	s.counts.Reads++
	down := s.down
	list := platformapi.Boxes{}
	for _, b := range s.boxes {
		list.Boxes = append(list.Boxes, b)
	}
	s.mutex.Unlock()
	if down {
		http.Error(w, "out of service", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
