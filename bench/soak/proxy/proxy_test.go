// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// echo answers every connection with what it sends.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// says sends a byte and reports whether it comes back.
func says(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	if _, err := c.Write([]byte{'x'}); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := c.Read(make([]byte, 1))
	return err == nil
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echoing is a net with a proxy from us to them, who answer with what we send.
func echoing(t *testing.T) (*Net, *Proxy) {
	t.Helper()
	owners := NewOwners()
	owners.Set(os.Getpid(), "us")
	n := New(nil)
	t.Cleanup(n.Close)
	p, err := n.Listen(Box, "them", owners.Of)
	if err != nil {
		t.Fatal(err)
	}
	p.SetTarget(echo(t))
	return n, p
}

const (
	soon = 50 * time.Millisecond
	ages = 20 * time.Second
)

func TestFaults(t *testing.T) {
	n, p := echoing(t)
	ours := Match{Kind: Box, From: "us", To: "them"}
	convey.Convey("Bytes pass, and the end of a connection does", t, func() {
		c := dial(t, p.Addr())
		convey.So(says(t, c, ages), convey.ShouldBeTrue)
		_ = c.(*net.TCPConn).CloseWrite()
		_, err := c.Read(make([]byte, 1))
		convey.So(err, convey.ShouldEqual, io.EOF)
	})
	for name, f := range map[string]Fault{"forth": {CutForth: true}, "back": {CutBack: true}, "both": {CutForth: true, CutBack: true}} {
		convey.Convey("What is sent during a cut "+name+" comes after it", t, func() {
			c := dial(t, p.Addr())
			convey.So(says(t, c, ages), convey.ShouldBeTrue)
			end := n.Apply(ours, f)
			convey.So(says(t, c, soon), convey.ShouldBeFalse)
			end()
			_ = c.SetReadDeadline(time.Now().Add(ages))
			_, err := c.Read(make([]byte, 1))
			convey.So(err, convey.ShouldBeNil)
		})
	}
	convey.Convey("A cut of another pair changes nothing", t, func() {
		c := dial(t, p.Addr())
		defer n.Apply(Match{Kind: Box, From: "others"}, Fault{CutForth: true})()
		convey.So(says(t, c, ages), convey.ShouldBeTrue)
	})
	convey.Convey("Silence strikes open connections and spares new ones", t, func() {
		old := dial(t, p.Addr())
		convey.So(says(t, old, ages), convey.ShouldBeTrue)
		end := n.Apply(ours, Fault{Silent: true})
		convey.So(says(t, old, soon), convey.ShouldBeFalse)
		convey.So(says(t, dial(t, p.Addr()), ages), convey.ShouldBeTrue)
		end()
	})
	convey.Convey("A reset ends open connections, and refusal new ones", t, func() {
		c := dial(t, p.Addr())
		convey.So(says(t, c, ages), convey.ShouldBeTrue)
		end := n.Apply(ours, Fault{Reset: true, Refuse: true})
		convey.So(says(t, c, ages), convey.ShouldBeFalse)
		convey.So(refuses(t, p.Addr()), convey.ShouldBeTrue)
		end()
		convey.So(refuses(t, p.Addr()), convey.ShouldBeFalse)
	})
}

// refuses says whether a new connection is reset. The reset may come so soon that connecting
// ends with it.
func refuses(t *testing.T, address string) bool {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if errors.Is(err, syscall.ECONNRESET) {
		return true
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return !says(t, c, ages)
}

// TestResetOfManyConnections sends on many connections right after the reset that ends
// them. Each was ended by a goroutine of its own, some time after Apply had returned; a
// byte that was sent until then came back.
func TestResetOfManyConnections(t *testing.T) {
	const connections = 200
	n, p := echoing(t)
	convey.Convey("Nothing that is sent after a reset comes back", t, func() {
		var open []net.Conn
		for range connections {
			c := dial(t, p.Addr())
			convey.So(says(t, c, ages), convey.ShouldBeTrue)
			open = append(open, c)
		}
		defer n.Apply(Match{Kind: Box}, Fault{Reset: true})()
		for _, c := range open {
			// One that has ended may refuse it.
			_, _ = c.Write([]byte{'x'})
		}
		passed := 0
		for _, c := range open {
			_ = c.SetReadDeadline(time.Now().Add(ages))
			if _, err := c.Read(make([]byte, 1)); err == nil {
				passed++
			}
		}
		convey.So(passed, convey.ShouldEqual, 0)
	})
}

func TestLine(t *testing.T) {
	convey.Convey("What goes over a line waits for what went before", t, func() {
		l := NewLine(1000)
		convey.So(l.take(500), convey.ShouldBeBetween, 400*time.Millisecond, 501*time.Millisecond)
		convey.So(l.take(500), convey.ShouldBeBetween, 800*time.Millisecond, 1001*time.Millisecond)
	})
}

func TestOwners(t *testing.T) {
	convey.Convey("The process that has connected is known, and one that was forgotten is not", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = l.Close() }()
		dial(t, l.Addr().String())
		c, err := l.Accept()
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = c.Close() }()
		owners := NewOwners()
		convey.So(owners.Of(c), convey.ShouldBeEmpty)
		owners.Set(os.Getpid(), "us")
		convey.So(owners.Of(c), convey.ShouldEqual, "us")
		owners.Forget(os.Getpid())
		convey.So(owners.Of(c), convey.ShouldBeEmpty)
	})
}
