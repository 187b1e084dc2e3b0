// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is one request that an engine began to work on.
type run struct {
	engine, id, method, target string
	body                       int
	lastEvent                  string
	at                         time.Time
	// ended is when the whole answer was written; zero if the connection ended before.
	ended time.Time
}

// engine is a stand-in for a server of a plain service: it runs each request for the time that its
// query gives and answers with as many bytes, or sends as many events.
type engine struct {
	id       string
	listener net.Listener
	mutex    sync.Mutex
	runs     []*run
	conns    map[net.Conn]struct{}
	// grey is the share of its requests that the engine fails.
	grey float64
	log  func(format string, args ...any)
}

// window is the receive buffer of an engine's connections, in bytes: links have small windows, and a
// peer that does not read holds the writer up.
const window = 64 << 10

// newEngine starts an engine.
func newEngine(id string, log func(string, ...any)) (*engine, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window) })
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, listener: l, conns: make(map[net.Conn]struct{}), log: log}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mutex.Lock()
			e.conns[c] = struct{}{}
			e.mutex.Unlock()
			go e.serve(c)
		}
	}()
	return e, nil
}

// address is where the engine listens.
func (e *engine) address() string { return e.listener.Addr().String() }

// entry is what the engine writes of itself to the platform's store.
func (e *engine) entry(zone string, slots int) map[string]any {
	fields := parse(entryText)
	fields["address"], fields["zone"], fields["slots"] = e.address(), zone, slots
	return fields
}

// answerHead is the beginning of the head of an answer of the engine's own, without its end.
func (e *engine) answerHead(status, id string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: signed.%s\r\n", status, names.RequestID, id, names.Signature, e.id)
}

// refusal is an answer that says that the request was not run.
func refusal(status, id string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, names.RequestID, id, names.NotRun)
}

// crash ends the engine: its port is closed and its connections are reset.
func (e *engine) crash() {
	_ = e.listener.Close()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// failShare makes the engine fail a share of its requests.
func (e *engine) failShare(share float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.grey = share
}

// fails reports whether the engine fails its next request.
func (e *engine) fails() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return rand.Float64() < e.grey
}

// seen returns the runs of a request.
func (e *engine) seen(id string) []run {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var out []run
	for _, r := range e.runs {
		if r.id == id {
			out = append(out, *r)
		}
	}
	return out
}

// payload is the whole body of an answer.
func payload(engine, id string, n int) string {
	text := engine + " " + id + "\n"
	if n > len(text) {
		text += strings.Repeat("x", n-len(text))
	}
	return text
}

// event is one event of a stream.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n) }

func (e *engine) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mutex.Lock()
		delete(e.conns, c)
		e.mutex.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := q.Header.Get(names.RequestID)
		early := number(q, "early") > 0
		var body []byte
		if !early {
			if body, err = io.ReadAll(q.Body); err != nil {
				return
			}
		}
		if want := q.Header.Get(names.Instance); want != "" && want != e.id {
			_, _ = io.WriteString(c, refusal("421 Misdirected Request", id))
			continue
		}
		if id == "" {
			_, _ = io.WriteString(c, refusal("400 Bad Request", id))
			continue
		}
		r := &run{engine: e.id, id: id, method: q.Method, target: q.RequestURI, body: len(body), lastEvent: q.Header.Get(names.LastEvent), at: time.Now()}
		e.mutex.Lock()
		e.runs = append(e.runs, r)
		e.mutex.Unlock()
		e.log("engine %s runs %s %s %s body %d after event %q", e.id, id, q.Method, q.RequestURI, len(body), r.lastEvent)
		if early {
			e.answerEarly(c, q, r)
			return
		}
		if !e.answer(c, q, r) {
			e.log("engine %s: the connection of %s ended before its answer", e.id, id)
			return
		}
		e.mutex.Lock()
		r.ended = time.Now()
		e.mutex.Unlock()
		e.log("engine %s answered %s", e.id, id)
	}
}

func number(q *http.Request, name string) int {
	n, _ := strconv.Atoi(q.URL.Query().Get(name))
	return n
}

// answer works and answers, and reports whether the whole answer was written.
func (e *engine) answer(c net.Conn, q *http.Request, r *run) bool {
	time.Sleep(time.Duration(number(q, "work")) * time.Millisecond)
	head := e.answerHead("200 OK", r.id) + "Keep-Alive: timeout=10\r\n"
	if e.fails() {
		const text = "none"
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", e.answerHead("404 Not Found", r.id), len(text), text)
		return err == nil
	}
	if events := number(q, "events"); events > 0 {
		if _, err := io.WriteString(c, head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
			return false
		}
		first, _ := strconv.Atoi(r.lastEvent)
		for n := first + 1; n <= events; n++ {
			text := event(r.id, n)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
				return false
			}
			time.Sleep(time.Duration(number(q, "gap")) * time.Millisecond)
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
	text := payload(e.id, r.id, number(q, "bytes"))
	_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
	return err == nil
}

// answerEarly answers before it has read the body, without a length: the answer ends with its
// connection, which the engine closes once it has read the body.
func (e *engine) answerEarly(c net.Conn, q *http.Request, r *run) {
	head := e.answerHead("200 OK", r.id) + "Connection: close\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return
	}
	text, pieces := payload(e.id, r.id, number(q, "bytes")), 10
	for i := range pieces {
		time.Sleep(time.Duration(number(q, "work")/pieces) * time.Millisecond)
		if _, err := io.WriteString(c, text[i*len(text)/pieces:(i+1)*len(text)/pieces]); err != nil {
			e.log("engine %s: the connection of %s ended after %d of 10 pieces of its answer", e.id, r.id, i)
			return
		}
	}
	n, err := io.Copy(io.Discard, q.Body)
	e.log("engine %s has written the whole answer to %s and read its body of %d bytes (%v)", e.id, r.id, n, err)
	e.mutex.Lock()
	r.ended = time.Now()
	e.mutex.Unlock()
}
