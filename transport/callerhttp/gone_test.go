// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package callerhttp

import (
	"io"
	"net"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// tcpPair returns the two ends of a TCP connection.
func tcpPair(t *testing.T) (caller, box net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	caller, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	box = <-accepted
	t.Cleanup(func() { _, _ = caller.Close(), box.Close() })
	return caller, box
}

func TestGoneWatch(t *testing.T) {
	convey.Convey("The watch fires when the caller has closed", t, func() {
		caller, box := tcpPair(t)
		gone := make(chan struct{})
		w := watchGone(box, func() { close(gone) })
		convey.So(caller.Close(), convey.ShouldBeNil)
		<-gone
		w.stop()
	})
	convey.Convey("It fires for a caller who closes after sending bytes of a next request", t, func() {
		caller, box := tcpPair(t)
		gone := make(chan struct{})
		w := watchGone(box, func() { close(gone) })
		_, err := io.WriteString(caller, "GET / HTTP/1.1\r\n")
		convey.So(err, convey.ShouldBeNil)
		convey.So(caller.Close(), convey.ShouldBeNil)
		<-gone
		w.stop()
	})
	convey.Convey("If stopped in time, it does not fire and consumes no byte", t, func() {
		caller, box := tcpPair(t)
		fired := false
		w := watchGone(box, func() { fired = true })
		w.stop()
		convey.So(fired, convey.ShouldBeFalse)
		_, err := io.WriteString(caller, "x")
		convey.So(err, convey.ShouldBeNil)
		one := make([]byte, 1)
		_, err = io.ReadFull(box, one)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(one), convey.ShouldEqual, "x")
	})
}
