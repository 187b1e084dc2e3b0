// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package home

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"runridge.example/runridge/coordination/notice"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/state/rank"
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
	live  atomic.Pointer[rank.Boxes]
	// established are the live boxes that homes are chosen from.
	established atomic.Pointer[rank.Boxes]
	// ranks are the orders that were worked out since the boxes last changed.
	ranks atomic.Pointer[ranks]

	// notices are what endpoints say of themselves, as far as this box knows; nil is
	// none.
	notices *notice.Keeper
	// turn counts the questions, so that of many limits each is told in turn.
	turn atomic.Uint64

	// mutex guards the layout that homes are worked out from.
	mutex  sync.Mutex
	groups atomic.Pointer[group.Groups]
	layout atomic.Pointer[group.Layout]
	homes  atomic.Pointer[map[string]string]
	// since is from when this box is the home of its groups, and liveSince from when
	// it sees the same boxes.
	since     atomic.Pointer[map[string]time.Time]
	liveSince time.Time
	// former are groups that another box has now, or that there are no more.
	former map[string]tenure
}

// tenure is when this box was the home of a group.
type tenure struct{ begun, ended time.Time }

// ranks are the orders of boxes for keys, worked out for the boxes of a time.
type ranks struct {
	// all are all boxes, owners the first of those established, homes those that
	// are asked for a group.
	all, owners, homes rank.Orders
}

// NewRouter makes the router of a box; Connect completes it.
func NewRouter(self string, peers Peers) *Router {
	r := &Router{self: self, peers: peers, former: make(map[string]tenure)}
	r.SetLive(rank.Of([]string{self}), rank.Of([]string{self}))
	return r
}

// Connect names this box's own home duty, its dispatcher, and what knows the endpoints'
// notices; nil knows none.
func (r *Router) Connect(local *Homes, here Decisions, notices *notice.Keeper) {
	r.local = local
	r.here = here
	r.notices = notices
}

// SetLive replaces the list of live boxes, and of those among them that homes
// are chosen from.
func (r *Router) SetLive(live, established rank.Boxes) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if before := r.established.Load(); before == nil || !before.Same(established) {
		r.liveSince = time.Now()
	}
	r.live.Store(&live)
	r.established.Store(&established)
	r.assign()
}

// SetGroups replaces the groups and their layout.
func (r *Router) SetGroups(g group.Groups) {
	r.groups.Store(&g)
	r.SetLayout(g.Layout())
}

// SetLayout replaces which groups there are.
func (r *Router) SetLayout(l *group.Layout) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if l == r.layout.Load() {
		return
	}
	r.layout.Store(l)
	r.assign()
}

// assign works the homes out anew. The mutex is held.
func (r *Router) assign() {
	layout := r.layout.Load()
	keys := make([]rank.Key, 0, len(layout.Keys()))
	for _, key := range layout.Keys() {
		keys = append(keys, keyOf(layout, key))
	}
	homes := r.established.Load().AssignNear(keys)
	since := r.homesSince(homes)
	r.since.Store(&since)
	r.homes.Store(&homes)
	r.ranks.Store(&ranks{})
}

// keyOf is a group as boxes are ranked for it.
func keyOf(l *group.Layout, key string) rank.Key {
	p := l.Place(key)
	return rank.Key{Name: key, Zone: p.Zone, Region: p.Region}
}

// homesSince is from when this box is home of its groups. Of a new group it is from
// when the boxes are the same: no other can have taken itself for its home since. If
// others ended in the same step, their endpoints may be in it; and if its zone is cut
// into another number of parts, those of its other parts are. The mutex is held.
func (r *Router) homesSince(homes map[string]string) map[string]time.Time {
	now := time.Now()
	before, since := r.homes.Load(), r.since.Load()
	out := make(map[string]time.Time)
	if before == nil || since == nil {
		before, since = &map[string]string{}, &map[string]time.Time{}
	}
	ended := slices.ContainsFunc(slices.Collect(maps.Keys(*before)), func(key string) bool { return homes[key] == "" })
	was, is := partsOf(*before), partsOf(homes)
	for key, box := range homes {
		zone := table.WholeZoneKey(key)
		cutAnew := was[zone] > 0 && was[zone] != is[zone]
		_, known := (*before)[key]
		begun, own := (*since)[key]
		last, had := r.former[key]
		switch {
		case box != r.self:
		case own && !cutAnew:
			out[key] = begun
		case had && now.Sub(last.ended) <= pace.ReturnTime:
			out[key] = last.begun
		case !known && !ended && !cutAnew:
			out[key] = r.liveSince
		default:
			out[key] = now
		}
	}
	r.noteFormer(now, *since, out)
	return out
}

// partsOf counts the groups of each zone of a service.
func partsOf(homes map[string]string) map[string]int {
	out := make(map[string]int, len(homes))
	for key := range homes {
		out[table.WholeZoneKey(key)]++
	}
	return out
}

// noteFormer keeps the groups that this box has just lost, and forgets those lost long
// ago. The mutex is held.
func (r *Router) noteFormer(now time.Time, before, after map[string]time.Time) {
	maps.DeleteFunc(r.former, func(_ string, t tenure) bool { return now.Sub(t.ended) > pace.ReturnTime })
	for key, begun := range before {
		if _, own := after[key]; !own {
			r.former[key] = tenure{begun: begun, ended: now}
		}
	}
}

// HomeFor is how long this box has been the home of a group; false is not at all.
func (r *Router) HomeFor(key string) (time.Duration, bool) {
	begun, own := (*r.since.Load())[key]
	return time.Since(begun), own
}

// Live is the number of live boxes.
func (r *Router) Live() int { return len(r.live.Load().Names()) }

// maxRank is how many boxes are tried as a group's home.
const maxRank = 3

// Ranked lists all boxes with duties in their order for a key.
func (r *Router) Ranked(key string) []string {
	return r.ranks.Load().all.Of(key, func() []string { return r.live.Load().Order(key) })
}

// ownersOfKey is how many boxes may have the duty of a key: the first, and the one
// that stands in for it.
const ownersOfKey = 2

// OwnersOf lists the boxes for a duty that belongs to a key, the first one first.
func (r *Router) OwnersOf(key string) []string {
	return r.ranks.Load().owners.Of(key, func() []string { return r.established.Load().First(key, ownersOfKey) })
}

// PlacesOf lists the groups of a service.
func (r *Router) PlacesOf(service string) []group.Place { return r.layout.Load().Places(service) }

// Places are the places of all groups.
func (r *Router) Places() []group.Place {
	layout := r.layout.Load()
	out := make([]group.Place, 0, len(layout.Keys()))
	for _, key := range layout.Keys() {
		out = append(out, layout.Place(key))
	}
	return out
}

// HomesOf names the boxes to ask for a group: its home, and those that are
// asked when it is silent.
func (r *Router) HomesOf(key string) []string {
	return r.ranks.Load().homes.Of(key, func() []string { return r.homesOf(key) })
}

func (r *Router) homesOf(key string) []string {
	live, at := r.live.Load(), keyOf(r.layout.Load(), key)
	first := r.HomeOf(key)
	if first == "" {
		return live.StandIns(at, "", maxRank)
	}
	return append([]string{first}, live.StandIns(at, first, maxRank-1)...)
}

// HomeOf names the home of a group as this box sees it; empty is none.
func (r *Router) HomeOf(key string) string {
	return (*r.homes.Load())[key]
}

// Tell sends a body to the named home. What asks for a plan, or takes one along, tells what
// this box knows of the limits that the group's endpoints name; what asks for a plan, to which
// of them this box may not send.
func (r *Router) Tell(box, group string, body Body) ring.Outcome {
	switch b := body.(type) {
	case schedule.Ask:
		b.Limits = r.limitsOf(group)
		b.Barred, b.Leaving = r.closedOf(group)
		body = b
	case schedule.Adopted:
		b.Ask.Limits = r.limitsOf(group)
		body = b
	}
	c := Command{From: r.self, Group: group, Body: body}
	if box == r.self {
		return r.local.Offer(c)
	}
	return r.peers.SendCommand(box, c)
}

// limitsOf is what this box knows of the limits that a group's endpoints name.
func (r *Router) limitsOf(key string) []schedule.EngineLimit {
	if !r.notices.Any() {
		return nil
	}
	g, ok := r.group(key)
	if !ok {
		return nil
	}
	return r.notices.Limits(g.Members, r.turn.Add(1))
}

// closedOf are the endpoints of a group that this box may not send to, and those of them
// that leave.
func (r *Router) closedOf(key string) (barred, leaving []string) {
	closed := r.notices.Closed()
	if len(closed) == 0 {
		return nil, nil
	}
	g, ok := r.group(key)
	if !ok {
		return nil, nil
	}
	for _, c := range closed {
		if !g.Has(c.Endpoint) {
			continue
		}
		barred = append(barred, c.Endpoint)
		if c.Leaving {
			leaving = append(leaving, c.Endpoint)
		}
	}
	return barred, leaving
}

// RestOf is after how long this box may send to the first endpoint of a group that rests; 0
// is that none does.
func (r *Router) RestOf(key string) time.Duration {
	g, ok := r.group(key)
	if !ok {
		return 0
	}
	return r.notices.LeastRest(g.Has)
}

// group finds a group by its key.
func (r *Router) group(key string) (*table.Group, bool) {
	groups := r.groups.Load()
	if groups == nil {
		return nil, false
	}
	return groups.Get(key)
}

// TellLimit tells the homes of an endpoint's groups of the limit that it names.
func (r *Router) TellLimit(l schedule.EngineLimit) {
	groups := r.groups.Load()
	if groups == nil {
		return
	}
	for _, key := range groups.Layout().Keys() {
		g, ok := groups.Get(key)
		if !ok || !g.Has(l.Engine) {
			continue
		}
		if box := r.HomeOf(key); box != "" {
			// One that is lost goes with the next question.
			_ = r.Tell(box, key, Limits{Of: []schedule.EngineLimit{l}})
		}
	}
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
