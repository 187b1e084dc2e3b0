// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a server of a service, as the platform's pages describe it.
type server struct {
	site             *site
	id, service      string
	version          string
	zone, stage      string
	slots            int
	listener         net.Listener
	http             *http.Server
	answer           func(e *server, w http.ResponseWriter, r *http.Request, body string)
	mutex            sync.Mutex
	active, handles  int
	sequence         int
	draining, silent bool
	// runs counts the runs of each request by its id.
	runs map[string]int
	// address is what the entry says; empty means the listener's.
	address string
}

// startServer starts a server of the first software version.
func (s *site) startServer(id, service, zone, stage string, slots int, answer func(e *server, w http.ResponseWriter, r *http.Request, body string)) *server {
	return s.startServerOf("v1", id, service, zone, stage, slots, answer)
}

// startServerOf starts a server of a software version and writes its entry.
func (s *site) startServerOf(version, id, service, zone, stage string, slots int, answer func(e *server, w http.ResponseWriter, r *http.Request, body string)) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	e := &server{
		site: s, id: id, version: version, service: service, zone: zone, stage: stage, slots: slots, listener: l, answer: answer, runs: make(map[string]int),
	}
	e.http = &http.Server{Handler: http.HandlerFunc(e.handle)}
	go func() { _ = e.http.Serve(l) }()
	e.writeEntry()
	go e.beat()
	s.mutex.Lock()
	s.servers = append(s.servers, e)
	s.mutex.Unlock()
	s.line("server %s of %s started at %s, stage %q", id, service, l.Addr(), stage)
	return e
}

// beat writes the entry again and again.
func (e *server) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-e.site.closed:
			return
		case <-ticker.C:
			e.mutex.Lock()
			silent := e.silent
			e.mutex.Unlock()
			if silent {
				return
			}
			e.writeEntry()
		}
	}
}

func (e *server) writeEntry() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sequence++
	state, address := "ready", e.address
	if e.draining {
		state = "draining"
	}
	if address == "" {
		address = e.listener.Addr().String()
	}
	spec := map[string]any{
		"service": e.service, "address": address, "zone": e.zone, "version": e.version, "slots": e.slots,
		"state": state, wire.ColdField: 0, "sequence": e.sequence,
	}
	if e.stage != "" {
		spec["stage"], spec["models"] = e.stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	e.site.store.Put("servers", e.id, spec)
}

// putBehindProxy makes the server reachable through a proxy alone.
func (e *server) putBehindProxy() *proxy {
	p := startProxy(e.listener.Addr().String())
	e.mutex.Lock()
	e.address = p.listener.Addr().String()
	e.mutex.Unlock()
	e.writeEntry()
	return p
}

// stop ends the server: its connections are closed.
func (e *server) stop() {
	e.mutex.Lock()
	e.silent = true
	e.mutex.Unlock()
	_ = e.http.Close()
}

// ranOf returns how often the server has run a request.
func (e *server) ranOf(id string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.runs[id]
}

// handle answers what any server answers, and passes on requests that it runs.
func (e *server) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set(wire.InstanceHeader, e.id)
		return
	case r.URL.Path == names.Orders.ReportPath:
		e.report(w)
		return
	case strings.HasPrefix(r.URL.Path, names.FreePath) && r.Method == http.MethodDelete:
		return
	case strings.HasPrefix(r.URL.Path, wire.OwnPath):
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	switch {
	case err != nil:
		return
	case id == "":
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get(names.Instance) != "" && r.Header.Get(names.Instance) != e.id:
		e.site.line("server %s: 421 to %s", e.id, id)
		w.Header().Set(wire.InstanceHeader, e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	prefill := r.Header.Get(names.Stage) == names.StagePrefill
	if e.stage != "" && prefill != (e.stage == "prefill") {
		e.site.line("server %s: 421 to %s, wrong stage", e.id, id)
		w.Header().Set(wire.InstanceHeader, e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mutex.Lock()
	if e.active >= e.slots {
		e.mutex.Unlock()
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.active++
	if !prefill {
		e.runs[id]++
	}
	e.handles++
	handle := fmt.Sprintf("%s%06d", strings.ReplaceAll(e.id, "-", ""), e.handles)
	e.mutex.Unlock()
	defer func() {
		e.mutex.Lock()
		e.active--
		e.mutex.Unlock()
	}()
	if prefill {
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(encode(map[string]any{names.HandleField: handle, names.TokensField: 100, "version": 1}))
		return
	}
	if !e.site.terse {
		e.site.line("server %s runs %s: %s %s, Last-Event-Id %q", e.id, id, r.Method, r.URL.Path, r.Header.Get("Last-Event-Id"))
	}
	e.answer(e, w, r, string(body))
}

func (e *server) report(w http.ResponseWriter) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	report := maps.Clone(wire.Report)
	report["stage"], report["active"] = e.stage, e.active
	_, _ = w.Write(encode(report))
}

// sign marks an answer as the server's own.
func (e *server) sign(w http.ResponseWriter) {
	w.Header().Set(names.Signature, "signed."+e.id)
}

// reply sends a whole signed answer.
func (e *server) reply(w http.ResponseWriter, r *http.Request, status int, text string) {
	e.sign(w)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
	if !e.site.terse {
		e.site.line("server %s answers %s: %d", e.id, r.Header.Get("X-Request-Id"), status)
	}
}

// eventText returns one event of a stream, which depends on the request's body alone.
func eventText(i int, body string) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", i, body, i)
}

// stream sends the events of a stream after the one that the request names, up to the last one. It
// returns false if the caller has left.
func (e *server) stream(w http.ResponseWriter, r *http.Request, body string, last int, gap time.Duration) bool {
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.sign(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first + 1; i <= last; i++ {
		_, _ = io.WriteString(w, eventText(i, body))
		if http.NewResponseController(w).Flush() != nil {
			return false
		}
		select {
		case <-time.After(gap):
		case <-r.Context().Done():
			return false
		}
	}
	return true
}
