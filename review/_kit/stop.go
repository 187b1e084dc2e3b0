// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// stopCase: a box gets SIGTERM. Clients with kept connections to it send one request each, begun
// before the box has closed those connections. Each body is read whole, and an engine runs the
// request; the box has to answer it within grace_s.
func stopCase(w *world) (int, error) {
	if err := w.start(3, 3); err != nil {
		return notRun, err
	}
	stopped := w.boxes[0]
	const (
		clients = 8
		// work is how long the engine takes, in milliseconds, and body the size of a body.
		work, body = 600, 50_000
		// begin is when the first client begins to send after SIGTERM, and over how long it takes.
		begin, over = 2410 * time.Millisecond, 620 * time.Millisecond
		grace       = 8 * time.Second
		slack       = 200 * time.Millisecond
	)
	type sent struct {
		id    string
		whole time.Time
		got   answer
	}
	results := make([]sent, clients)
	var conns []*client
	for i := range clients {
		c, err := connect(stopped.front)
		if err != nil {
			return notRun, err
		}
		defer c.close()
		// The connection serves a request first: it is a kept one.
		id := fmt.Sprintf("warm-%d", i)
		if err := c.upload("POST", "/unsafe/x?work=20", id, 100, 3000, 0, 1); err != nil {
			return notRun, err
		}
		if a := c.read("POST", 5*time.Second); a.err != nil || a.status != 200 {
			return notRun, fmt.Errorf("first request of client %d: %v", i, a)
		}
		conns = append(conns, c)
	}
	term := time.Now()
	if w.trouble {
		stopped.signal(syscall.SIGTERM)
		w.note("SIGTERM to %s", stopped.name)
	}
	var all sync.WaitGroup
	for i, c := range conns {
		all.Go(func() {
			time.Sleep(time.Until(term.Add(begin + time.Duration(i)*30*time.Millisecond)))
			id := fmt.Sprintf("order-%d", i)
			w.note("client %d begins to send %s on its kept connection, body of %d bytes over %v", i, id, body, over)
			err := c.upload("POST", fmt.Sprintf("/unsafe/x?work=%d", work), id, body, 3000, over, 10)
			whole := time.Now()
			w.note("client %d has sent the last byte of %s (%v)", i, id, err)
			got := c.read("POST", 6*time.Second)
			w.note("client %d, %s: %v", i, id, got)
			results[i] = sent{id: id, whole: whole, got: got}
		})
	}
	all.Wait()
	if w.trouble {
		select {
		case <-stopped.done:
			w.note("%s has ended", stopped.name)
		case <-time.After(time.Until(term.Add(grace + time.Second))):
			w.note("%s still runs after grace_s", stopped.name)
		}
	}
	code := held
	for i, r := range results {
		ran := 0
		for _, e := range w.engines {
			ran += len(e.seen(r.id))
		}
		after := r.got.at.Sub(term)
		lost := r.got.err != nil && ran > 0 && after < grace*5/6
		w.note("%s: sent whole %.3f s after the stop began, ran %d times, ended %.3f s after the stop began: %v", r.id, r.whole.Sub(term).Seconds(), ran, after.Seconds(), r.got)
		if lost {
			w.note("LOST: client %d: the request was passed on to an engine and its connection ended without an answer", i)
			code = broken
		}
	}
	return code, nil
}
