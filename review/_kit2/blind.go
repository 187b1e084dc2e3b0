// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["blind"] = blind }

// blind: one machine after the other loses its power for 3.4 s and comes back. Meanwhile the store
// forgets its history, just after a configuration with one more route was acknowledged. Reads that may be
// stale are 6 s behind, and what other machines had open to the lost one stays silent. Three seconds after
// its start, no router may act by the older configuration.
func blind(s *site) []string {
	const (
		behind    = 6 * time.Second
		deafAfter = time.Second
		ackAfter  = 1300 * time.Millisecond
		deafUntil = 2 * time.Second
		dark      = 3400 * time.Millisecond
		contact   = 3 * time.Second
		lookFrom  = contact + 50*time.Millisecond
		lookUntil = contact + 400*time.Millisecond
		lookEvery = 10 * time.Millisecond
		pause     = 4 * time.Second
		rounds    = 7
		groups    = 12
	)
	work := func(e *server, w http.ResponseWriter, r *http.Request, _ string) {
		time.Sleep(5 * time.Millisecond)
		e.reply(w, r, http.StatusOK, "answer to "+r.URL.Path)
	}
	// Each service has a home among the routers, which all others ask.
	var services []service
	var routes []route
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range groups {
		name := fmt.Sprintf("desk%d", i)
		services = append(services, service{name: name, slots: 64, connections: 400})
		routes = append(routes, route{name: name, service: name, kind: "safe", timeoutMS: 1500, targetMS: 300, attempts: 2})
		s.startServer(fmt.Sprintf("i-%08d", i+1), name, zones[i%len(zones)], "", 64, work)
	}
	s.configure(7, routes, services)
	s.machines, s.terse = true, true
	front := newStoreFront(s.store, behind, s.closed)
	defer front.server.Close()
	s.startRouters(front.address(), "zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-b", "zone-c", "zone-c")
	// Clients at all routers.
	stop := make(chan struct{})
	defer close(stop)
	for i := range s.routers {
		go func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				go s.quiet(s.routers[i].front, fmt.Sprintf("/desk%d/x", n%groups))
			}
		}()
	}
	// Lists of the routers themselves are stale too.
	time.Sleep(behind)
	var breaks []string
	for n := range rounds {
		r := s.routers[(n+2)%len(s.routers)]
		lost := time.Now()
		if s.trouble {
			count := r.machine.darken()
			for _, other := range s.routers {
				other.machine.forsake(r)
			}
			r.signal(syscall.SIGKILL)
			<-r.ended
			s.line("%s has no power, %d connections to it are silent", r.name, count)
			time.Sleep(time.Until(lost.Add(deafAfter)))
			s.store.HangWatches(true)
		}
		time.Sleep(time.Until(lost.Add(ackAfter)))
		name := fmt.Sprintf("more%d", n)
		routes = append(routes, route{name: name, service: "desk0", kind: "safe", timeoutMS: 1500, targetMS: 300, attempts: 2})
		s.configure(8+n, routes, services)
		time.Sleep(time.Until(lost.Add(deafUntil)))
		if s.trouble {
			s.store.Forget()
			s.store.HangWatches(false)
			s.line("the store has forgotten its history")
			time.Sleep(time.Until(lost.Add(dark)))
			r.machine.light()
			r.start()
		}
		started := time.Now()
		time.Sleep(lookFrom)
		late, served, first, last := 0, 0, time.Duration(0), time.Duration(0)
		for time.Since(started) < lookUntil {
			since := time.Since(started)
			status := s.quiet(r.front, "/"+name+"/x")
			s.line("%s, sent %s after its start: /%s/x got %d", r.name, since, name, status)
			switch status {
			case http.StatusOK:
				served++
			case http.StatusNotFound:
				if late == 0 {
					first = since
				}
				late, last = late+1, since
			}
			time.Sleep(lookEvery)
		}
		s.line("%s: of the requests for /%s/ from %s after its start on, %d got 200 and %d got 404 (%s to %s)", r.name, name, lookFrom, served, late, first, last)
		if late > 0 {
			breaks = append(breaks, fmt.Sprintf("CONFIG: %s answered 404 to %d requests for a route that was acknowledged over 2 s before, %s to %s after its start", r.name, late, first, last))
		}
		time.Sleep(pause)
	}
	return breaks
}

// quiet sends a request and returns its status, 0 without an answer.
func (s *site) quiet(address, path string) int {
	c, err := dial(address)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	return s.exchange(c, attempt{id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodGet, path: path, deadline: 3 * time.Second}).status
}
