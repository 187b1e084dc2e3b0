// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxnet

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/protocol/boxwire"
)

func TestPeerVersions(t *testing.T) {
	const kind = boxwire.KindSuspects
	old := &boxwire.Hello{Box: "a", Incarnation: 1}
	next := &boxwire.Hello{Box: "a", Incarnation: 2, Version: boxwire.VersionLenient}
	sender := boxwire.Owner{Box: "a", Incarnation: 1}
	cases := map[string]struct {
		events func(p *peerVersions)
		// member is the box as known from membership.
		member  Peer
		version boxwire.Version
		reads   bool
	}{
		"no hello yet":     {events: func(*peerVersions) {}, version: boxwire.VersionNone, reads: false},
		"an earlier build": {events: func(p *peerVersions) { p.recordHello(old) }, version: boxwire.VersionNone, reads: false},
		"this build":       {events: func(p *peerVersions) { p.recordHello(next) }, version: boxwire.VersionLenient, reads: true},
		"an earlier build that sends the kind itself":     {events: func(p *peerVersions) { p.recordHello(old); p.recordKind(sender, kind) }, version: boxwire.VersionNone, reads: true},
		"a later process than the one that sent the kind": {events: func(p *peerVersions) { p.recordHello(old); p.recordKind(sender, kind); p.recordHello(next) }, version: boxwire.VersionLenient, reads: true},
		"an earlier build that replaces this one":         {events: func(p *peerVersions) { p.recordHello(next); p.recordHello(old) }, version: boxwire.VersionNone, reads: false},
		"a kind sent by an earlier process no longer counts": {events: func(p *peerVersions) {
			p.recordHello(next)
			p.recordHello(old)
			p.recordKind(boxwire.Owner{Box: "a", Incarnation: 2}, kind)
		}, version: boxwire.VersionNone, reads: false},
		"a box whose process may have ended": {events: func(p *peerVersions) {
			p.recordHello(next)
			p.forget("a", Peer{Incarnation: 2, Version: boxwire.VersionLenient})
		}, version: boxwire.VersionNone, reads: false},
		"a process that is known again by what it sends": {events: func(p *peerVersions) {
			p.recordHello(next)
			p.forget("a", Peer{Incarnation: 2})
			p.recordKind(boxwire.Owner{Box: "a", Incarnation: 2}, boxwire.KindOrigin)
		}, version: boxwire.VersionOrigins, reads: true},
		"a kind that all builds read, without a version": {events: func(p *peerVersions) { p.recordHello(old); p.recordKind(sender, boxwire.KindPull) }, version: boxwire.VersionNone, reads: false},
		"no hello yet, but known from membership": {
			events: func(*peerVersions) {}, member: Peer{Incarnation: 2, Version: boxwire.VersionLenient}, version: boxwire.VersionLenient, reads: true,
		},
		"membership knows a later process": {
			events: func(p *peerVersions) { p.recordHello(old) }, member: Peer{Incarnation: 2, Version: boxwire.VersionLenient}, version: boxwire.VersionLenient, reads: true,
		},
		"a hello takes precedence over membership": {
			events: func(p *peerVersions) { p.recordHello(next) }, member: Peer{Incarnation: 2}, version: boxwire.VersionLenient, reads: true,
		},
		"membership knows a process that may have ended": {
			events: func(p *peerVersions) { p.forget("a", Peer{Incarnation: 2, Version: boxwire.VersionLenient}) },
			member: Peer{Incarnation: 2, Version: boxwire.VersionLenient}, version: boxwire.VersionNone,
		},
		"the process that replaces it": {
			events: func(p *peerVersions) { p.forget("a", Peer{Incarnation: 2}) },
			member: Peer{Incarnation: 3, Version: boxwire.VersionLenient}, version: boxwire.VersionLenient, reads: true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var p peerVersions
			c.events(&p)
			version, reads := p.of("a", c.member, kind)
			if version != c.version || reads != c.reads {
				t.Fatalf("version %d, reads %v", version, reads)
			}
			if _, reads := p.of("a", c.member, boxwire.KindPull); !reads {
				t.Fatal("a kind that all builds read is not sent")
			}
		})
	}
}

func TestUnknownKinds(t *testing.T) {
	convey.Convey("Unknown messages of a later build are skipped and counted, and the connection stays open", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		ctx, end := context.WithCancel(context.Background())
		got := make(chan uint64)
		n := New(ctx, Config{Box: "b", Log: log.Discard(), Handler: func(_ boxwire.Owner, m boxwire.Message) {
			got <- m.(*boxwire.Pull).Have
		}})
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = n.Serve(ctx, l)
		}()
		c, err := net.Dial("tcp", l.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		const later = boxwire.VersionCurrent + 1
		stream, err := boxwire.Append(nil, &boxwire.Hello{Box: "a", Incarnation: 1, Version: later}, boxwire.VersionNone)
		convey.So(err, convey.ShouldBeNil)
		const future = 200
		stream = append(stream, future, 3, 1, 2, 3)
		stream, err = boxwire.Append(stream, &boxwire.Pull{Have: 7}, later)
		convey.So(err, convey.ShouldBeNil)
		_, err = c.Write(stream)
		convey.So(err, convey.ShouldBeNil)
		convey.So(<-got, convey.ShouldEqual, 7)
		convey.So(n.Unknown(), convey.ShouldResemble, map[boxwire.Kind]uint64{future: 1})
		convey.So(n.Versions(), convey.ShouldResemble, []Version{{Box: "a", Version: later}})
		end()
		<-done
		_ = c.Close()
	})
}

func TestFailedDials(t *testing.T) {
	cases := map[string]struct {
		err  error
		want boxwire.Version
	}{
		"a refusal": {err: &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}, want: boxwire.VersionNone},
		"a timeout": {err: &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, want: boxwire.VersionCurrent},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := New(t.Context(), Config{Box: "b", Log: log.Discard()})
			n.versions.recordHello(&boxwire.Hello{Box: "a", Incarnation: 1, Version: boxwire.VersionCurrent})
			n.dialFailed("a", c.err)
			if got, _ := n.versions.of("a", Peer{Incarnation: 1}, boxwire.KindPull); got != c.want {
				t.Errorf("version %d, want %d", got, c.want)
			}
		})
	}
}

func TestBrokenConnectionLeavesAPeerWithoutVersion(t *testing.T) {
	convey.Convey("Two boxes that know each other learn their versions again after one has forgotten the other's", t, func() {
		ctx, end := context.WithCancel(context.Background())
		boxes, addresses := make(map[string]*Net), make(map[string]Peer)
		var serving sync.WaitGroup
		for _, name := range []string{"a", "b"} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			convey.So(err, convey.ShouldBeNil)
			n := New(ctx, Config{Box: name, Incarnation: 1, Log: log.Discard(), Handler: func(boxwire.Owner, boxwire.Message) {}})
			boxes[name], addresses[name] = n, Peer{Address: l.Addr().String(), Incarnation: 1}
			serving.Go(func() { _ = n.Serve(ctx, l) })
		}
		defer serving.Wait()
		defer end()
		a, b := boxes["a"], boxes["b"]
		a.SetPeers(map[string]Peer{"b": addresses["b"]})
		b.SetPeers(map[string]Peer{"a": addresses["a"]})
		knows := func() bool {
			v, _ := a.versions.of("b", addresses["b"], boxwire.KindOrigin)
			return v == boxwire.VersionCurrent
		}
		await := func(what string) {
			for deadline := time.Now().Add(waitTimeout); !knows(); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal(what)
				}
			}
		}
		b.Send("a", &boxwire.Pull{Have: 1})
		await("b's first hello")
		// The connection from a breaks, while that from b stays open.
		a.forget("b")
		a.Send("b", &boxwire.Pull{Have: 1})
		await("b's version is not known again")
	})
}

func TestUnreadKindTakesOtherMessagesWithIt(t *testing.T) {
	convey.Convey("A message of a kind that a peer without a version has sent itself is sent to it, with those before it", t, func() {
		n := New(t.Context(), Config{Box: "b", Log: log.Discard()})
		n.versions.recordHello(&boxwire.Hello{Box: "a", Incarnation: 1})
		n.versions.recordKind(boxwire.Owner{Box: "a", Incarnation: 1}, boxwire.KindSuspects)
		n.SetPeers(map[string]Peer{"a": {Address: "127.0.0.1:1", Incarnation: 1}})
		buf, err := n.appendFrame(nil, "a", &boxwire.Pull{Have: 7})
		convey.So(err, convey.ShouldBeNil)
		whole, err := n.appendFrame(buf, "a", &boxwire.Suspects{Origin: "b"})
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(whole), convey.ShouldBeGreaterThan, len(buf))
	})
}
