// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package home

import (
	"slices"
	"sync"
	"sync/atomic"

	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// Peers sends to other boxes.
type Peers interface {
	SendCommand(box string, c Command) ring.Outcome
	SendDecision(box, group string, d schedule.Decision) ring.Outcome
	SendCheck(box, group, engine string, ids []lifecycle.AttemptID) ring.Outcome
}

// Decisions takes decisions for requests of this box.
type Decisions interface {
	Decide(from, group string, d schedule.Decision)
	Check(from, group, engine string, ids []lifecycle.AttemptID)
}

// Router takes questions to the homes and answers back to the boxes, here or
// elsewhere.
type Router struct {
	self  string
	peers Peers
	local *Homes
	here  Decisions
	live  atomic.Pointer[[]string]
	// settled are the live boxes that homes are chosen from.
	settled atomic.Pointer[[]string]
	// owners are the first boxes in the rank of the keys that were asked for since
	// the boxes last changed.
	owners atomic.Pointer[sync.Map]

	// mutex guards the two that homes are worked out from.
	mutex  sync.Mutex
	groups []string
	homes  atomic.Pointer[map[string]string]
	// services are the groups of each service.
	services atomic.Pointer[map[string][]table.Group]
}

// NewRouter makes the router of a box; Connect completes it.
func NewRouter(self string, peers Peers) *Router {
	r := &Router{self: self, peers: peers}
	r.SetLive([]string{self}, []string{self})
	return r
}

// Connect names this box's own home duty and dispatcher.
func (r *Router) Connect(local *Homes, here Decisions) {
	r.local = local
	r.here = here
}

// SetLive replaces the list of live boxes, and of those among them that homes
// are chosen from.
func (r *Router) SetLive(live, settled []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.live.Store(&live)
	r.settled.Store(&settled)
	r.owners.Store(&sync.Map{})
	r.assign()
}

// SetTable replaces the groups.
func (r *Router) SetTable(t table.Table) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.groups = r.groups[:0]
	services := make(map[string][]table.Group)
	for _, g := range t.Groups() {
		r.groups = append(r.groups, g.Key)
		services[g.Service] = append(services[g.Service], g)
	}
	r.services.Store(&services)
	r.assign()
}

// assign works the homes out anew. The mutex is held.
func (r *Router) assign() {
	homes := Assign(r.groups, *r.settled.Load())
	r.homes.Store(&homes)
}

// Live is the number of live boxes.
func (r *Router) Live() int {
	return len(*r.live.Load())
}

// maxRank is how many boxes are tried as a group's home.
const maxRank = 3

// Ranked lists all boxes with duties in their order for a key.
func (r *Router) Ranked(key string) []string {
	live := *r.live.Load()
	return Rank(key, live, len(live))
}

// ownersOfKey is how many boxes may have the duty of a key: the first, and the one
// that stands in for it.
const ownersOfKey = 2

// OwnersOf lists the boxes for a duty that belongs to a key, the first one first.
// They are worked out once for each change of the boxes: ranking 300 of them takes
// 30 us, and some duties are asked for with each request.
func (r *Router) OwnersOf(key string) []string {
	known := r.owners.Load()
	if ranked, ok := known.Load(key); ok {
		return ranked.([]string)
	}
	ranked := Rank(key, *r.settled.Load(), ownersOfKey)
	known.Store(key, ranked)
	return ranked
}

// GroupsOf lists the groups of a service. They are worked out once for each
// table, and not for each request.
func (r *Router) GroupsOf(service string) []table.Group {
	services := r.services.Load()
	if services == nil {
		return nil
	}
	return (*services)[service]
}

// HomesOf names the boxes to ask for a group: its home, and those that are
// asked when it is silent.
func (r *Router) HomesOf(group string) []string {
	first := r.HomeOf(group)
	rank := Rank(group, *r.live.Load(), maxRank)
	if first == "" {
		return rank
	}
	rank = slices.DeleteFunc(rank, func(b string) bool { return b == first })
	return append([]string{first}, rank[:min(len(rank), maxRank-1)]...)
}

// HomeOf names the home of a group as this box sees it; empty is none.
func (r *Router) HomeOf(group string) string {
	return (*r.homes.Load())[group]
}

// Tell sends a body to the named home.
func (r *Router) Tell(box, group string, body Body) ring.Outcome {
	c := Command{From: r.self, Group: group, Body: body}
	if box == r.self {
		return r.local.Offer(c)
	}
	return r.peers.SendCommand(box, c)
}

// Answer takes a decision to the box that asked.
func (r *Router) Answer(box, group string, d schedule.Decision) {
	if box == r.self {
		r.here.Decide(r.self, group, d)
		return
	}
	// A decision that cannot be sent is asked for again by the other box.
	_ = r.peers.SendDecision(box, group, d)
}

// Check asks a box which of its attempts are over.
func (r *Router) Check(box, group, engine string, ids []lifecycle.AttemptID) {
	if box == r.self {
		r.here.Check(r.self, group, engine, ids)
		return
	}
	// A question that is lost is asked again.
	_ = r.peers.SendCheck(box, group, engine, ids)
}
