// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform/standin"
)

const (
	// deadlyPart is the ID of a part of prompts that crashes each engine that begins to answer one.
	deadlyPart = "dead01"
	// maxPartCrashes is how many engines a part may crash until the boxes recognize it, and
	// maxPartArrivals how many requests with it may reach engines after that.
	maxPartCrashes  = 5
	maxPartArrivals = 3
)

// partEngines returns an engine that prefills and several that decode, which deadlyPart crashes.
func partEngines() []standin.EndpointConfig {
	out := []standin.EndpointConfig{{ID: "pre", Service: modelService, Zone: "zone-a", Stage: "prefill", Events: 6}}
	for i := range 6 {
		out = append(out, standin.EndpointConfig{
			ID: fmt.Sprintf("dec%d", i), Service: modelService, Zone: "zone-a", Stage: "decode", Events: 6, EndsAtPart: deadlyPart,
		})
	}
	return out
}

// waitPartCrashes waits until the boxes have detected this many crashes.
func (s *site) waitPartCrashes(crashes int) {
	const (
		pause = 10 * time.Millisecond
		tries = 200
	)
	for range tries {
		if strings.Count(s.logs.String(), "msg=endpoint_ended") >= crashes {
			return
		}
		time.Sleep(pause)
	}
}

// sendParts sends a stream whose prompt has the given parts, after a shared first one and before one
// of its own.
func (s *site) sendParts(b *runningBox, path string, n int, parts ...string) answer {
	s.t.Helper()
	prompt := "f1257a:100"
	for _, part := range parts {
		prompt += "," + part + ":50"
	}
	return s.send(b, http.MethodPost, path, fmt.Sprintf("request %d", n), map[string]string{"X-Prefix-Hash": fmt.Sprintf("%s,0e%d:7", prompt, n)})
}

func TestPartOfPromptsCrashesEngineAfterEngine(t *testing.T) {
	cases := map[string]struct {
		path string
		// bad are the parts of the requests that crash engines, in turn, and sound those of others.
		bad, sound [][]string
	}{
		"streams":                     {path: "/stream/x", bad: [][]string{{deadlyPart}}, sound: [][]string{{"50ad"}}},
		"streams that may be resumed": {path: "/resumable/x", bad: [][]string{{deadlyPart}}, sound: [][]string{{"50ad"}}},
		"beside other parts": {
			path: "/resumable/x", bad: [][]string{{"a1", deadlyPart}, {deadlyPart, "b2"}}, sound: [][]string{{"a1"}, {"b2"}, {"a1", "b2"}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Requests of which no two are alike but for one part soon reach no engine, and others with their other parts do", t, func() {
				s := newSite(t, 3, partEngines()...)
				s.waitJoined()
				crashed, late, sound := 0, 0, 0
				for n := range 2 * poisonRequests {
					before := s.totalArrivals()
					s.sendParts(s.boxes[n%3], c.path, 2*n, c.bad[n%len(c.bad)]...)
					if crashed >= maxPartCrashes && s.totalArrivals() > before {
						late++
					}
					crashed += s.replaceCrashed(newID)
					s.waitPartCrashes(crashed)
					if s.sendParts(s.boxes[(n+1)%3], c.path, 2*n+1, c.sound[n%len(c.sound)]...).status == http.StatusOK {
						sound++
					}
				}
				t.Logf("%d requests crashed %d engines, %d arrived after that; %d of %d others answered", 2*poisonRequests, crashed, late, sound, 2*poisonRequests)
				convey.So(crashed, convey.ShouldBeLessThanOrEqualTo, maxPartCrashes)
				convey.So(late, convey.ShouldBeLessThanOrEqualTo, maxPartArrivals)
				convey.So(sound, convey.ShouldEqual, 2*poisonRequests)
			})
		})
	}
}

func TestUnframedStreamThatBreaksOffLooksWhole(t *testing.T) {
	const events = 6
	cases := map[string]struct {
		manner standin.AnswerMode
		path   string
		// complete reports that the caller gets a whole answer.
		complete bool
	}{
		"whole":                            {manner: standin.Unframed, path: "/stream/x", complete: true},
		"ends in an event":                 {manner: standin.UnframedCutInEvent, path: "/stream/x"},
		"ends in an event, may be resumed": {manner: standin.UnframedCutInEvent, path: "/resumable/x", complete: true},
		"ends before its first event":      {manner: standin.UnframedEmpty, path: "/stream/x"},
		"ends before it, may be resumed":   {manner: standin.UnframedEmpty, path: "/resumable/x", complete: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A stream without a length or chunks is whole only if it has events and ends after one", t, func() {
				s := newSite(t, 1, modelEndpoints()...)
				for range events {
					s.endpoints["dec1"].Behave(c.manner)
					s.endpoints["dec2"].Behave(standin.Well)
					if c.manner == standin.Unframed || !c.complete {
						s.endpoints["dec2"].Behave(c.manner)
					}
					a := s.send(s.boxes[0], http.MethodPost, c.path, "prompt", nil)
					convey.So(a.status == http.StatusOK && a.complete, convey.ShouldEqual, c.complete)
					if c.complete {
						convey.So(a.body, convey.ShouldEqual, streamBody(events))
					}
				}
			})
		})
	}
}
