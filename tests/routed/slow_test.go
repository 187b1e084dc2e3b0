// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform/standin"
)

const (
	// heldBytes is what the box of these tests may hold for callers.
	heldBytes = 4 << 20
	// slowCallers is how many slow callers there are at once: without a bound they have a
	// box hold ten times what it may.
	slowCallers = 400
	// connectionBytes is what one connection costs this process on all its sides beside
	// what is held: buffers, stacks and the records of its request.
	connectionBytes = 48 << 10
	// otherCallers is how many others come meanwhile, with bodies of otherBody bytes.
	otherCallers = 20
	otherBody    = 5000
	// longBody is the longest body that the configuration allows, in bytes.
	longBody = 100_000
	// longAnswer is an answer that is read whole before it is passed on, in bytes.
	longAnswer = 200_000
	// smallWindow is the receive buffer of a caller who does not read, in bytes.
	smallWindow = 4 << 10
)

// liveHeap is the bytes of the heap that are in use, after a collection.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// dial connects to a box as a caller.
func (s *site) dial(b *running) *net.TCPConn {
	s.t.Helper()
	c, err := net.Dial("tcp", b.caller)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// dialSmall connects as a caller whose machine takes in little that it does not read.
func (s *site) dialSmall(b *running) *net.TCPConn {
	s.t.Helper()
	c := s.dial(b)
	if err := c.SetReadBuffer(smallWindow); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// put sends a request with a body, all of it but for the last bytes.
func (s *site) put(c net.Conn, path string, body, lack int) string {
	s.t.Helper()
	id := fmt.Sprintf("request-%d", ids.Add(1))
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Token-Usage: 100,20\r\nContent-Length: %d\r\n\r\n%s",
		path, host, id, body, strings.Repeat("b", body-lack))
	if err != nil {
		s.t.Logf("request %s was not taken whole: %v", id, err)
	}
	return id
}

// othersAreServed sends requests of others, who come again when they are told to.
func (s *site) othersAreServed(b *running) {
	s.t.Helper()
	body := strings.Repeat("o", otherBody)
	for range otherCallers {
		s.eventually("another caller is served", func() bool {
			got := s.send(b, http.MethodPost, "/unsafe/a", body, nil)
			if got.status == http.StatusServiceUnavailable {
				time.Sleep(100 * time.Millisecond)
				return false
			}
			return got.status == http.StatusOK && got.whole
		})
	}
}

// heldWithin checks what the box holds and held at the most, and the heap of this process.
func (s *site) heldWithin(b *running, before int64) {
	s.t.Helper()
	grown := liveHeap() - before
	told := b.Status().Held
	s.t.Logf("heap grown by %d bytes, held %+v", grown, told)
	convey.So(told.Most, convey.ShouldBeLessThanOrEqualTo, heldBytes)
	convey.So(grown, convey.ShouldBeLessThan, heldBytes+slowCallers*connectionBytes)
}

func heldSite(t *testing.T, endpoints ...standin.EndpointConfig) *site {
	t.Helper()
	s := newSite(t, 0, endpoints...)
	s.held = heldBytes
	b := s.start("box-1")
	s.eventually("the box is ready", func() bool { return b.Ready() })
	return s
}

func TestUploadsThatStop(t *testing.T) {
	convey.Convey("Bodies that stop one byte short take no more than the box's bound, and others are served", t, func() {
		s := heldSite(t, plainEnds()...)
		b := s.boxes[0]
		before := liveHeap()
		var stopped []net.Conn
		for range slowCallers {
			c := s.dial(b)
			s.put(c, "/unsafe/a", longBody, 1)
			stopped = append(stopped, c)
		}
		s.othersAreServed(b)
		s.heldWithin(b, before)
		runs := s.allRuns()
		convey.So(runs, convey.ShouldEqual, otherCallers)
		for _, c := range stopped {
			_ = c.Close()
		}
		s.eventually("nothing is held any more", func() bool { return b.Status().Held.Used == 0 })
	})
}

func TestCallersThatReadNothing(t *testing.T) {
	convey.Convey("Answers that nobody reads take no more than the box's bound, and others are served", t, func() {
		ends := plainEnds()
		for i := range ends {
			ends[i].Bytes = longAnswer
		}
		s := heldSite(t, ends...)
		b := s.boxes[0]
		before := liveHeap()
		var deaf []net.Conn
		for range slowCallers {
			c := s.dialSmall(b)
			s.put(c, "/safe/a", 1, 0)
			deaf = append(deaf, c)
		}
		s.othersAreServed(b)
		s.heldWithin(b, before)
		for _, c := range deaf {
			_ = c.Close()
		}
		s.eventually("nothing is held any more", func() bool { return b.Status().Held.Used == 0 })
	})
}

// endedAs says whether the box has ended a request with an outcome.
func (s *site) endedAs(id, outcome string) bool {
	for _, line := range strings.Split(s.logs.String(), "\n") {
		if strings.Contains(line, "msg=request_ended") && strings.Contains(line, "outcome="+outcome) && strings.Contains(line, id+" ") {
			return true
		}
	}
	return false
}

func TestSlowReader(t *testing.T) {
	convey.Convey("A caller who reads slowly keeps no endpoint, and gets its answer whole", t, func() {
		const (
			events, eventBytes = 45, 2000
			sip                = 1000
		)
		s := heldSite(t, standin.EndpointConfig{
			ID: "dec1", Service: modelService, Zone: "zone-a", Stage: "decode", Events: events, Bytes: eventBytes,
		})
		b := s.boxes[0]
		c := s.dialSmall(b)
		id := s.put(c, "/stream/a", 1, 0)
		s.eventually("the request is over though nothing was read", func() bool { return s.endedAs(id, "answered") })
		convey.So(b.Active(), convey.ShouldEqual, 1)

		resp, err := http.ReadResponse(bufio.NewReaderSize(c, sip), nil)
		convey.So(err, convey.ShouldBeNil)
		text, err := io.ReadAll(resp.Body)
		convey.So(err, convey.ShouldBeNil)
		convey.So(strings.Count(string(text), "id: "), convey.ShouldEqual, events)
		s.eventually("the box holds nothing", func() bool { return b.Active() == 0 && b.Status().Held.Used == 0 })
	})
}

func TestEndpointCutsUnread(t *testing.T) {
	convey.Convey("An endpoint that cuts an answer off since its caller does not read has not ended", t, func() {
		const (
			events, eventBytes = 300, 64 << 10
			patience           = 1200 * time.Millisecond
		)
		var ends []standin.EndpointConfig
		for i := range 3 {
			ends = append(ends, standin.EndpointConfig{
				ID: fmt.Sprintf("dec%d", i), Service: modelService, Zone: "zone-a", Stage: "decode",
				Events: events, Bytes: eventBytes, Patience: patience,
			})
		}
		s := heldSite(t, ends...)
		b := s.boxes[0]
		c := s.dial(b)
		id := s.put(c, "/resumable/a", 1, 0)
		cut := func() int {
			n := 0
			for _, e := range s.ends {
				n += e.CutOff()
			}
			return n
		}
		s.eventually("the endpoint has cut the answer off", func() bool { return cut() == 1 })
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		convey.So(err, convey.ShouldBeNil)
		_ = c.SetReadDeadline(time.Now().Add(patience * 10))
		_, err = io.Copy(io.Discard, resp.Body)
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(errors.Is(err, os.ErrDeadlineExceeded), convey.ShouldBeFalse)
		s.eventually("the request is over", func() bool { return s.endedAs(id, "caller_slow") })
		convey.So(s.runs(id), convey.ShouldEqual, 1)
		convey.So(s.logs.String(), convey.ShouldNotContainSubstring, "msg=endpoint_in_doubt")
		convey.So(s.logs.String(), convey.ShouldNotContainSubstring, "msg=endpoint_ended")
		s.eventually("the box holds nothing", func() bool { return b.Active() == 0 && b.Status().Held.Used == 0 })
	})
}
