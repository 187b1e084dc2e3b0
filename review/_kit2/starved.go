// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["starved"] = starved }

// tally counts what became of the requests of one kind.
type tally struct{ sent, served, refused, later, laterServed atomic.Int64 }

// starved: all servers of a service crash at one moment, and others come in their places two seconds
// later. Clients poll one resource with equal safe requests, others send unsafe requests of which no two
// are equal. No kind may then be served less than a quarter as often as all.
func starved(s *site) []string {
	const (
		servers    = 3
		crashAfter = 1500 * time.Millisecond
		downFor    = 2 * time.Second
		recovery   = 12 * time.Second
		length     = 80 * time.Second
		pollers    = 16
		others     = 6
		pause      = 60 * time.Millisecond
		deadline   = 3 * time.Second
	)
	s.configure(7,
		[]route{
			{name: "board", service: "desk", kind: "safe", timeoutMS: 1500, targetMS: 300, attempts: 2},
			{name: "debit", service: "desk", kind: "unsafe", timeoutMS: 1500, targetMS: 300, attempts: 1},
		},
		[]service{{name: "desk", slots: 6, connections: 110}})
	zones := []string{"zone-a", "zone-b", "zone-c"}
	work := func(e *server, w http.ResponseWriter, r *http.Request, body string) {
		time.Sleep(60*time.Millisecond + rand.N(40*time.Millisecond))
		if r.Context().Err() == nil {
			e.reply(w, r, http.StatusOK, "answer to "+r.URL.Path+" "+body)
		}
	}
	start := func(round int) (out []*server) {
		for i := range servers {
			out = append(out, s.startServer(fmt.Sprintf("i-%d%07d", round, i+1), "desk", zones[i], "", 6, work))
		}
		return out
	}
	first := start(0)
	s.startRouters(s.store.Address(), zones...)
	begun := time.Now()
	var crash sync.WaitGroup
	crash.Go(func() {
		time.Sleep(crashAfter)
		if !s.trouble {
			return
		}
		for _, e := range first {
			go e.stop()
		}
		s.line("all servers of the service have crashed")
		time.Sleep(downFor)
		start(1)
		// The entries of servers that crashed go after three heartbeats of silence.
		time.Sleep(3*heartbeat - downFor)
		for _, e := range first {
			s.store.Delete("servers", e.id)
		}
	})
	var board, debit tally
	poll := func(t *tally, client int, next func() attempt) {
		for n := client; time.Since(begun) < length; n++ {
			t.sent.Add(1)
			later := time.Since(begun) > crashAfter+downFor+recovery
			if later {
				t.later.Add(1)
			}
			got := s.send(s.routers[n%len(s.routers)].front, next())
			switch {
			case got.status == http.StatusOK && got.err == nil:
				t.served.Add(1)
				if later {
					t.laterServed.Add(1)
				}
			case got.status == http.StatusServiceUnavailable:
				t.refused.Add(1)
				s.line("refused: %s, Retry-After %q", got.body, got.header.Get("Retry-After"))
				// The client waits as told, up to a third of the time that it has left.
				time.Sleep(retryAfter(got.header, deadline/3))
			}
			time.Sleep(pause)
		}
	}
	var running sync.WaitGroup
	for i := range pollers {
		running.Go(func() {
			poll(&board, i, func() attempt {
				return attempt{id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodGet, path: "/board/today", deadline: deadline}
			})
		})
	}
	for i := range others {
		running.Go(func() {
			poll(&debit, i, func() attempt {
				id := fmt.Sprintf("%016x", rand.Uint64())
				return attempt{id: id, method: http.MethodPost, path: "/debit/" + id, body: "debit " + id, deadline: deadline}
			})
		})
	}
	running.Wait()
	crash.Wait()
	for name, t := range map[string]*tally{"board": &board, "debit": &debit} {
		s.line("%s: %d sent, %d served, %d refused; of the %d sent later than 12 s after the servers were back, %d served",
			name, t.sent.Load(), t.served.Load(), t.refused.Load(), t.later.Load(), t.laterServed.Load())
	}
	all := share(board.served.Load()+debit.served.Load(), board.sent.Load()+debit.sent.Load())
	own := share(board.served.Load(), board.sent.Load())
	s.line("served: board %.3f, all %.3f", own, all)
	if own < all/4 {
		return []string{fmt.Sprintf("Starved: the kind board is served %.3f of the time, all requests %.3f", own, all)}
	}
	return nil
}

// retryAfter returns how long an answer tells a client to wait, at most the given time.
func retryAfter(h http.Header, most time.Duration) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), most)
}

func share(part, whole int64) float64 { return float64(part) / float64(max(whole, 1)) }
