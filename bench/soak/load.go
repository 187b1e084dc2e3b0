// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"runridge.example/runridge/bench/soak/check"
	"runridge.example/runridge/platform/standin"
	"runridge.example/runridge/state/lifecycle"
)

const (
	// maxRequestTime is when a caller that doesn't leave treats the answer as missing.
	maxRequestTime = 20 * time.Second
	// failurePause is how long a caller waits after a failed request. Between two
	// requests it waits minPause plus a random part of pauseJitter.
	failurePause = 50 * time.Millisecond
	minPause     = 20 * time.Millisecond
	pauseJitter  = 120 * time.Millisecond
	leaveOneIn   = 15
	maxLeaveTime = 400 * time.Millisecond
	// abandonedWork is how long a run takes if its caller leaves: long enough that work
	// that continues after the caller left is seen.
	abandonedWork = 3 * time.Second
	oldKeyOneIn   = 3
	minPrompt     = 200
	promptJitter  = 4000
	outputTokens  = streamEvents
)

// runCaller is one caller. It sends one request after the other to one box, over one
// connection as long as that lasts.
func (r *run) runCaller(ctx context.Context, i int) {
	b := r.boxes[i%len(r.boxes)]
	random := rand.New(rand.NewPCG(r.cfg.Seed, uint64(1000+i)))
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1, DisableCompression: true, IdleConnTimeout: maxIdle,
	}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		b, client := b, client
		if crowded := r.crowded.Load(); crowded != nil && random.IntN(crowdedOneIn) > 0 {
			b, client = crowded, freshConnections
		}
		a := r.drawRequest(b, random)
		a.ID = fmt.Sprintf("%s%s%d-%d", b.name, check.IDSeparator, i, n)
		if r.cfg.Features.Versions && a.Route == routeResumable {
			r.runStream(client, b, random, a)
		} else {
			r.sendRequest(client, b, random, a)
		}
		time.Sleep(minPause + time.Duration(random.Int64N(int64(pauseJitter))))
	}
}

// drawRequest draws the route and the key of a request.
func (r *run) drawRequest(b *box, random *rand.Rand) check.Answer {
	a := check.Answer{Box: b.name, MaxRuns: 2, Timeout: routeTimeout, Key: ampleKey}
	switch n := random.IntN(100); {
	case n < 22:
		a.Route = routeSafe
	case n < 47:
		a.Route, a.MaxRuns = routeUnsafe, 1
	case n < 70:
		a.Route, a.MaxRuns = routeStream, 1
	case n < 85:
		a.Route = routeResumable
	case n < 95 || b.newestRoute() == 0:
		a.Route, a.Key = routeOpen, ""
	default:
		a.Route, a.Key = routeOfTable(b.newestRoute()), ""
	}
	if a.Key == "" {
		return a
	}
	switch n := random.IntN(100); {
	case n < 30 && !isStream(a.Route):
		a.Key = limitedKey
	case n < 40:
		a.Key = r.operator.pickRotatingKey(random.IntN(oldKeyOneIn) == 0, random)
	case n < 50 && r.cfg.Features.Regions:
		a.Key = northKey
	case n < 60 && r.cfg.Features.Regions:
		a.Route, a.MaxRuns = routeNorth, 2
	}
	return a
}

func isStream(route string) bool { return route == routeStream || route == routeResumable }

// newestRoute returns the newest table version on whose route the box has answered; 0 is none.
func (b *box) newestRoute() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.newestVersion
}

// noteVersion records that the box knows the table of a version.
func (b *box) noteVersion(version int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.newestVersion = max(b.newestVersion, version)
}

// maxIdle is how long callers keep a connection without a request: four fifths of the idle timeout of the
// configuration, after which boxes close it.
const maxIdle = 12 * time.Second

// sendRequest sends one request and records what its caller sees.
func (r *run) sendRequest(client *http.Client, b *box, random *rand.Rand, a check.Answer) {
	patience := maxRequestTime
	leaves := random.IntN(leaveOneIn) == 0
	if leaves {
		patience = time.Duration(1 + random.Int64N(int64(maxLeaveTime)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	ask := standin.Ask{Address: b.callers.Addr(), Route: a.Route, ID: a.ID, Key: a.Key}
	if leaves {
		ask.Work = abandonedWork
	}
	if isStream(a.Route) {
		ask.Parts = promptParts(a.ID)
		ask.Prompt, ask.Output = minPrompt+random.IntN(promptJitter), outputTokens
	}
	a.Begun = time.Now()
	exchange(ctx, client, ask, &a)
	a.Ended = time.Now()
	a.CallerLeft = leaves && ctx.Err() != nil && !a.Complete
	r.recordAnswer(a)
	if a.Status != http.StatusOK && !a.CallerLeft {
		time.Sleep(failurePause)
	}
}

// exchange sends a request, reads its answer and stores the outcome in a.
func exchange(ctx context.Context, client *http.Client, ask standin.Ask, a *check.Answer) {
	req, err := ask.Request(ctx)
	if err != nil {
		a.Mismatch = err.Error()
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	noteHead(a, resp)
	body, err := io.ReadAll(resp.Body)
	a.Complete = err == nil
	a.Malformed = cmp.Or(a.Malformed, malformedBody(err))
	a.RefusedAsPoison = strings.Contains(string(body), string(lifecycle.ReasonPoison))
	if a.Answered() {
		a.Mismatch = mismatch(a, standin.Signer(resp.Header), string(body))
	}
}

// noteHead stores in a what the head of its answer says.
func noteHead(a *check.Answer, resp *http.Response) {
	a.Status = resp.StatusCode
	a.Malformed = malformedHead(resp)
	a.Signed = standin.Signer(resp.Header) != ""
}

// malformedHead describes what is malformed in the head of an answer, beyond what its parser refuses. It is empty
// if nothing is.
func malformedHead(resp *http.Response) string {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > 599 || resp.ProtoMajor != 1 {
		return "malformed status line: " + resp.Proto + " " + resp.Status
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return "malformed name of a field: " + strconv.Quote(name)
		}
	}
	return ""
}

// malformedBody describes what is malformed in the framing of a body, by the error that ended it. It is empty if the
// body is whole or was cut.
func malformedBody(err error) string {
	// The standard library has no type for these errors.
	if err != nil && strings.Contains(err.Error(), "chunk") {
		return "malformed body: " + err.Error()
	}
	return ""
}

// mismatch describes what is wrong with a complete answer. It is empty if nothing is.
func mismatch(a *check.Answer, signer, body string) string {
	if !isStream(a.Route) {
		if want := "answer of " + signer + " to " + a.ID; body != want {
			return fmt.Sprintf("got %q, want %q", body, want)
		}
		return ""
	}
	if body = withoutVersions(body); body != eventsOf(a.ID, 1) {
		return "events are missing, out of order or of another request: " + strconv.Quote(body)
	}
	return ""
}

// recordAnswer records what a caller saw.
func (r *run) recordAnswer(a check.Answer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.record.Answers = append(r.record.Answers, a)
	r.result.Statuses[a.Status]++
}
