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

// fleet returns how many boxes this one sees out of all that may exist. It is empty until
// the platform's list was read, because the total is not known before.
func (b *Box) fleet() quota.Fleet {
	s := b.members.Snapshot()
	if s.Listed == nil {
		return quota.Fleet{}
	}
	return quota.Fleet{Seen: b.router.Live(), All: max(len(s.All), len(s.Listed))}
}

// standing returns this box's role in a group: whether it is the home and for how long, and
// how many boxes it sees.
func (b *Box) standing(group string) pace.Standing {
	f := b.fleet()
	homeFor, own := b.router.HomeDuration(group)
	return pace.Standing{Home: own, For: homeFor, Seen: f.Seen, All: f.All}
}

// coldBoundOf returns how far the settings let cold endpoints exceed their pace.
func coldBoundOf(s setting.Relay) pace.Bound {
	return pace.Bound{Overage: s.ColdOverage, Slack: s.ColdSlack}
}

// pauseRouted drops the quota buckets that this box kept as a home: while its process was
// paused, other homes may have granted the same quota.
func (b *Box) pauseRouted() {
	if b.routed != nil {
		b.routed.quotas.NotePause()
	}
}

// quotaBoundOf returns how far the settings let accounts exceed their quotas.
func quotaBoundOf(s setting.Relay) limits.Bound {
	return limits.Bound{
		Window:  time.Duration(s.QuotaWindowSeconds * float64(time.Second)),
		Overage: s.QuotaOverage,
		Slack:   s.QuotaSlack,
	}
}

// stageRulesOf returns the settings for the stages of engines.
func stageRulesOf(s setting.Relay) stages.Rules {
	return stages.Rules{
		Planned: s.Stages == setting.StagesPlanned,
		Part:    s.PrefillPart,
		Lease:   time.Duration(s.LeaseMS * float64(time.Millisecond)),
		Thaw:    time.Duration(s.ThawMS * float64(time.Millisecond)),
	}
}

// findEngine returns an engine, and whether it is known, usable and open to requests.
func (b *Box) findEngine(id string) (stages.Engine, bool) {
	w, ok := b.routed.discoverer.Directory().Status(id)
	if !ok || !w.Usable() || !b.notices.Availability(id).Open() {
		return stages.Engine{}, false
	}
	return stages.Engine{ID: w.ID, Service: w.Service, Address: w.Address, Born: w.Born}, true
}

// stagesRef gives the homes access to the keeper that changes engines' stages, which is
// created after them.
type stagesRef struct{ b *Box }

// Part returns the pinned fraction of engines that prefill, and whether stages are planned.
func (l stagesRef) Part() (float64, bool) { return l.b.routed.stages.Part() }

// Offer queues a group's changes of stages.
func (l stagesRef) Offer(c home.StageChanges) ring.Outcome { return l.b.routed.stages.Offer(c) }

// stages returns the part that carries out changes of stages; nil without routed services.
func (b *Box) stages() home.Stages {
	if b.routed == nil {
		return nil
	}
	return stagesRef{b}
}
