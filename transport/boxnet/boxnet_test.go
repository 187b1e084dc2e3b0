// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxnet

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/protocol/boxwire"
)

// waitTimeout limits every wait for a state in this test.
const waitTimeout = 20 * time.Second

// process is one run of box b at an address. got receives the Have of each Pull that it reads.
type process struct {
	got  chan uint64
	end  context.CancelFunc
	done chan struct{}
}

func startProcess(t *testing.T, l net.Listener) *process {
	t.Helper()
	ctx, end := context.WithCancel(context.Background())
	p := &process{got: make(chan uint64, 16), end: end, done: make(chan struct{})}
	n := New(ctx, Config{Box: "b", Log: log.Discard(), Handler: func(_ boxwire.Owner, m boxwire.Message) {
		p.got <- m.(*boxwire.Pull).Have
	}})
	go func() {
		defer close(p.done)
		_ = n.Serve(ctx, l)
	}()
	t.Cleanup(p.stop)
	return p
}

func (p *process) stop() {
	p.end()
	<-p.done
}

func TestRestart(t *testing.T) {
	convey.Convey("The first message to a box that has restarted at the same address is not lost", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		address := l.Addr().String()
		first := startProcess(t, l)
		ctx, end := context.WithCancel(context.Background())
		defer end()
		a := New(ctx, Config{Box: "a", Log: log.Discard(), Handler: func(boxwire.Owner, boxwire.Message) {}})
		a.SetPeers(map[string]Peer{"b": {Address: address}})
		a.Send("b", &boxwire.Pull{Have: 1})
		convey.So(<-first.got, convey.ShouldEqual, 1)
		first.stop()
		deadline := time.Now().Add(waitTimeout)
		for a.lost.Load() == 0 && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		convey.So(a.lost.Load(), convey.ShouldEqual, 1)
		l, err = net.Listen("tcp", address)
		convey.So(err, convey.ShouldBeNil)
		second := startProcess(t, l)
		a.Send("b", &boxwire.Pull{Have: 2})
		select {
		case got := <-second.got:
			convey.So(got, convey.ShouldEqual, 2)
		case <-time.After(waitTimeout):
			convey.So("the message", convey.ShouldEqual, "received")
		}
	})
}
