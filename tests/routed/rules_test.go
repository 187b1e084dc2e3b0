// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform/standin"
)

// TestEngineHeadersOfCallersDropped sends each header that only a box may set on requests to engines.
func TestEngineHeadersOfCallersDropped(t *testing.T) {
	forged := map[string]string{
		"X-Kv-Hold":        "hold-of-another",
		"X-Pin-Ms":         "4000",
		"X-Kv-Backup":      "1.2.3.4:5",
		"X-Kv-Source":      "1.2.3.4:5/handle",
		"Kv-Fetch":         "1.2.3.4:5",
		"X-Expect-Version": "7",
	}
	convey.Convey("No header that sets an engine's memory or weights reaches an engine as a caller sent it", t, func() {
		s := newSite(t, 1, modelEndpoints()...)
		for name, value := range forged {
			a := s.send(s.boxes[0], http.MethodPost, "/stream/x", "prompt", map[string]string{name: value, "X-Other": "kept"})
			convey.So(a.status, convey.ShouldEqual, http.StatusOK)
			run := s.runByID(a.id)
			convey.So(run.Header.Get("X-Other"), convey.ShouldEqual, "kept")
			convey.So(run.Header.Get(name), convey.ShouldNotEqual, value)
		}
	})
}

func TestStoreAway(t *testing.T) {
	faults := map[string]standin.Fault{"busy": standin.Busy, "silent": standin.Silent, "reset": standin.Reset}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			convey.Convey("While the platform's store is away, requests without a key are served and a leaving endpoint stays left", t, func() {
				s := newSite(t, 1, plainEndpoints()[:2]...)
				b := s.boxes[0]
				s.store.Put("servers", "p1", s.endpoints["p1"].Spec(true))
				s.eventually("the box knows that it leaves", func() bool { return b.knowsUnusable("p1") })
				s.store.SetFault(fault)
				before := s.endpoints["p1"].Sends()
				for _, path := range []string{"/safe/x", "/unsafe/x"} {
					for range 10 {
						a := s.send(b, http.MethodPost, path, "", nil)
						convey.So(a.status, convey.ShouldEqual, http.StatusOK)
						convey.So(a.body, convey.ShouldEqual, "answer of p2")
						convey.So(a.complete, convey.ShouldBeTrue)
					}
				}
				convey.So(s.endpoints["p1"].Sends(), convey.ShouldEqual, before)
			})
		})
	}
}
