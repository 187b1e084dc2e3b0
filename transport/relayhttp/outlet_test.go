// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relayhttp

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/coordination/held"
	"runridge.example/runridge/coordination/relay"
	"runridge.example/runridge/modules/log"
)

// smallBuffer is a socket buffer size, in bytes, that lets the kernel buffer only a little of
// what the caller doesn't read.
const smallBuffer = 4 << 10

// newPair returns an outlet and the caller's end of its connection.
func newPair(t *testing.T, budget *held.Budget) (*outlet, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	raw, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = caller.Close()
		_ = raw.Close()
	})
	_ = caller.(*net.TCPConn).SetReadBuffer(smallBuffer)
	_ = raw.(*net.TCPConn).SetWriteBuffer(smallBuffer)
	o := newOutlet(raw, budget)
	o.pieceTimeout = 100 * time.Millisecond
	return o, caller.(*net.TCPConn)
}

func budgetOf(size int64) *held.Budget {
	return held.New(held.Config{Bytes: size, Log: log.Discard()})
}

func TestOutlet(t *testing.T) {
	text := bytes.Repeat([]byte("0123456789abcdef"), 16<<10)
	convey.Convey("A caller who reads late gets everything, and the writer did not block", t, func() {
		budget := budgetOf(1 << 20)
		o, caller := newPair(t, budget)
		o.pieceTimeout = time.Minute
		n, err := o.Write(text)
		convey.So(n, convey.ShouldEqual, len(text))
		convey.So(err, convey.ShouldBeNil)
		convey.So(o.unread(), convey.ShouldBeGreaterThan, 0)
		convey.So(budget.Status().ByKind["unread"], convey.ShouldBeGreaterThan, 0)
		got := make([]byte, len(text))
		_, err = io.ReadFull(caller, got)
		convey.So(err, convey.ShouldBeNil)
		convey.So(bytes.Equal(got, text), convey.ShouldBeTrue)
		left, err := o.finish(time.Minute)
		convey.So(left, convey.ShouldEqual, 0)
		convey.So(err, convey.ShouldBeNil)
		convey.So(budget.Status().Used, convey.ShouldEqual, 0)
	})
	convey.Convey("Beyond a caller's share the writer blocks, and a caller who reads nothing is dropped", t, func() {
		budget := budgetOf(4 << 20)
		o, _ := newPair(t, budget)
		piece := text[:unreadShare/4]
		var err error
		written := 0
		for err == nil {
			var n int
			n, err = o.Write(piece)
			written += n
		}
		convey.So(errors.Is(err, relay.ErrSlowCaller), convey.ShouldBeTrue)
		convey.So(budget.Status().Peak, convey.ShouldBeLessThanOrEqualTo, unreadShare)
		_, err = o.finish(time.Minute)
		convey.So(errors.Is(err, relay.ErrSlowCaller), convey.ShouldBeTrue)
		convey.So(budget.Status().Used, convey.ShouldEqual, 0)
	})
	convey.Convey("Without any budget the writer writes as fast as the caller reads", t, func() {
		budget := budgetOf(0)
		o, caller := newPair(t, budget)
		o.pieceTimeout = time.Minute
		go func() {
			_, _ = o.Write(text)
			_ = o.raw.Close()
		}()
		got, err := io.ReadAll(caller)
		convey.So(err, convey.ShouldBeNil)
		convey.So(bytes.Equal(got, text), convey.ShouldBeTrue)
		convey.So(budget.Status().Evictable, convey.ShouldEqual, 0)
	})
	convey.Convey("An evicted answer ends", t, func() {
		budget := budgetOf(1 << 20)
		o, caller := newPair(t, budget)
		o.pieceTimeout = time.Minute
		_, err := o.Write(text)
		convey.So(err, convey.ShouldBeNil)
		o.evict()
		_, err = o.finish(time.Minute)
		convey.So(errors.Is(err, relay.ErrSlowCaller), convey.ShouldBeTrue)
		got, _ := io.ReadAll(caller)
		convey.So(len(got), convey.ShouldBeLessThan, len(text))
		convey.So(budget.Status().Used, convey.ShouldEqual, 0)
	})
}
