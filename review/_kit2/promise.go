// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["promise"] = promise }

// promise: one of eight servers of a service fails 0.4 of its requests after it has run them, with a 503
// that does not say X-Not-Executed. No client may get a 503 for a request that has run.
func promise(s *site) []string {
	const (
		servers  = 8
		share    = 0.4
		orders   = 240
		interval = 25 * time.Millisecond
	)
	s.configure(7,
		[]route{{name: "debit", service: "ledger", kind: "unsafe", timeoutMS: 1500, targetMS: 300, attempts: 1}},
		[]service{{name: "ledger", slots: 6, connections: 110}})
	zones := []string{"zone-a", "zone-b", "zone-c"}
	grey := func(e *server, w http.ResponseWriter, r *http.Request, body string) {
		time.Sleep(30 * time.Millisecond)
		if s.trouble && e.id == "i-00000001" && rand.Float64() < share {
			e.reply(w, r, http.StatusServiceUnavailable, "posted, but the journal is overloaded\n")
			return
		}
		e.reply(w, r, http.StatusOK, "posted "+body)
	}
	for i := range servers {
		s.startServer(fmt.Sprintf("i-%08d", i+1), "ledger", zones[i%len(zones)], "", 6, grey)
	}
	s.startRouters(s.store.Address(), zones...)
	var breaks []string
	var mutex sync.Mutex
	var clients sync.WaitGroup
	for i := range orders {
		clients.Go(func() {
			order := fmt.Sprintf("order-%03d", i)
			for try := range 2 {
				a := attempt{
					id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodPost, path: "/debit/" + order, body: order, deadline: 3 * time.Second,
				}
				got := s.send(s.routers[(i+try)%len(s.routers)].front, a)
				ran := s.ran(a.id)
				if ran > 0 && isPromise(got.status) {
					mutex.Lock()
					breaks = append(breaks, fmt.Sprintf("REFUSED: %s of %s got %d and had run %d times", a.id, order, got.status, ran))
					mutex.Unlock()
				}
				if !isPromise(got.status) {
					return
				}
				// The client takes the answer for the promise that it is and comes back.
				time.Sleep(100 * time.Millisecond)
			}
		})
		time.Sleep(interval)
	}
	clients.Wait()
	return breaks
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// ran returns how often servers have run a request.
func (s *site) ran(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	n := 0
	for _, e := range s.servers {
		n += e.ranOf(id)
	}
	return n
}
