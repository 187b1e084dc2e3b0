// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"time"

	"runridge.example/runridge/bench/soak/check"
	"runridge.example/runridge/bench/soak/proxy"
	"runridge.example/runridge/bench/soak/schedule"
)

// maxLinkDelay bounds the delay that a fault adds to links, in each direction.
const maxLinkDelay = 300 * time.Millisecond

// linkFault is a fault of the links that match.
type linkFault struct {
	match proxy.Match
	fault proxy.Fault
}

// betweenBoxes returns faults of the links between two boxes, one for each box that dials.
func betweenBoxes(from, to string, toFault, backFault proxy.Fault) []linkFault {
	return []linkFault{
		{proxy.Match{Kind: proxy.Box, From: from, To: to}, toFault},
		{proxy.Match{Kind: proxy.Box, From: to, To: from}, backFault},
	}
}

// toEndpoints returns a fault of a box's links to all endpoints.
func toEndpoints(from string, f proxy.Fault) linkFault {
	return linkFault{proxy.Match{Kind: proxy.Endpoint, From: from}, f}
}

// linkFaultsOf returns an event's faults of the links of one box, or between two boxes.
func linkFaultsOf(e schedule.Event, from, to string) []linkFault {
	both := proxy.Fault{CutForth: true, CutBack: true}
	silent := proxy.Fault{Silent: true}
	reset := proxy.Fault{Reset: true}
	switch e.Kind {
	case schedule.LinkOneWay:
		return betweenBoxes(from, to, proxy.Fault{CutForth: true}, proxy.Fault{CutBack: true})
	case schedule.LinkSilent:
		return append(betweenBoxes(from, to, silent, silent), toEndpoints(from, silent))
	case schedule.LinkReset:
		return append(betweenBoxes(from, to, reset, reset), toEndpoints(from, reset))
	case schedule.LinkDelayed:
		delayed := proxy.Fault{Delay: time.Duration(e.Draw%uint64(maxLinkDelay.Milliseconds())) * time.Millisecond}
		return betweenBoxes(from, to, delayed, delayed)
	case schedule.CallersReset:
		return []linkFault{{proxy.Match{Kind: proxy.Caller, To: from}, reset}}
	default:
		return []linkFault{
			{proxy.Match{Kind: proxy.Box, From: from}, both},
			{proxy.Match{Kind: proxy.Box, To: from}, both},
			{proxy.Match{Kind: proxy.Platform, From: from}, both},
			toEndpoints(from, both),
		}
	}
}

// faultLinks applies an event's faults to the links of a box while the event lasts.
func (r *run) faultLinks(ctx context.Context, e schedule.Event) {
	from, to := boxName(e.Box), ""
	f := check.Fault{Kind: string(e.Kind), Boxes: []string{from}}
	if e.Other >= 0 {
		to = boxName(e.Other)
		f.Boxes = append(f.Boxes, to)
	}
	defer r.recordFault(f)()
	for _, s := range linkFaultsOf(e, from, to) {
		defer r.net.Apply(s.match, s.fault)()
	}
	sleepUntil(ctx, time.Now().Add(e.For))
}

// lostForms are the ways in which boxes lose their links to all endpoints: everything hangs,
// everything is reset, or open connections live on while new ones are reset.
var lostForms = []proxy.Fault{{CutForth: true, CutBack: true}, {Reset: true, Refuse: true}, {Refuse: true}}

// lostScopes is the number of ways in which the boxes that lose their links are chosen.
const lostScopes = 4

// losingBoxes returns the boxes that lose their links to endpoints in an event: the event's box, all
// of its zone, or all but that box.
func (r *run) losingBoxes(e schedule.Event) []string {
	var out []string
	for i, b := range r.boxes {
		loses := i == e.Box
		switch e.Draw % lostScopes {
		case 0:
			loses = b.zone == r.boxes[e.Box].zone
		case 1:
			loses = i != e.Box
		}
		if loses {
			out = append(out, b.name)
		}
	}
	return out
}

// loseEndpoints cuts boxes from all endpoints while the event lasts.
func (r *run) loseEndpoints(ctx context.Context, e schedule.Event) {
	boxes := r.losingBoxes(e)
	defer r.recordFault(check.Fault{Kind: string(e.Kind), Unlinked: boxes})()
	fault := lostForms[e.Draw/lostScopes%uint64(len(lostForms))]
	for _, name := range boxes {
		s := toEndpoints(name, fault)
		defer r.net.Apply(s.match, s.fault)()
	}
	sleepUntil(ctx, time.Now().Add(e.For))
}

// cutEndpoint cuts the links to an endpoint in one direction or both.
func (r *run) cutEndpoint(ctx context.Context, e schedule.Event) {
	p := r.places[e.Place]
	release, ok := r.reserve(p.reserved)
	if !ok {
		return
	}
	defer release()
	cuts := []proxy.Fault{{CutForth: true}, {CutBack: true}, {CutForth: true, CutBack: true}}
	defer r.recordFault(check.Fault{Kind: string(e.Kind), Place: p.Name})()
	defer r.net.Apply(proxy.Match{Kind: proxy.Endpoint, To: p.link.To()}, cuts[e.Draw%uint64(len(cuts))])()
	sleepUntil(ctx, time.Now().Add(e.For))
}
