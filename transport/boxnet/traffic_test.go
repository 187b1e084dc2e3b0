// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxnet

import (
	"context"
	"net"
	"testing"
	"time"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/protocol/boxwire"
	"runridge.example/runridge/state/locality"
)

func TestFlows(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	other := startProcess(t, l)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	a := New(ctx, Config{
		Box: "a", Log: log.Discard(), Handler: func(boxwire.Owner, boxwire.Message) {},
		DistanceTo: func(string) locality.Distance { return locality.OtherRegion },
	})
	a.SetPeers(map[string]Peer{"b": {Address: l.Addr().String()}})
	a.Send("b", &boxwire.Pull{Have: 1})
	a.Send("b", &boxwire.Pull{Have: 2})
	<-other.got
	<-other.got
	frame, err := boxwire.Append(nil, &boxwire.Pull{Have: 1}, boxwire.VersionNone)
	if err != nil {
		t.Fatal(err)
	}
	want := Flow{Kind: boxwire.KindPull, Distance: locality.OtherRegion, Bytes: 2 * uint64(len(frame)), Messages: 2}
	for _, f := range a.Flows() {
		if f.Kind == boxwire.KindPull && f != want {
			t.Errorf("flow %+v, want %+v", f, want)
		}
		if f.Kind.String() == "unknown" {
			t.Errorf("kind %d has no name", f.Kind)
		}
	}
	// Messages are counted after the write, so the receiver may have them before.
	sent, _, messages := a.Traffic()
	for ; messages < 2; sent, _, messages = a.Traffic() {
		time.Sleep(time.Millisecond)
	}
	total := uint64(0)
	for _, f := range a.Flows() {
		total += f.Bytes
	}
	if total != sent {
		t.Errorf("flows add up to %d bytes of %d sent", total, sent)
	}
}
