// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["resumed"] = resumed }

// resumed: one router after the other has a share of its connections to the servers reset, while one of
// the servers is grey and fails part of its requests with a signed 429. The router goes on with the
// streams at other servers. No client may get bytes that are no answer in the protocol.
func resumed(s *site) []string {
	const (
		decoders = 8
		events   = 70
		gap      = 40 * time.Millisecond
		streams  = 800
		interval = 40 * time.Millisecond
		// failShare is the part of its requests that the grey server fails, and resetShare the part
		// of a router's connections that are reset every resetInterval.
		failShare, resetShare = 0.45, 0.5
		resetInterval         = 2500 * time.Millisecond
	)
	s.configure(7,
		[]route{{name: "draft", service: "model", kind: "streaming", timeoutMS: 14000, targetMS: 900, attempts: 2, resumable: true}},
		[]service{{name: "model", slots: 64, connections: 370, engine: true}})
	zones := []string{"zone-a", "zone-b", "zone-c"}
	work := func(e *server, w http.ResponseWriter, r *http.Request, body string) {
		if s.trouble && e.id == "i-00000001" && rand.Float64() < failShare {
			e.reply(w, r, http.StatusTooManyRequests, "the model is overloaded, try later\n")
			return
		}
		if e.stream(w, r, body, events, gap) {
			s.line("server %s has sent all of %s", e.id, r.Header.Get("X-Request-Id"))
		}
	}
	var proxies []*proxy
	for i := range decoders {
		e := s.startServer(fmt.Sprintf("i-%08d", i+1), "model", zones[i%len(zones)], "decode", 64, work)
		proxies = append(proxies, e.putBehindProxy())
	}
	for i := range 2 {
		s.startServer(fmt.Sprintf("i-%08d", 100+i), "model", zones[i], "prefill", 64, work)
	}
	s.startRouters(s.store.Address(), zones...)
	var mutex sync.Mutex
	var breaks []string
	routerOf := make(map[string]int)
	ended := make(chan struct{})
	var resets sync.WaitGroup
	resets.Go(func() {
		for n := 0; s.trouble; n++ {
			select {
			case <-ended:
				return
			case <-time.After(resetInterval):
			}
			struck := n % len(s.routers)
			count := 0
			for _, p := range proxies {
				count += p.reset(resetShare, func(id string) bool {
					mutex.Lock()
					defer mutex.Unlock()
					at, known := routerOf[id]
					return known && at == struck
				})
			}
			s.line("%d connections of %s are reset", count, s.routers[struck].name)
		}
	})
	var clients sync.WaitGroup
	for i := range streams {
		clients.Go(func() {
			body := fmt.Sprintf("draft-%03d", i)
			a := attempt{
				id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodPost, path: "/draft/" + body, body: body, deadline: 14 * time.Second,
				header: []string{"X-Model: m", names.Tokens + ": 100,70", fmt.Sprintf("%s: 5c1e07a2:20,%08x:80", names.Parts, i)},
			}
			at := i % len(s.routers)
			mutex.Lock()
			routerOf[a.id] = at
			mutex.Unlock()
			c, err := net.DialTimeout("tcp", s.routers[at].front, time.Second)
			if err != nil {
				panic(err)
			}
			defer func() { _ = c.Close() }()
			got := s.sendOn(c, a)
			s.line("client %s: answer %d, %d bytes, error %v", a.id, got.status, len(got.body), got.err)
			if at := bytes.LastIndex(got.raw, []byte("HTTP/1.1 ")); at > 0 {
				mutex.Lock()
				breaks = append(breaks, fmt.Sprintf("MIXED: within the stream %s, after %d bytes of its answer, came %q", a.id, at, got.raw[at:]))
				mutex.Unlock()
			}
		})
		time.Sleep(interval)
	}
	clients.Wait()
	close(ended)
	resets.Wait()
	return breaks
}
