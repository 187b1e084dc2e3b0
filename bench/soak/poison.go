// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"runridge.example/runridge/bench/soak/check"
	"runridge.example/runridge/bench/soak/schedule"
	"runridge.example/runridge/platform/standin"
)

const (
	// poisonMark in the body of a request crashes each endpoint that runs it.
	poisonMark = "too much for an endpoint"
	// poisonPart is the ID of a part of prompts that crashes each endpoint that begins to answer one,
	// and sharedPart that of the first part of all prompts.
	poisonPart = "dead01"
	sharedPart = "f1257a"
	// poisonInterval is how long after an answer a poison request is sent again.
	poisonInterval = 300 * time.Millisecond
	// crashOutage is how long after a crash by a poison request an endpoint is started again.
	crashOutage = 1500 * time.Millisecond
	// contactBound is how soon boxes that can reach each other must share what one of them
	// knows, by the platform's specification.
	contactBound = 3 * time.Second
)

// repeatPoison sends one poison request repeatedly, each time with a new id to a box drawn at
// random, and restarts the endpoints that it has crashed.
func (r *run) repeatPoison(ctx context.Context, e schedule.Event) {
	name := fmt.Sprintf("poison%d", e.Draw)
	random := rand.New(rand.NewPCG(r.cfg.Seed, e.Draw))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	for n, end := 0, time.Now().Add(e.For); time.Now().Before(end) && ctx.Err() == nil; n++ {
		b := r.boxes[random.IntN(len(r.boxes))]
		a := check.Answer{
			ID: fmt.Sprintf("%s%s%s-%d", b.name, check.IDSeparator, name, n), Box: b.name, Poison: name,
			Route: routeSafe, MaxRuns: 2, Timeout: routeTimeout, Key: ampleKey,
		}
		if e.Draw%2 == 1 {
			a.Route, a.MaxRuns = routeStream, 1
		}
		body, parts := poisonMark+" "+name, ""
		if e.Kind == schedule.PoisonPart {
			a.Poison, a.Route, a.MaxRuns = poisonPart, routeResumable, 2
			body, parts = "", promptParts(a.ID, poisonPart)
		}
		r.sendPoison(client, b, a, body, parts)
		r.restartCrashed(ctx)
		sleepUntil(ctx, time.Now().Add(poisonInterval))
	}
}

// promptParts returns the parts of the prompt of a request: the shared one, others and its own.
func promptParts(id string, others ...string) string {
	parts := sharedPart + ":100,"
	for _, part := range others {
		parts += part + ":50,"
	}
	return parts + hex.EncodeToString([]byte(id)) + ":20"
}

// sendPoison sends one attempt of a poison request and records what its caller sees.
func (r *run) sendPoison(client *http.Client, b *box, a check.Answer, body, parts string) {
	ctx, cancel := context.WithTimeout(context.Background(), maxRequestTime)
	defer cancel()
	ask := standin.Ask{Address: b.callers.Addr(), Route: a.Route, ID: a.ID, Key: a.Key, Body: body, Parts: parts}
	if isStream(a.Route) {
		ask.Prompt, ask.Output = minPrompt, outputTokens
	}
	a.Begun = time.Now()
	exchange(ctx, client, ask, &a)
	a.Ended = time.Now()
	r.recordAnswer(a)
}

// restartCrashed restarts, in the background, the endpoints that requests have crashed since
// the last call.
func (r *run) restartCrashed(ctx context.Context) {
	var crashed []standin.CrashedEndpoint
	if err := r.site.call("Fallen", standin.None{}, &crashed); err != nil {
		r.report.Count("endpoint_restart", false, "%v", err)
	}
	for _, f := range crashed {
		finish := r.recordFault(check.Fault{Kind: string(schedule.PoisonRequest), Place: f.Place, From: f.At})
		r.active.Go(func() {
			defer finish()
			r.restartEndpoint(ctx, f)
		})
	}
}

// restartEndpoint removes the entry of an endpoint that a request has crashed and starts a new
// endpoint, unless another fault has done so meanwhile.
func (r *run) restartEndpoint(ctx context.Context, f standin.CrashedEndpoint) {
	p := r.placeNamed(f.Place)
	p.reserved <- struct{}{}
	defer func() { <-p.reserved }()
	sleepUntil(ctx, f.At.Add(entryLifetime))
	_ = r.site.call("Bury", f.ID, &standin.None{})
	sleepUntil(ctx, f.At.Add(crashOutage))
	var addresses map[string]string
	_ = r.site.call("Addresses", standin.None{}, &addresses)
	if addresses[f.Place] == "" {
		r.startEndpoint(p, "")
	}
}

// placeNamed returns the place with a name and panics if there is none.
func (r *run) placeNamed(name string) *endpointPlace {
	for _, p := range r.places {
		if p.Name == name {
			return p
		}
	}
	panic("no place " + name)
}
