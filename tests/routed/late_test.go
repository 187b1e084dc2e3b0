// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform/standin"
	"runridge.example/runridge/transport/reach"
)

// heldDial holds up the connections to one address until it is released.
type heldDial struct {
	address string
	begun   chan struct{}
	release chan struct{}
	once    sync.Once
}

func (d *heldDial) dial(ctx context.Context, address string) (net.Conn, error) {
	if address == d.address {
		d.once.Do(func() { close(d.begun) })
		select {
		case <-d.release:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Guards against requests that reach an endpoint long after its departure was known, because it was not
// checked again after the connection was made.
func TestRequestIsSentAfterItsEndpointLeftDuringTheDial(t *testing.T) {
	type testCase struct {
		path    string
		leaving standin.EndpointConfig
		others  []standin.EndpointConfig
		// gone removes the entry of the endpoint instead of marking it as draining.
		gone bool
	}
	plain := standin.EndpointConfig{ID: "p1", Service: plainService, Zone: "zone-a"}
	decode := standin.EndpointConfig{ID: "dec1", Service: modelService, Zone: "zone-a", Stage: "decode", Events: 6}
	prefill := standin.EndpointConfig{ID: "pre1", Service: modelService, Zone: "zone-a", Stage: "prefill", Events: 6}
	cases := map[string]testCase{
		"unsafe request":              {path: "/unsafe/x", leaving: plain},
		"safe request":                {path: "/safe/x", leaving: plain},
		"entry gone without draining": {path: "/safe/x", leaving: plain, gone: true},
		"stream":                      {path: "/stream/x", leaving: decode},
		"prefill":                     {path: "/stream/x", leaving: prefill, others: []standin.EndpointConfig{decode}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Nothing is sent to an endpoint that left while the box connected to it", t, func() {
				s := newSite(t, 0, append(c.others, c.leaving)...)
				leaving := s.endpoints[c.leaving.ID]
				held := &heldDial{address: leaving.Address(), begun: make(chan struct{}), release: make(chan struct{})}
				s.dialEndpoint = map[string]reach.Dial{"box-1": held.dial}
				b := s.start("box-1")
				s.eventually("the box is ready", b.Ready)
				s.eventually("the box waits for changes", func() bool { return s.store.Watching("servers") > 0 })
				got := make(chan answer, 1)
				go func() { got <- s.send(b, http.MethodPost, c.path, "prompt", nil) }()
				<-held.begun
				if c.gone {
					s.store.Delete("servers", leaving.ID)
				} else {
					s.store.Put("servers", leaving.ID, leaving.Spec(true))
				}
				s.eventually("the box knows that the endpoint left", func() bool { return b.knowsUnusable(leaving.ID) })
				close(held.release)
				a := <-got
				convey.So(leaving.Sends(), convey.ShouldEqual, 0)
				convey.So(a.status == http.StatusOK, convey.ShouldEqual, len(c.others) > 0)
			})
		})
	}
}
