// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/protocol/relayapi"
)

// waitTimeout limits every wait for an answer.
const waitTimeout = 20 * time.Second

// server is an endpoint whose answers the test writes byte by byte.
type server struct {
	t        *testing.T
	listener net.Listener
	// accepted delivers the accepted connections in order.
	accepted chan *accepted
}

// accepted is a connection with the requests read from it.
type accepted struct {
	net.Conn
	requests chan *http.Request
}

func newServer(t *testing.T) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{t: t, listener: l, accepted: make(chan *accepted, 16)}
	go s.serve()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *server) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		a := &accepted{Conn: c, requests: make(chan *http.Request, 16)}
		s.accepted <- a
		go func() {
			defer close(a.requests)
			reader := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				a.requests <- req
			}
		}()
	}
}

func (s *server) endpoint() relay.Endpoint {
	return relay.Endpoint{Service: "s", ID: "e1", Address: s.listener.Addr().String()}
}

// text returns an answer with a Content-Length, which has one digit.
func text(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRunridge-Request-Id: " + id + "\r\nRunridge-Signature: x\r\nContent-Length: " +
		string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// sent is the result of a Send in the background.
type sent struct {
	body string
	err  error
}

func send(c *Client, e relay.Endpoint, id string) chan sent {
	out := make(chan sent, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		a, err := c.Send(ctx, relay.Call{Endpoint: e, Method: http.MethodGet, Target: "/", Host: "h", RequestID: id})
		if err != nil {
			out <- sent{err: err}
			return
		}
		data, err := io.ReadAll(a.Body)
		out <- sent{body: string(data), err: err}
	}()
	return out
}

func client() *Client { return New(Config{Names: relayapi.Default()}) }

func TestReuse(t *testing.T) {
	convey.Convey("A clean connection serves one request after the other", t, func() {
		s, c := newServer(t), client()
		first := send(c, s.endpoint(), "1")
		conn := <-s.accepted
		<-conn.requests
		_, _ = io.WriteString(conn, text("1", "one"))
		convey.So((<-first).body, convey.ShouldEqual, "one")
		second := send(c, s.endpoint(), "2")
		req := <-conn.requests
		convey.So(req.Header.Get("Runridge-Request-Id"), convey.ShouldEqual, "2")
		_, _ = io.WriteString(conn, text("2", "two"))
		convey.So((<-second).body, convey.ShouldEqual, "two")
		convey.So(c.Opened(), convey.ShouldEqual, 1)
	})
}

func TestStrayAnswers(t *testing.T) {
	convey.Convey("An answer to another request is skipped, and its connection isn't reused", t, func() {
		s, c := newServer(t), client()
		first := send(c, s.endpoint(), "1")
		conn := <-s.accepted
		<-conn.requests
		_, _ = io.WriteString(conn, text("0", "stray")+text("1", "own"))
		convey.So((<-first).body, convey.ShouldEqual, "own")
		second := send(c, s.endpoint(), "2")
		other := <-s.accepted
		<-other.requests
		_, _ = io.WriteString(other, text("2", "two"))
		convey.So((<-second).body, convey.ShouldEqual, "two")
	})
	convey.Convey("An answer without a request ID is rejected", t, func() {
		s, c := newServer(t), client()
		first := send(c, s.endpoint(), "1")
		conn := <-s.accepted
		<-conn.requests
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
		convey.So(errorx.IsOfType((<-first).err, adapter.ErrMayHaveRun), convey.ShouldBeTrue)
	})
}

func TestSurplusBytes(t *testing.T) {
	convey.Convey("A connection on which bytes follow an answer isn't reused", t, func() {
		s, c := newServer(t), client()
		first := send(c, s.endpoint(), "1")
		conn := <-s.accepted
		<-conn.requests
		_, _ = io.WriteString(conn, text("1", "one"))
		convey.So((<-first).body, convey.ShouldEqual, "one")
		_, _ = io.WriteString(conn, text("1", "more"))
		// The client closes it as soon as it sees them.
		_, open := <-conn.requests
		convey.So(open, convey.ShouldBeFalse)
		second := send(c, s.endpoint(), "2")
		other := <-s.accepted
		<-other.requests
		_, _ = io.WriteString(other, text("2", "two"))
		convey.So((<-second).body, convey.ShouldEqual, "two")
	})
}

func TestFailureTypes(t *testing.T) {
	convey.Convey("A refused connection proves that the request did not run", t, func() {
		s, c := newServer(t), client()
		e := s.endpoint()
		convey.So(s.listener.Close(), convey.ShouldBeNil)
		convey.So(errorx.IsOfType((<-send(c, e, "1")).err, adapter.ErrNotRun), convey.ShouldBeTrue)
	})
	convey.Convey("A connection that ends after the request was sent leaves open whether it ran", t, func() {
		s, c := newServer(t), client()
		first := send(c, s.endpoint(), "1")
		conn := <-s.accepted
		<-conn.requests
		convey.So(conn.Close(), convey.ShouldBeNil)
		convey.So(errorx.IsOfType((<-first).err, adapter.ErrMayHaveRun), convey.ShouldBeTrue)
	})
	convey.Convey("A box keeps to its share of an endpoint's connections, and a request beyond it did not run", t, func() {
		s := newServer(t)
		c := New(Config{Names: relayapi.Default(), Share: func(string) int { return 1 }})
		first := send(c, s.endpoint(), "1")
		conn := <-s.accepted
		<-conn.requests
		convey.So(errorx.IsOfType((<-send(c, s.endpoint(), "2")).err, adapter.ErrNotRun), convey.ShouldBeTrue)
		_, _ = io.WriteString(conn, text("1", "one"))
		convey.So((<-first).body, convey.ShouldEqual, "one")
	})
}

func TestKeepAlive(t *testing.T) {
	cases := map[string]struct {
		header string
		want   time.Duration
	}{
		"none":         {"", shortIdle},
		"seconds":      {"timeout=5, max=100", 3 * time.Second},
		"other order":  {"max=100, Timeout=10", 6 * time.Second},
		"not a number": {"timeout=x", shortIdle},
		"zero":         {"timeout=0", shortIdle},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				h := http.Header{}
				if c.header != "" {
					h.Set("Keep-Alive", c.header)
				}
				convey.So(keepAlive(h), convey.ShouldEqual, c.want)
			})
		})
	}
}

// Guards against an endpoint that works on past the caller's deadline by the time that the dial took.
func TestDeadlineContainsTheTimeOfTheDial(t *testing.T) {
	convey.Convey("The time that an endpoint is given is what the dial has left", t, func() {
		const remaining, dial = 10 * time.Second, 200 * time.Millisecond
		s := newServer(t)
		var dialer net.Dialer
		c := New(Config{Names: relayapi.Default(), Dial: func(ctx context.Context, address string) (net.Conn, error) {
			time.Sleep(dial)
			return dialer.DialContext(ctx, "tcp", address)
		}})
		go func() {
			_, _ = c.Send(t.Context(), relay.Call{
				Endpoint: s.endpoint(), Method: http.MethodGet, Target: "/", Host: "h", RequestID: "1", Remaining: remaining,
			})
		}()
		req := <-(<-s.accepted).requests
		given, err := strconv.Atoi(req.Header.Get(relayapi.Default().Deadline))
		convey.So(err, convey.ShouldBeNil)
		convey.So(time.Duration(given)*time.Millisecond, convey.ShouldBeLessThanOrEqualTo, remaining-dial)
	})
}
