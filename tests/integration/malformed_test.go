// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/fakes/fleet"
	"runridge.example/runridge/fakes/plain"
	"runridge.example/runridge/protocol/callerapi"
	"runridge.example/runridge/protocol/engineapi"
	"runridge.example/runridge/protocol/relayapi"
	"runridge.example/runridge/tests/peer"
)

// answerRaw makes the plain services with the given names answer with a text, or well if it is empty.
func answerRaw(f *fleet.Fleet, text string, names ...string) {
	for _, name := range names {
		if text == "" {
			f.Plain[name].TakeOver(nil)
			continue
		}
		f.Plain[name].TakeOver(writeAndClose(text))
	}
}

// Guards against a malformed answer of a plain service that reaches the caller, as a success even if its status
// is 000, or that is believed.
func TestMalformedAnswerOfPlainServiceReachesCaller(t *testing.T) {
	for name, answer := range peer.MalformedAnswers() {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A call that may not be repeated ends as unknown", t, func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				f := startFleet(t, 1)
				url := "http://" + f.Boxes[0].Box.CallerAddr() + "/portal/x"
				header := map[string]string{callerapi.HeaderAccount: "franquicia", plain.HeaderKey: name}
				answerRaw(f, answer.Text(engineapi.HeaderLeaving+": "+relayapi.LeavingYes, engineapi.HeaderLimit+": 0.001"), plainNames(f)...)
				status, _, body := call(ctx, t, http.MethodPost, url, header, nil)
				convey.So(status, convey.ShouldEqual, http.StatusBadGateway)
				convey.So(decodeRefusal(t, body).Outcome, convey.ShouldEqual, callerapi.OutcomeUnknown)
				convey.So(runs(f, name), convey.ShouldEqual, 1)
				// The notices in the answer would keep the next call from all of them.
				answerRaw(f, "", plainNames(f)...)
				status, _, _ = call(ctx, t, http.MethodPost, url, header, nil)
				convey.So(status, convey.ShouldEqual, http.StatusAccepted)
			})
		})
	}
}

// Guards against a call that fails because one endpoint sends malformed answers, though it may be repeated.
func TestMalformedAnswerEndsRepeatableCall(t *testing.T) {
	for name, answer := range peer.MalformedAnswers() {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Another endpoint answers a call that may be repeated", t, func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				f := startFleet(t, 1)
				all := plainNames(f)
				header := map[string]string{callerapi.HeaderAccount: "franquicia", plain.HeaderKey: name}
				answerRaw(f, answer.Text(), all[0])
				for range 2 * len(all) {
					status, _, _ := call(ctx, t, http.MethodGet, "http://"+f.Boxes[0].Box.CallerAddr()+"/portal/x", header, nil)
					convey.So(status, convey.ShouldEqual, http.StatusAccepted)
				}
			})
		})
	}
}

// plainNames returns the names of all plain services of a fleet.
func plainNames(f *fleet.Fleet) []string { return slices.Collect(maps.Keys(f.Plain)) }
