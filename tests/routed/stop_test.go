// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform/standin"
)

func TestPlannedStop(t *testing.T) {
	convey.Convey("A planned stop answers what is under way, and the box finds its entry on the list again", t, func() {
		s := newSite(t, 2, append(plainEndpoints(), standin.EndpointConfig{
			ID: "dec1", Service: modelService, Zone: "zone-a", Stage: "decode", Events: 20, EventGap: 20 * time.Millisecond,
		})...)
		s.eventually("both boxes are listed", func() bool { return len(s.store.Names("boxes")) == 2 })
		got := make(chan answer, 1)
		go func() {
			// The group's home may not know the endpoint yet, so a refused request
			// is retried.
			a := s.send(s.boxes[0], http.MethodPost, "/stream/x", "prompt", nil)
			for a.status == http.StatusServiceUnavailable {
				a = s.send(s.boxes[0], http.MethodPost, "/stream/x", "prompt", nil)
			}
			got <- a
		}()
		s.eventually("the stream runs", func() bool { return len(s.endpoints["dec1"].Runs()) == 1 })
		s.boxes[0].stop()
		s.eventually("the box is not ready", func() bool { return !s.readyzOK(s.boxes[0]) })
		convey.So(s.readyzOK(s.boxes[1]), convey.ShouldBeTrue)
		a := <-got
		convey.So(a.complete, convey.ShouldBeTrue)
		convey.So(a.body, convey.ShouldEqual, streamBody(20))
		<-s.boxes[0].done
		convey.So(s.store.Names("boxes"), convey.ShouldResemble, []string{"box-1", "box-2"})
	})
	convey.Convey("A planned stop ends though a request does not", t, func() {
		s := newSite(t, 1, plainEndpoints()...)
		for _, e := range s.endpoints {
			e.Behave(standin.Hanging)
		}
		c := s.startRequest(s.boxes[0], "/long/x", "endless")
		defer func() { _ = c.Close() }()
		s.eventually("the request runs", func() bool { return s.allRuns() == 1 })
		s.boxes[0].stop()
		s.eventually("the box has ended", func() bool {
			select {
			case <-s.boxes[0].done:
				return true
			default:
				return false
			}
		})
		convey.So(s.logs.String(), convey.ShouldContainSubstring, "stop_bound_reached")
	})
}
