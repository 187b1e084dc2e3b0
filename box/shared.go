// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package box

import (
	"time"

	"runridge.example/runridge/coordination/home"
	"runridge.example/runridge/coordination/quota"
	"runridge.example/runridge/coordination/stages"
	"runridge.example/runridge/modules/ring"
	"runridge.example/runridge/modules/setting"
	"runridge.example/runridge/state/pace"
	limits "runridge.example/runridge/state/quota"
)

// fleet is how many boxes this one sees of all that there may be; it cannot tell
// before the platform's list was read.
func (b *Box) fleet() quota.Fleet {
	s := b.members.Snapshot()
	if s.Listed == nil {
		return quota.Fleet{}
	}
	return quota.Fleet{Seen: b.router.Live(), All: max(len(s.All), len(s.Listed))}
}

// standing is this box's part in a group.
func (b *Box) standing(group string) pace.Standing {
	f := b.fleet()
	homeFor, own := b.router.HomeFor(group)
	return pace.Standing{Home: own, For: homeFor, Seen: f.Seen, All: f.All}
}

// coldBoundOf is what the settings allow cold endpoints beyond their pace.
func coldBoundOf(s setting.Relay) pace.Bound {
	return pace.Bound{Overage: s.ColdOverage, Slack: s.ColdSlack}
}

// pauseRouted ends what this box may have counted for others while it stood still.
func (b *Box) pauseRouted() {
	if b.routed != nil {
		b.routed.quotas.Paused()
	}
}

// quotaBoundOf is what the settings allow beyond a quota.
func quotaBoundOf(s setting.Relay) limits.Bound {
	return limits.Bound{
		Window:  time.Duration(s.QuotaWindowSeconds * float64(time.Second)),
		Overage: s.QuotaOverage,
		Slack:   s.QuotaSlack,
	}
}

// stageRulesOf is what the settings say of the stages of engines.
func stageRulesOf(s setting.Relay) stages.Rules {
	return stages.Rules{
		Planned: s.Stages == setting.StagesPlanned,
		Part:    s.PrefillPart,
		Lease:   time.Duration(s.LeaseMS * float64(time.Millisecond)),
		Thaw:    time.Duration(s.ThawMS * float64(time.Millisecond)),
	}
}

// findEngine gives an engine that may get orders.
func (b *Box) findEngine(id string) (stages.Engine, bool) {
	w, ok := b.routed.discoverer.Directory().Status(id)
	if !ok || !w.Usable() || !b.notices.Standing(id).Open() {
		return stages.Engine{}, false
	}
	return stages.Engine{ID: w.ID, Service: w.Service, Address: w.Address, Born: w.Born}, true
}

// laterStages reaches the part that orders changes of stages, which is made after
// the homes.
type laterStages struct{ b *Box }

// Part is the pinned part, and whether stages are planned.
func (l laterStages) Part() (float64, bool) { return l.b.routed.stages.Part() }

// Offer queues the changes of a group.
func (l laterStages) Offer(c home.StageChanges) ring.Outcome { return l.b.routed.stages.Offer(c) }

// stages are what carries out changes of stages; nil without routed services.
func (b *Box) stages() home.Stages {
	if b.routed == nil {
		return nil
	}
	return laterStages{b}
}
