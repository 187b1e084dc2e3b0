// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxnet

import (
	"context"
	"net"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/protocol/boxwire"
)

func TestPeerVersions(t *testing.T) {
	const kind = boxwire.KindSuspects
	old := &boxwire.Hello{Box: "a", Incarnation: 1}
	next := &boxwire.Hello{Box: "a", Incarnation: 2, Version: boxwire.VersionLoose}
	sender := boxwire.Owner{Box: "a", Incarnation: 1}
	cases := map[string]struct {
		happens func(p *peerVersions)
		version boxwire.Version
		reads   bool
	}{
		"a box that has not greeted":                  {func(*peerVersions) {}, boxwire.VersionNone, false},
		"an earlier build":                            {func(p *peerVersions) { p.greeted(old) }, boxwire.VersionNone, false},
		"this build":                                  {func(p *peerVersions) { p.greeted(next) }, boxwire.VersionLoose, true},
		"an earlier build that sends the kind itself": {func(p *peerVersions) { p.greeted(old); p.heard(sender, kind) }, boxwire.VersionNone, true},
		"a later process than the one that sent it":   {func(p *peerVersions) { p.greeted(old); p.heard(sender, kind); p.greeted(next) }, boxwire.VersionLoose, true},
		"an earlier build that follows this one":      {func(p *peerVersions) { p.greeted(next); p.greeted(old) }, boxwire.VersionNone, false},
		"what an earlier process sent counts no more": {func(p *peerVersions) {
			p.greeted(next)
			p.greeted(old)
			p.heard(boxwire.Owner{Box: "a", Incarnation: 2}, kind)
		}, boxwire.VersionNone, false},
		"a box whose process may have ended":             {func(p *peerVersions) { p.greeted(next); p.forget("a") }, boxwire.VersionNone, false},
		"a kind that all builds read, without a version": {func(p *peerVersions) { p.greeted(old); p.heard(sender, boxwire.KindPull) }, boxwire.VersionNone, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var p peerVersions
			c.happens(&p)
			version, reads := p.of("a", kind)
			if version != c.version || reads != c.reads {
				t.Fatalf("version %d, reads %v", version, reads)
			}
			if _, reads := p.of("a", boxwire.KindPull); !reads {
				t.Fatal("a kind that all builds read is not sent")
			}
		})
	}
}

func TestUnknownKinds(t *testing.T) {
	convey.Convey("What a later build says is passed over and counted, and its connection goes on", t, func() {
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
		const later = boxwire.VersionNow + 1
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
