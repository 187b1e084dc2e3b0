// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/stages"
	"runridge.example/runridge/platform"
	"runridge.example/runridge/platform/standin"
	"runridge.example/runridge/transport/upstream"
)

// threePrefills returns four engines, three of them in the prefill stage.
func threePrefills() []standin.EndpointConfig {
	var out []standin.EndpointConfig
	for i := range 4 {
		stage := "prefill"
		if i == 3 {
			stage = "decode"
		}
		out = append(out, standin.EndpointConfig{ID: fmt.Sprint("e", i), Service: modelService, Zone: "zone-a", Stage: stage, Events: 6})
	}
	return out
}

// orderedEngines returns the ids of the engines that have received orders.
func (s *site) orderedEngines() []string {
	var out []string
	for id, e := range s.endpoints {
		if len(e.Orders()) > 0 {
			out = append(out, id)
		}
	}
	return out
}

// TestStagesChange starts with three of four engines in the prefill stage, while the settings ask
// for a quarter: the surplus engines must be ordered to decode while requests are served.
func TestStagesChange(t *testing.T) {
	convey.Convey("Prefill engines beyond the configured share are switched to decode by one order each", t, func() {
		s := newSite(t, 2, threePrefills()...)
		s.eventually("two engines were ordered", func() bool {
			a := s.send(s.boxes[0], http.MethodPost, "/stream/x", "prompt", nil)
			convey.So(a.status, convey.ShouldEqual, http.StatusOK)
			return len(s.orderedEngines()) == 2
		})
		for _, id := range s.orderedEngines() {
			orders := s.endpoints[id].Orders()
			convey.So(orders, convey.ShouldHaveLength, 1)
			convey.So(orders[0].Stage, convey.ShouldEqual, "decode")
			convey.So(orders[0].Holder, convey.ShouldStartWith, "box-")
			convey.So(orders[0].Fence, convey.ShouldBeGreaterThan, 0)
			s.store.Put("servers", id, s.endpoints[id].Spec(false))
		}
		// The engines that changed their stage decode now.
		s.eventually("one of them runs a request", func() bool {
			a := s.send(s.boxes[1], http.MethodPost, "/stream/x", "prompt", nil)
			convey.So(a.status, convey.ShouldEqual, http.StatusOK)
			return len(s.endpoints[s.orderedEngines()[0]].Runs()) > 0
		})
		convey.So(s.store.Names("leases"), convey.ShouldHaveLength, 2)
	})
}

// TestLeasesAndOrders uses leases and orders over the wire, against the store and an engine.
func TestLeasesAndOrders(t *testing.T) {
	ctx := context.Background()
	convey.Convey("A lease is written by compare-and-set", t, func() {
		store := standin.NewStore()
		defer store.Close()
		p := platform.New(store.Address())
		defer p.Close()
		found, err := p.Lease(ctx, "e0")
		convey.So(err, convey.ShouldBeNil)
		convey.So(found, convey.ShouldResemble, stages.Lease{})
		first, err := p.WriteLease(ctx, "e0", "box-1", 1, 0)
		convey.So(err, convey.ShouldBeNil)
		_, err = p.WriteLease(ctx, "e0", "box-2", 1, 0)
		convey.So(errors.Is(err, adapter.ErrConflict), convey.ShouldBeTrue)
		second, err := p.WriteLease(ctx, "e0", "box-1", 2, first)
		convey.So(err, convey.ShouldBeNil)
		convey.So(second, convey.ShouldBeGreaterThan, first)
		_, err = p.WriteLease(ctx, "e0", "box-2", 1, first)
		convey.So(errors.Is(err, adapter.ErrConflict), convey.ShouldBeTrue)
		found, err = p.Lease(ctx, "e0")
		convey.So(err, convey.ShouldBeNil)
		convey.So(found, convey.ShouldResemble, stages.Lease{Revision: second, Holder: "box-1"})
		convey.So(p.EndLease(ctx, "e0", first), convey.ShouldNotBeNil)
		convey.So(p.EndLease(ctx, "e0", second), convey.ShouldBeNil)
		convey.So(store.Names("leases"), convey.ShouldBeEmpty)
	})
	convey.Convey("An order says whether it was carried out", t, func() {
		e := standin.NewEndpoint(standin.EndpointConfig{ID: "e0", Service: modelService, Zone: "zone-a", Stage: "prefill"})
		defer e.Close()
		client := upstream.New(upstream.Config{Names: platform.Names()})
		defer client.Close()
		to := stages.Engine{ID: "e0", Service: modelService, Address: e.Address()}
		report, err := client.Report(ctx, to)
		convey.So(err, convey.ShouldBeNil)
		convey.So(report, convey.ShouldResemble, stages.Report{Prefill: true})
		convey.So(client.Order(ctx, to, stages.Order{Holder: "box-1", Fence: 5}), convey.ShouldBeNil)
		report, err = client.Report(ctx, to)
		convey.So(err, convey.ShouldBeNil)
		convey.So(report, convey.ShouldResemble, stages.Report{Orders: 1})
		refused := map[string]error{
			"an old count":     client.Order(ctx, to, stages.Order{Prefill: true, Holder: "box-1", Fence: 6}),
			"an old fence":     client.Order(ctx, to, stages.Order{Prefill: true, Holder: "box-1", Fence: 4, Orders: 1}),
			"another instance": client.Order(ctx, stages.Engine{ID: "e9", Address: e.Address()}, stages.Order{Holder: "box-1", Fence: 7, Orders: 1}),
			"nobody there":     client.Order(ctx, stages.Engine{ID: "e8", Address: "127.0.0.1:1"}, stages.Order{Holder: "box-1", Fence: 7, Orders: 1}),
		}
		for _, err := range refused {
			convey.So(errors.Is(err, stages.ErrRefused), convey.ShouldBeTrue)
		}
		e.LoseOrders(true)
		err = client.Order(ctx, to, stages.Order{Prefill: true, Holder: "box-1", Fence: 8, Orders: 1})
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(errors.Is(err, stages.ErrRefused), convey.ShouldBeFalse)
	})
}
