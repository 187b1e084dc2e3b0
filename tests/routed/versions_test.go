// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routed

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/platform"
	"runridge.example/runridge/platform/standin"
)

const (
	// versionedStreams is how many streams a test begins while several software versions serve.
	versionedStreams = 12
	// versionedEvents is the number of events of each of these streams.
	versionedEvents = 8
	// eventsBeforeBreak is how many events a caller receives before its stream breaks.
	eventsBeforeBreak = 2
)

// versionedEngines returns an engine that prefills and two that decode of each software version.
func versionedEngines(versions ...string) []standin.EndpointConfig {
	var out []standin.EndpointConfig
	for _, version := range versions {
		e := standin.EndpointConfig{Service: modelService, Zone: "zone-a", Version: version, Events: versionedEvents, EventGap: 10 * time.Millisecond}
		e.ID, e.Stage = "pre-"+version, "prefill"
		out = append(out, e)
		for i := range 2 {
			e.ID, e.Stage = fmt.Sprintf("dec%d-%s", i, version), "decode"
			out = append(out, e)
		}
	}
	return out
}

// newVersionedSite returns a site whose boxes know each other, with engines of several versions.
func newVersionedSite(t *testing.T, boxes int, versions ...string) *site {
	t.Helper()
	s := newSite(t, boxes, versionedEngines(versions...)...)
	s.waitJoined()
	s.eventually("the versions are written", func() bool { return len(s.store.Names("softwareversions")) > 0 })
	return s
}

// waitJoined waits until all boxes know each other.
func (s *site) waitJoined() {
	s.t.Helper()
	for _, b := range s.boxes {
		s.eventually("the box knows the others", func() bool { return b.LiveBoxes() == len(s.boxes) })
	}
}

// softwareOf returns the software versions of the engines that ran any of the attempts.
func (s *site) softwareOf(attempts ...string) []string {
	var out []string
	for _, e := range s.endpoints {
		for _, run := range e.Runs() {
			if slices.Contains(attempts, run.ID) && !slices.Contains(out, e.Version) {
				out = append(out, e.Version)
			}
		}
	}
	return out
}

// brokenStream is a stream that has broken off at its caller.
type brokenStream struct {
	// attempts are the IDs of the caller's attempts, the one that received the first event first.
	attempts []string
	// last is the ID of the last event received.
	last string
}

// beginStream begins a stream at a box and disconnects after some events.
func (s *site) beginStream(b *runningBox) brokenStream {
	s.t.Helper()
	var out brokenStream
	s.continueStream(b, &out)
	return out
}

// beginStreams begins versionedStreams streams at a box.
func (s *site) beginStreams(b *runningBox) []brokenStream {
	s.t.Helper()
	var out []brokenStream
	for range versionedStreams {
		out = append(out, s.beginStream(b))
	}
	return out
}

// continueStream sends the next attempt of a stream to a box and disconnects after some events.
func (s *site) continueStream(b *runningBox, stream *brokenStream) {
	s.t.Helper()
	id := fmt.Sprintf("request-%d", ids.Add(1))
	req, err := http.NewRequest(http.MethodPost, "http://"+b.callerAddr+"/resumable/x", strings.NewReader("prompt"))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Token-Usage", "100,20")
	for name, value := range stream.header() {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	resp, err := client.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		s.t.Fatalf("attempt %s: status %d", id, resp.StatusCode)
	}
	stream.attempts = append(stream.attempts, id)
	lines := bufio.NewScanner(resp.Body)
	for events := 0; events < eventsBeforeBreak && lines.Scan(); {
		if last, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			stream.last = last
			events++
		}
	}
}

// header returns the headers with which a caller takes the stream up; empty before its first event.
func (r brokenStream) header() map[string]string {
	if len(r.attempts) == 0 {
		return nil
	}
	return map[string]string{"Last-Event-Id": r.last, "Resumes": r.attempts[0]}
}

// finishStream takes a stream up at a box and returns the answer.
func (s *site) finishStream(b *runningBox, stream *brokenStream) answer {
	s.t.Helper()
	a := s.send(b, http.MethodPost, "/resumable/x", "prompt", stream.header())
	stream.attempts = append(stream.attempts, a.id)
	return a
}

// finishWhole takes a stream up at a box and checks that it goes on to its end at the version that
// began it.
func (s *site) finishWhole(b *runningBox, stream *brokenStream) {
	s.t.Helper()
	a := s.finishStream(b, stream)
	convey.So(a.status, convey.ShouldEqual, http.StatusOK)
	convey.So(a.complete, convey.ShouldBeTrue)
	convey.So(s.softwareOf(stream.attempts...), convey.ShouldHaveLength, 1)
}

func TestStreamMixesSoftwareVersionsInOneAnswer(t *testing.T) {
	convey.Convey("A stream that is cut in its middle goes on at an engine of the version that began it", t, func() {
		s := newVersionedSite(t, 2, "v1", "v2")
		for _, e := range s.endpoints {
			e.Behave(standin.Cut)
		}
		for i := range versionedStreams {
			a := s.send(s.boxes[i%2], http.MethodPost, "/resumable/x", "prompt", nil)
			convey.So(a.complete, convey.ShouldBeTrue)
			convey.So(a.body, convey.ShouldEqual, streamBody(versionedEvents))
			convey.So(s.softwareOf(a.id), convey.ShouldHaveLength, 1)
		}
	})
}

func TestStreamMixesSoftwareVersionsAfterItsCallerReturns(t *testing.T) {
	cases := map[string]func(s *site, stream *brokenStream) *runningBox{
		"at another box": func(s *site, _ *brokenStream) *runningBox { return s.boxes[1] },
		"a second time, at a third box": func(s *site, stream *brokenStream) *runningBox {
			s.continueStream(s.boxes[1], stream)
			return s.boxes[2]
		},
	}
	for name, where := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A stream that its caller takes up goes on at the version that began it", t, func() {
				s := newVersionedSite(t, 3, "v1", "v2")
				for range versionedStreams {
					stream := s.beginStream(s.boxes[0])
					s.finishWhole(where(s, &stream), &stream)
				}
			})
		})
	}
}

func TestStreamIsRefusedByABoxThatHasJustStarted(t *testing.T) {
	convey.Convey("A stream that its caller takes up at a box that has just started goes on at the version that began it", t, func() {
		s := newVersionedSite(t, 3, "v1", "v2")
		for range versionedStreams {
			stream := s.beginStream(s.boxes[0])
			late := s.start(fmt.Sprintf("box-%d", len(s.boxes)+1))
			s.eventually("the box that starts is ready", late.Ready)
			s.finishWhole(late, &stream)
		}
	})
}

func TestStreamMixesSoftwareVersionsAfterItsBoxHasEnded(t *testing.T) {
	convey.Convey("Streams whose box has ended go on at other boxes, at the version that began them", t, func() {
		s := newVersionedSite(t, 3, "v1", "v2")
		streams := s.beginStreams(s.boxes[0])
		s.boxes[0].stop()
		<-s.boxes[0].done
		for i := range streams {
			s.finishWhole(s.boxes[1+i%2], &streams[i])
		}
	})
}

// statusByVersions are the software versions that serve and the status of streams of which no box
// knows anything.
var statusByVersions = map[string]struct {
	versions []string
	status   int
}{
	"one version serves": {versions: []string{"v1"}, status: http.StatusOK},
	"two versions serve": {versions: []string{"v1", "v2"}, status: http.StatusServiceUnavailable},
}

// restartAll ends all boxes, calls between, and starts as many new ones, which know nothing.
func (s *site) restartAll(between func()) {
	s.t.Helper()
	ended := s.boxes
	for _, b := range ended {
		b.stop()
	}
	for _, b := range ended {
		<-b.done
	}
	s.boxes = nil
	between()
	for i := range ended {
		b := s.start(fmt.Sprintf("box-%d", i+1))
		s.eventually("the box is ready", b.Ready)
	}
}

// originsWritten returns how many origins of streams the platform has.
func (s *site) originsWritten() int {
	s.t.Helper()
	p := platform.New(s.store.Address())
	defer p.Close()
	batches, err := p.StreamOrigins(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	count := 0
	for _, b := range batches {
		count += len(b.Origins)
	}
	return count
}

// Guards against streams that are mixed, or refused for good, because all boxes have ended.
func TestStreamMixesSoftwareVersionsAfterAllBoxesHaveEnded(t *testing.T) {
	for name, c := range statusByVersions {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Streams go on at the version that began them", t, func() {
				s := newVersionedSite(t, 2, c.versions...)
				streams := s.beginStreams(s.boxes[0])
				if len(c.versions) > 1 {
					s.eventually("their origins are written", func() bool { return s.originsWritten() >= len(streams) })
				}
				s.restartAll(func() {})
				for i := range streams {
					s.finishWhole(s.boxes[i%2], &streams[i])
				}
			})
		})
	}
}

// Guards against a guess at the version of a stream whose origin was lost.
func TestStreamWithoutWrittenOriginMixesSoftwareVersions(t *testing.T) {
	for name, c := range statusByVersions {
		t.Run(name, func(t *testing.T) {
			convey.Convey("Streams of which nobody knows anything any more go on only if one version can have begun them", t, func() {
				s := newVersionedSite(t, 2, c.versions...)
				streams := s.beginStreams(s.boxes[0])
				s.restartAll(func() {
					for _, name := range s.store.Names("streamorigins") {
						s.store.Delete("streamorigins", name)
					}
				})
				for i := range streams {
					a := s.finishStream(s.boxes[i%2], &streams[i])
					convey.So(a.status, convey.ShouldEqual, c.status)
					convey.So(s.softwareOf(streams[i].attempts...), convey.ShouldHaveLength, 1)
				}
			})
		})
	}
}

func TestStreamGoesOnAlthoughItsSoftwareVersionIsGone(t *testing.T) {
	convey.Convey("A stream of a version that no engine has any more is refused at once and reaches no engine", t, func() {
		s := newVersionedSite(t, 2, "v1", "v2")
		streams := s.beginStreams(s.boxes[0])
		for id, e := range s.endpoints {
			if e.Version == "v1" {
				s.store.Delete("servers", id)
				s.eventually("all boxes know that it is gone", func() bool {
					return s.boxes[0].knowsUnusable(id) && s.boxes[1].knowsUnusable(id)
				})
			}
		}
		for i := range streams {
			began, before := s.softwareOf(streams[i].attempts...), s.totalArrivals()
			a := s.finishStream(s.boxes[1], &streams[i])
			if began[0] == "v1" {
				convey.So(a.status, convey.ShouldEqual, http.StatusServiceUnavailable)
				convey.So(a.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
				convey.So(s.totalArrivals(), convey.ShouldEqual, before)
				continue
			}
			convey.So(a.status, convey.ShouldEqual, http.StatusOK)
			convey.So(s.softwareOf(streams[i].attempts...), convey.ShouldHaveLength, 1)
		}
	})
}

func TestStreamOfUnknownSoftwareVersionGoesOn(t *testing.T) {
	for name, c := range statusByVersions {
		t.Run(name, func(t *testing.T) {
			convey.Convey("A stream that no box knows goes on only if no other version can have begun it", t, func() {
				s := newVersionedSite(t, 2, c.versions...)
				stream := brokenStream{attempts: []string{"request-of-nobody"}, last: "2"}
				before := s.totalArrivals()
				a := s.finishStream(s.boxes[1], &stream)
				convey.So(a.status, convey.ShouldEqual, c.status)
				if c.status != http.StatusOK {
					convey.So(a.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
					convey.So(s.totalArrivals(), convey.ShouldEqual, before)
				}
			})
		})
	}
}
