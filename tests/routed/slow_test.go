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
	// heldBytes is how much the box of these tests may buffer for callers, in bytes.
	heldBytes = 4 << 20
	// slowCallers is the number of concurrent slow callers: without a limit they make a
	// box buffer ten times heldBytes.
	slowCallers = 400
	// connectionBytes is what one connection costs this process in bytes, beside what the box
	// buffers: socket buffers, stacks and the records of its request, on both sides.
	connectionBytes = 48 << 10
	// otherCallers is the number of other requests in the meantime, with bodies of otherBody bytes.
	otherCallers = 20
	otherBody    = 5000
	// longBody is the longest body that the configuration allows, in bytes.
	longBody = 100_000
	// longAnswer is the size of an answer that the box reads whole before it forwards it, in bytes.
	longAnswer = 200_000
	// smallReadBuffer is the receive buffer of a caller that does not read, in bytes.
	smallReadBuffer = 4 << 10
)

// liveHeap runs a garbage collection and returns the bytes of allocated heap objects.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// dial connects to a box as a caller.
func (s *site) dial(b *runningBox) *net.TCPConn {
	s.t.Helper()
	c, err := net.Dial("tcp", b.callerAddr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// dialSmall connects as a caller with a small receive buffer.
func (s *site) dialSmall(b *runningBox) *net.TCPConn {
	s.t.Helper()
	c := s.dial(b)
	if err := c.SetReadBuffer(smallReadBuffer); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// sendPartial sends a request with a body of the given length but withholds the last missing bytes
// of it, and returns the id of the request.
func (s *site) sendPartial(c net.Conn, path string, body, missing int) string {
	s.t.Helper()
	id := fmt.Sprintf("request-%d", ids.Add(1))
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Token-Usage: 100,20\r\nContent-Length: %d\r\n\r\n%s",
		path, host, id, body, strings.Repeat("b", body-missing))
	if err != nil {
		s.t.Logf("request %s was not taken whole: %v", id, err)
	}
	return id
}

// checkOthersServed sends the requests of other callers, retries those that are refused, and fails
// the test unless all succeed.
func (s *site) checkOthersServed(b *runningBox) {
	s.t.Helper()
	body := strings.Repeat("o", otherBody)
	for range otherCallers {
		s.eventually("another caller is served", func() bool {
			got := s.send(b, http.MethodPost, "/unsafe/a", body, nil)
			if got.status == http.StatusServiceUnavailable {
				time.Sleep(100 * time.Millisecond)
				return false
			}
			return got.status == http.StatusOK && got.complete
		})
	}
}

// checkHeld checks that the box's peak of buffered bytes and the growth of this process's heap
// since before stay within their limits.
func (s *site) checkHeld(b *runningBox, before int64) {
	s.t.Helper()
	grown := liveHeap() - before
	told := b.Status().Held
	s.t.Logf("heap grown by %d bytes, held %+v", grown, told)
	convey.So(told.Peak, convey.ShouldBeLessThanOrEqualTo, heldBytes)
	convey.So(grown, convey.ShouldBeLessThan, heldBytes+slowCallers*connectionBytes)
}

func heldSite(t *testing.T, endpoints ...standin.EndpointConfig) *site {
	t.Helper()
	s := newSite(t, 0, endpoints...)
	s.heldLimit = heldBytes
	b := s.start("box-1")
	s.eventually("the box is ready", func() bool { return b.Ready() })
	return s
}

func TestUploadsThatStop(t *testing.T) {
	convey.Convey("Bodies that stop one byte short take no more memory than the box's limit, and others are served", t, func() {
		s := heldSite(t, plainEndpoints()...)
		b := s.boxes[0]
		before := liveHeap()
		var stopped []net.Conn
		for range slowCallers {
			c := s.dial(b)
			s.sendPartial(c, "/unsafe/a", longBody, 1)
			stopped = append(stopped, c)
		}
		s.checkOthersServed(b)
		s.checkHeld(b, before)
		runs := s.allRuns()
		convey.So(runs, convey.ShouldEqual, otherCallers)
		for _, c := range stopped {
			_ = c.Close()
		}
		s.eventually("nothing is held any more", func() bool { return b.Status().Held.Used == 0 })
	})
}

func TestCallersThatReadNothing(t *testing.T) {
	convey.Convey("Answers that nobody reads take no more memory than the box's limit, and others are served", t, func() {
		endpoints := plainEndpoints()
		for i := range endpoints {
			endpoints[i].Bytes = longAnswer
		}
		s := heldSite(t, endpoints...)
		b := s.boxes[0]
		before := liveHeap()
		var unread []net.Conn
		for range slowCallers {
			c := s.dialSmall(b)
			s.sendPartial(c, "/safe/a", 1, 0)
			unread = append(unread, c)
		}
		s.checkOthersServed(b)
		s.checkHeld(b, before)
		for _, c := range unread {
			_ = c.Close()
		}
		s.eventually("nothing is held any more", func() bool { return b.Status().Held.Used == 0 })
	})
}

// endedAs reports whether the box has logged the end of a request with this outcome.
func (s *site) endedAs(id, outcome string) bool {
	for _, line := range strings.Split(s.logs.String(), "\n") {
		if strings.Contains(line, "msg=request_ended") && strings.Contains(line, "outcome="+outcome) && strings.Contains(line, id+" ") {
			return true
		}
	}
	return false
}

func TestSlowReader(t *testing.T) {
	convey.Convey("A caller that reads slowly occupies no endpoint, and receives its complete answer", t, func() {
		const (
			events, eventBytes = 45, 2000
			readSize           = 1000
		)
		s := heldSite(t, standin.EndpointConfig{
			ID: "dec1", Service: modelService, Zone: "zone-a", Stage: "decode", Events: events, Bytes: eventBytes,
		})
		b := s.boxes[0]
		c := s.dialSmall(b)
		id := s.sendPartial(c, "/stream/a", 1, 0)
		s.eventually("the request is over though nothing was read", func() bool { return s.endedAs(id, "answered") })
		convey.So(b.Active(), convey.ShouldEqual, 1)

		resp, err := http.ReadResponse(bufio.NewReaderSize(c, readSize), nil)
		convey.So(err, convey.ShouldBeNil)
		text, err := io.ReadAll(resp.Body)
		convey.So(err, convey.ShouldBeNil)
		convey.So(strings.Count(string(text), "id: "), convey.ShouldEqual, events)
		s.eventually("the box holds nothing", func() bool { return b.Active() == 0 && b.Status().Held.Used == 0 })
	})
}

func TestEndpointCutsUnread(t *testing.T) {
	convey.Convey("An endpoint that cuts off an answer because the caller does not read is not taken for crashed", t, func() {
		const (
			events, eventBytes = 300, 64 << 10
			patience           = 1200 * time.Millisecond
		)
		var endpoints []standin.EndpointConfig
		for i := range 3 {
			endpoints = append(endpoints, standin.EndpointConfig{
				ID: fmt.Sprintf("dec%d", i), Service: modelService, Zone: "zone-a", Stage: "decode",
				Events: events, Bytes: eventBytes, Patience: patience,
			})
		}
		s := heldSite(t, endpoints...)
		b := s.boxes[0]
		c := s.dial(b)
		id := s.sendPartial(c, "/resumable/a", 1, 0)
		cut := func() int {
			n := 0
			for _, e := range s.endpoints {
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
