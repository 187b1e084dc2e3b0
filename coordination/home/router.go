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

// Peers sends messages to other boxes.
type Peers interface {
	SendCommand(box string, c Command) ring.Outcome
	SendDecision(box, group string, d schedule.Decision) ring.Outcome
	SendCheck(box, group, engine string, ids []lifecycle.AttemptID) ring.Outcome
}

// Decisions receives the decisions and checks for requests of this box.
type Decisions interface {
	HandleDecision(from, group string, d schedule.Decision)
	CheckAttempts(from, group, engine string, ids []lifecycle.AttemptID)
}

// Router sends questions to the homes of groups, and decisions back to the boxes that
// asked; this box may be either.
type Router struct {
	self      string
	peers     Peers
	local     *Homes
	decisions Decisions
	live      atomic.Pointer[rank.Boxes]
	// established are the live boxes that homes are chosen from.
	established atomic.Pointer[rank.Boxes]
	// ranks caches the orders that were computed since the boxes last changed.
	ranks atomic.Pointer[ranks]

	// notices holds the notices of endpoints, as far as this box knows them; nil means
	// none.
	notices *notice.Keeper
	// turn counts the questions; if there are too many limits for one question, the
	// questions send them in turn.
	turn atomic.Uint64

	// mutex guards the layout that homes are computed from.
	mutex  sync.Mutex
	groups atomic.Pointer[group.Groups]
	layout atomic.Pointer[group.Layout]
	homes  atomic.Pointer[map[string]string]
	// since is when this box became the home of each of its groups, and liveSince when the
	// set of established boxes last changed.
	since     atomic.Pointer[map[string]time.Time]
	liveSince time.Time
	// former are the groups whose home this box was until recently.
	former map[string]tenure
}

// tenure is the time in which this box was the home of a group.
type tenure struct{ begun, ended time.Time }

// ranks caches the orders of boxes by key, for one set of boxes.
type ranks struct {
	// all ranks all live boxes, owners the first of the established ones, and homes the
	// boxes to ask for a group.
	all, owners, homes rank.Orders
}

// NewRouter returns the router of a box; Connect completes it.
func NewRouter(self string, peers Peers) *Router {
	r := &Router{self: self, peers: peers, former: make(map[string]tenure)}
	r.SetLive(rank.Of([]string{self}), rank.Of([]string{self}))
	return r
}

// Connect sets this box's own homes, its dispatcher, and the keeper of the endpoints'
// notices; a nil keeper has no notices.
func (r *Router) Connect(local *Homes, here Decisions, notices *notice.Keeper) {
	r.local = local
	r.decisions = here
	r.notices = notices
}

// SetLive replaces the live boxes, and the established ones among them that homes are
// chosen from.
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

// SetLayout replaces the layout of the groups.
func (r *Router) SetLayout(l *group.Layout) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if l == r.layout.Load() {
		return
	}
	r.layout.Store(l)
	r.assign()
}

// assign computes the homes of all groups anew. The caller holds the mutex.
func (r *Router) assign() {
	layout := r.layout.Load()
	keys := make([]rank.Key, 0, len(layout.Keys()))
	for _, key := range layout.Keys() {
		keys = append(keys, rankKey(layout, key))
	}
	homes := r.established.Load().AssignNear(keys)
	since := r.homesSince(homes)
	r.since.Store(&since)
	r.homes.Store(&homes)
	r.ranks.Store(&ranks{})
}

// rankKey returns the key by which boxes are ranked for a group.
func rankKey(l *group.Layout, key string) rank.Key {
	p := l.Place(key)
	return rank.Key{Name: key, Zone: p.Zone, Region: p.Region}
}

// homesSince returns when this box became home of each of its groups. For a new group that
// is when the set of boxes last changed: no other box can have considered itself its home
// since. If other groups ended in the same step, the new group may have their endpoints;
// and if its zone is split into a different number of parts, it may have those of the other
// parts. In both cases it is now. The caller holds the mutex.
func (r *Router) homesSince(homes map[string]string) map[string]time.Time {
	now := time.Now()
	before, since := r.homes.Load(), r.since.Load()
	out := make(map[string]time.Time)
	if before == nil || since == nil {
		before, since = &map[string]string{}, &map[string]time.Time{}
	}
	ended := slices.ContainsFunc(slices.Collect(maps.Keys(*before)), func(key string) bool { return homes[key] == "" })
	partsBefore, partsAfter := partsOf(*before), partsOf(homes)
	for key, box := range homes {
		zone := table.WholeZoneKey(key)
		partsChanged := partsBefore[zone] > 0 && partsBefore[zone] != partsAfter[zone]
		_, known := (*before)[key]
		begun, own := (*since)[key]
		last, had := r.former[key]
		switch {
		case box != r.self:
		case own && !partsChanged:
			out[key] = begun
		case had && now.Sub(last.ended) <= pace.ReturnTime:
			out[key] = last.begun
		case !known && !ended && !partsChanged:
			out[key] = r.liveSince
		default:
			out[key] = now
		}
	}
	r.updateFormer(now, *since, out)
	return out
}

// partsOf returns the number of groups of each zone of a service.
func partsOf(homes map[string]string) map[string]int {
	out := make(map[string]int, len(homes))
	for key := range homes {
		out[table.WholeZoneKey(key)]++
	}
	return out
}

// updateFormer records the groups that this box has just lost, and deletes those lost
// longer than pace.ReturnTime ago. The caller holds the mutex.
func (r *Router) updateFormer(now time.Time, before, after map[string]time.Time) {
	maps.DeleteFunc(r.former, func(_ string, t tenure) bool { return now.Sub(t.ended) > pace.ReturnTime })
	for key, begun := range before {
		if _, own := after[key]; !own {
			r.former[key] = tenure{begun: begun, ended: now}
		}
	}
}

// HomeDuration returns how long this box has been the home of a group; false means that it is
// not its home.
func (r *Router) HomeDuration(key string) (time.Duration, bool) {
	begun, own := (*r.since.Load())[key]
	return time.Since(begun), own
}

// Live returns the number of live boxes.
func (r *Router) Live() int { return len(r.live.Load().Names()) }

// maxRank is the number of boxes that are tried as a group's home.
const maxRank = 3

// Ranked returns all live boxes in their order for a key.
func (r *Router) Ranked(key string) []string {
	return r.ranks.Load().all.Of(key, func() []string { return r.live.Load().Order(key) })
}

// maxOwners is the number of boxes that may own a key: the first, and its stand-in.
const maxOwners = 2

// OwnersOf returns the boxes that may own a key, the owner first.
func (r *Router) OwnersOf(key string) []string {
	return r.ranks.Load().owners.Of(key, func() []string { return r.established.Load().First(key, maxOwners) })
}

// PlacesOf returns the groups of a service.
func (r *Router) PlacesOf(service string) []group.Place { return r.layout.Load().Places(service) }

// Places returns all groups.
func (r *Router) Places() []group.Place {
	layout := r.layout.Load()
	out := make([]group.Place, 0, len(layout.Keys()))
	for _, key := range layout.Keys() {
		out = append(out, layout.Place(key))
	}
	return out
}

// HomesOf returns the boxes to ask for a group: its home, then those to ask if the home
// does not answer.
func (r *Router) HomesOf(key string) []string {
	return r.ranks.Load().homes.Of(key, func() []string { return r.homesOf(key) })
}

func (r *Router) homesOf(key string) []string {
	live, at := r.live.Load(), rankKey(r.layout.Load(), key)
	first := r.HomeOf(key)
	if first == "" {
		return live.StandIns(at, "", maxRank)
	}
	return append([]string{first}, live.StandIns(at, first, maxRank-1)...)
}

// HomeOf returns the home of a group as this box sees it, or "".
func (r *Router) HomeOf(key string) string {
	return (*r.homes.Load())[key]
}

// Send sends a body to the given home. An ask and an adopted plan carry the limits that the
// group's endpoints name, as far as this box knows them; an ask also carries the endpoints
// that this box may not send to.
func (r *Router) Send(box, group string, body Body) ring.Outcome {
	switch b := body.(type) {
	case schedule.Ask:
		b.Limits = r.limitsOf(group)
		b.Excluded, b.Leaving = r.closedOf(group)
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

// limitsOf returns the limits that a group's endpoints name, as far as this box knows them.
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

// closedOf returns the endpoints of a group that this box may not send to, and those of
// them that are leaving.
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

// LeastRest returns the time until this box may send to the first endpoint of a group that is
// resting, or 0 if none is.
func (r *Router) LeastRest(key string) time.Duration {
	g, ok := r.group(key)
	if !ok {
		return 0
	}
	return r.notices.ShortestRest(g.Has)
}

// group returns the group with a key.
func (r *Router) group(key string) (*table.Group, bool) {
	groups := r.groups.Load()
	if groups == nil {
		return nil, false
	}
	return groups.Get(key)
}

// SendLimit sends the limit that an endpoint names to the homes of its groups.
func (r *Router) SendLimit(l schedule.EngineLimit) {
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
			// If it is lost, the next question carries the limit.
			_ = r.Send(box, key, Limits{Of: []schedule.EngineLimit{l}})
		}
	}
}

// Answer sends a decision to the box that asked.
func (r *Router) Answer(box, group string, d schedule.Decision) {
	if box == r.self {
		r.decisions.HandleDecision(r.self, group, d)
		return
	}
	// If the decision cannot be sent, the other box asks again.
	_ = r.peers.SendDecision(box, group, d)
}

// CheckAttempts asks a box which of its attempts are over.
func (r *Router) CheckAttempts(box, group, engine string, ids []lifecycle.AttemptID) {
	if box == r.self {
		r.decisions.CheckAttempts(r.self, group, engine, ids)
		return
	}
	// If the question is lost, a later check asks again.
	_ = r.peers.SendCheck(box, group, engine, ids)
}
