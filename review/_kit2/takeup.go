// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["takeup"] = takeup }

// takeup: servers of two software versions serve side by side. All routers are killed at one moment, and
// started again a second later. Clients take their streams up where they broke off, at routers in touch.
// Of these at least half as many have to go on as of new streams begin.
func takeup(s *site) []string {
	const (
		servers   = 3
		events    = 110
		gap       = 100 * time.Millisecond
		streams   = 60
		lead      = 2 * time.Second
		killAfter = 3 * time.Second
		downFor   = time.Second
		contact   = 3 * time.Second
		deadline  = 14 * time.Second
	)
	s.configure(7,
		[]route{{name: "draft", service: "model", kind: "streaming", timeoutMS: 14000, targetMS: 900, attempts: 2, resumable: true}},
		[]service{{name: "model", slots: 64, connections: 370, engine: true}})
	zones := []string{"zone-a", "zone-b", "zone-c"}
	work := func(e *server, w http.ResponseWriter, r *http.Request, body string) {
		if e.stream(w, r, body+" "+e.version, events, gap) {
			s.line("server %s has sent all of %s", e.id, r.Header.Get("X-Request-Id"))
		}
	}
	for v, version := range []string{"v1", "v2"} {
		for i := range servers {
			s.startServerOf(version, fmt.Sprintf("i-%d%07d", v+1, i+1), "model", zones[i], "decode", 64, work)
		}
	}
	for i := range 2 {
		s.startServerOf("v1", fmt.Sprintf("i-%08d", 100+i), "model", zones[i], "prefill", 64, work)
	}
	s.startRouters(s.store.Address(), zones...)
	time.Sleep(lead)
	begun := time.Now()
	inTouch := begun.Add(killAfter)
	if s.trouble {
		inTouch = inTouch.Add(downFor + contact)
	}
	cut := make(chan struct{})
	var t takenUp
	var clients sync.WaitGroup
	for i := range streams {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			t.takeUp(s, i, time.Now().Add(deadline), cut, inTouch)
		})
	}
	time.Sleep(time.Until(begun.Add(killAfter)))
	if s.trouble {
		for _, r := range s.routers {
			r.signal(syscall.SIGKILL)
		}
		for _, r := range s.routers {
			<-r.ended
		}
	}
	close(cut)
	if s.trouble {
		time.Sleep(downFor)
		for _, r := range s.routers {
			r.start()
		}
	}
	time.Sleep(time.Until(inTouch))
	fresh, began := 0, 0
	for i := range 24 {
		fresh++
		got := s.open(i%len(s.routers), i, "", 0, "", time.Second)
		if got.status == http.StatusOK && got.last > 0 {
			began++
		}
	}
	clients.Wait()
	up, on := int(t.up.Load()), int(t.on.Load())
	s.line("at routers in touch: %d streams taken up, of which %d go on; %d new streams, of which %d begin; %d streams held events of two versions",
		up, on, fresh, began, t.mixed.Load())
	if up >= 12 && float64(on)/float64(up) < float64(began)/float64(fresh)/2 {
		return []string{fmt.Sprintf("LOST: of %d streams that clients took up %d go on, of %d new ones %d begin", up, on, fresh, began)}
	}
	return nil
}

// takenUp counts the streams that clients took up at routers in touch, those of them that went on, and
// those that held events of two software versions.
type takenUp struct{ up, on, mixed atomic.Int64 }

// takeUp begins a stream, breaks its connection once cut is closed, and takes the stream up until it goes
// on or the deadline is over, as the answers tell it.
func (t *takenUp) takeUp(s *site, i int, deadline time.Time, cut <-chan struct{}, inTouch time.Time) {
	first := s.open(i%len(s.routers), i, "", 0, "", time.Until(deadline), cut)
	if first.status != http.StatusOK || first.last == 0 || first.complete {
		s.line("client %d: its stream did not begin or ended before: %d, last event %d", i, first.status, first.last)
		return
	}
	counted := false
	for try := 1; time.Until(deadline) > time.Second; try++ {
		touch := time.Now().After(inTouch)
		got := s.open((i+try)%len(s.routers), i, first.id, first.last, first.software, time.Until(deadline))
		if touch && !counted {
			counted = true
			t.up.Add(1)
		}
		if got.status == http.StatusOK && got.last > first.last {
			if counted {
				t.on.Add(1)
			}
			if got.mixed {
				t.mixed.Add(1)
			}
			return
		}
		wait := 200 * time.Millisecond
		if got.status == http.StatusServiceUnavailable {
			wait = max(retryAfter(got.header, time.Until(deadline)/3), wait)
		}
		time.Sleep(wait)
	}
}

// opened is what a client got of a stream.
type opened struct {
	id, software    string
	status, last    int
	header          http.Header
	complete, mixed bool
}

// open sends a request for a stream, from after an event on if after is above 0, and reads it until it
// ends, until cut is closed or for some time. software is the version of the events before.
func (s *site) open(router, body int, resumes string, after int, software string, within time.Duration, cut ...<-chan struct{}) (out opened) {
	out.id, out.software = fmt.Sprintf("%016x", rand.Uint64()), software
	c, err := dial(s.routers[router].front)
	if err != nil {
		return out
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(within))
	text := fmt.Sprintf("draft-%03d", body)
	head := fmt.Sprintf("POST /draft/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nX-Model: m\r\n%s: 100,110\r\n%s: 5c1e07a2:20,%08x:80\r\nContent-Length: %d\r\n",
		text, host, names.RequestID, out.id, names.Deadline, max(within.Milliseconds(), 1), names.Tokens, names.Parts, body, len(text))
	if after > 0 {
		head += fmt.Sprintf("%s: %d\r\n%s: %s\r\n", names.LastEvent, after, names.Resumes, resumes)
	}
	if _, err := io.WriteString(c, head+"\r\n"+text); err != nil {
		return out
	}
	for _, end := range cut {
		go func() {
			<-end
			_ = c.Close()
		}()
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return out
	}
	out.status, out.header = resp.StatusCode, resp.Header
	lines := bufio.NewScanner(resp.Body)
	note := ""
	for lines.Scan() {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			out.last, _ = strconv.Atoi(id)
		}
		if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
			version := strings.Fields(data)[1]
			out.mixed = out.mixed || out.software != "" && out.software != version
			out.software = version
		}
		if strings.HasPrefix(lines.Text(), "{") {
			note = lines.Text()
		}
	}
	out.complete = lines.Err() == nil && out.status == http.StatusOK
	s.line("client %s (stream %d, after event %d, resumes %q) at %s: %d, last event %d, version %q, complete %v %s Retry-After %q",
		out.id, body, after, resumes, s.routers[router].name, out.status, out.last, out.software, out.complete, note, out.header.Get("Retry-After"))
	return out
}
