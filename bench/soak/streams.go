// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"runridge.example/runridge/bench/soak/check"
	"runridge.example/runridge/bench/soak/schedule"
	"runridge.example/runridge/platform/standin"
)

// softwareVersions are the versions that engines may run; at the start there are engines of the first
// two.
var softwareVersions = []string{"v1", "v2", "v3"}

const (
	// versionedEventGap makes streams last long enough to break off.
	versionedEventGap = 40 * time.Millisecond
	// maxTakeUps is how often a caller takes a stream up.
	maxTakeUps = 3
	// breakOneIn is how many streams there are for one that breaks off at its caller.
	breakOneIn = 2
	// releaseOverlap is the part of a release during which the old endpoint leaves before it ends.
	releaseOverlap = 0.6
)

// eventsOf returns the events of a stream from one on, without versions.
func eventsOf(id string, from int) string {
	var out strings.Builder
	for i := from; i <= streamEvents; i++ {
		_, _ = fmt.Fprintf(&out, "id: %d\ndata: %d of %s\n\n", i, i, id)
	}
	return out.String()
}

// versionPattern matches the software version in an event.
var versionPattern = regexp.MustCompile(` at (v\d+)\n`)

func withoutVersions(body string) string { return versionPattern.ReplaceAllString(body, "\n") }

// runStream begins a stream and takes it up at other boxes when it breaks off.
func (r *run) runStream(client *http.Client, b *box, random *rand.Rand, a check.Answer) {
	stream := check.Stream{}
	id, last := a.ID, 0
	for try := range 1 + maxTakeUps {
		if try > 0 {
			b = r.boxes[random.IntN(len(r.boxes))]
			a.Box, a.ID = b.name, fmt.Sprintf("%s%s%s-%d", b.name, check.IDSeparator, strings.ReplaceAll(id, check.IDSeparator, "_"), try)
		}
		breakAfter := toTheEnd
		if left := streamEvents - last; left > 1 && random.IntN(breakOneIn) == 0 {
			breakAfter = 1 + random.IntN(left-1)
		}
		attempt := r.sendStreamAttempt(client, b, a, id, last, breakAfter)
		stream.Attempts = append(stream.Attempts, attempt)
		last += attempt.Events
		if attempt.Status != http.StatusOK || last >= streamEvents || last == 0 {
			break
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.record.Streams = append(r.record.Streams, stream)
}

// toTheEnd is the number of events after which a caller disconnects that does not.
const toTheEnd = -1

// sendStreamAttempt sends one attempt of a stream, and disconnects after some events. The stream began
// with the attempt first, and last is the event after which it is taken up; 0 is none.
func (r *run) sendStreamAttempt(client *http.Client, b *box, a check.Answer, first string, last, breakAfter int) check.StreamAttempt {
	ctx, cancel := context.WithTimeout(context.Background(), maxRequestTime)
	defer cancel()
	ask := standin.Ask{Address: b.callers.Addr(), Route: a.Route, ID: a.ID, Key: a.Key, Prompt: minPrompt, Output: outputTokens, Parts: promptParts(first)}
	if last > 0 {
		ask.LastEvent, ask.Resumes = strconv.Itoa(last), first
	}
	a.Begun = time.Now()
	attempt := check.StreamAttempt{ID: a.ID, Box: a.Box, Begun: a.Begun, TakesUp: last > 0}
	events := readEvents(ctx, client, ask, &a, breakAfter)
	a.Ended = time.Now()
	if a.Answered() {
		a.Mismatch = ""
		if withoutVersions(events) != eventsOf(a.ID, last+1) {
			a.Mismatch = "events are missing, out of order or of another request: " + strconv.Quote(events)
		}
	}
	r.recordAnswer(a)
	attempt.Status, attempt.Ended = a.Status, a.Ended
	attempt.Events = strings.Count(events, "\n\n")
	for _, found := range versionPattern.FindAllStringSubmatch(events, -1) {
		attempt.Versions = append(attempt.Versions, found[1])
	}
	return attempt
}

// readEvents sends a request and returns the whole events of its answer. It disconnects after some of
// them, unless that is toTheEnd.
func readEvents(ctx context.Context, client *http.Client, ask standin.Ask, a *check.Answer, breakAfter int) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := ask.Request(ctx)
	if err != nil {
		a.Mismatch = err.Error()
		return ""
	}
	resp, err := client.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	noteHead(a, resp)
	if a.Status != http.StatusOK {
		return ""
	}
	var events, partial strings.Builder
	lines := bufio.NewReader(resp.Body)
	for n := 0; ; {
		line, err := lines.ReadString('\n')
		partial.WriteString(line)
		if err != nil {
			a.Complete = errors.Is(err, io.EOF) && partial.Len() == 0
			a.Malformed = cmp.Or(a.Malformed, malformedBody(err))
			return events.String()
		}
		if line != "\n" {
			continue
		}
		events.WriteString(partial.String())
		partial.Reset()
		if n++; n == breakAfter {
			a.CallerLeft = true
			return events.String()
		}
	}
}

// noteServing records that an engine of a software version serves at a place from now on.
func (r *run) noteServing(place, version string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.record.Serving = append(r.record.Serving, check.Serving{Place: place, Version: version, From: time.Now(), To: time.Now().Add(openEnded)})
}

// noteServingEnded records that the engine at a place serves no longer.
func (r *run) noteServingEnded(place string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i := range r.record.Serving {
		if s := &r.record.Serving[i]; s.Place == place && s.To.After(time.Now()) {
			s.To = time.Now()
		}
	}
}

// releaseEndpoint replaces the endpoint at a place by one of another software version: the old one
// leaves, ends, and the new one starts.
func (r *run) releaseEndpoint(ctx context.Context, e schedule.Event) {
	r.withPlace(e, func(p *endpointPlace) {
		begin := time.Now()
		var id string
		_ = r.site.call("Leave", standin.Act{Place: p.Name, On: true}, &id)
		r.noteServingEnded(p.Name)
		r.recordLeaving(id)
		sleepUntil(ctx, begin.Add(time.Duration(releaseOverlap*float64(e.For))))
		r.endEndpoint(p, id)
		sleepUntil(ctx, begin.Add(e.For))
		version := ""
		if r.cfg.Features.Versions && p.Stage == "decode" {
			version = softwareVersions[e.Draw%uint64(len(softwareVersions))]
		}
		r.startEndpointOf(p, standin.Act{Place: p.Name, Version: version})
	})
}
