// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package home

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/state/group"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/schedule"
	"runridge.example/runridge/state/table"
)

// configure applies changed groups to those that run here. Groups whose endpoints and table
// are unchanged are skipped.
func (h *Homes) configure(known group.Groups) {
	if h.known.Table().Stamp().NewerThan(known.Table().Stamp()) {
		return
	}
	sameTable := known.Table().Stamp() == h.known.Table().Stamp()
	h.known = known
	now := time.Now()
	for key, g := range h.groups {
		spec, ok := known.Get(key)
		if !ok {
			h.drop(key, g, lifecycle.ReasonRouteRemoved)
			continue
		}
		if sameTable && spec == g.spec {
			continue
		}
		g.spec = spec
		h.answer(key, g.Configure(now, h.groupConfig(spec)))
		h.watch(key, spec)
	}
}

// watch passes the engines of a group to Config.Watch.
func (h *Homes) watch(key string, spec *table.Group) {
	if h.cfg.Watch == nil {
		return
	}
	engines := make([]table.Endpoint, 0, len(spec.Members))
	for _, m := range spec.Members {
		if m.Model {
			engines = append(engines, m.Endpoint)
		}
	}
	h.cfg.Watch(key, engines)
}

// drop ends a group on this box and refuses the requests that wait in it.
func (h *Homes) drop(key string, g *runningGroup, reason lifecycle.Reason) {
	for _, a := range g.Waiters() {
		h.cfg.Answers.Answer(a.Box, key, schedule.Refusal{Ask: a, Reason: reason, RetryAfter: time.Second})
	}
	delete(h.groups, key)
	h.cold.keepGrants(time.Now(), g.Paced())
	if h.cfg.Watch != nil {
		h.cfg.Watch(key, nil)
	}
	h.cfg.Log.WithFields(log.Fields{"group": key, log.FieldReason: string(reason)}).Info("home_ended")
}

// retire drops the groups that have another home now, once nothing is granted or waits
// there and retireAfter has passed. Boxes learn of a change at different times, and those
// that have not yet go on asking here. When groups were dropped at each change, a group was
// started anew 15 times in four seconds while all boxes of a fleet came back, each time
// without its grants, and its engines rejected what did not fit.
func (h *Homes) retire(now time.Time) {
	for key, g := range h.groups {
		if h.cfg.Answers.HomeOf(key) == h.cfg.Self || g.Granted()+g.Waiting() > 0 {
			g.lastNeeded = now
			continue
		}
		if now.Sub(g.lastNeeded) >= retireAfter {
			h.drop(key, g, lifecycle.ReasonHomeMoved)
		}
	}
}

// retireAfter is how long a group whose home has moved must be unused before it is dropped.
// Boxes agree on homes some four seconds after a change; until then a group with little
// load must not be started anew for each of its requests.
const retireAfter = 5 * time.Second

// releaseLost releases the grants of processes that no longer run.
func (h *Homes) releaseLost() {
	lost := h.lost.Load()
	for _, box := range lost.Dead {
		h.dropBox(box)
	}
	for box, start := range lost.Starts {
		h.dropBefore(box, start)
	}
}

// groupOrStart returns a group that runs here, or starts it: the first question makes this
// box its home. It returns nil for a group that this box does not know yet.
func (h *Homes) groupOrStart(key string) *runningGroup {
	if g, ok := h.groups[key]; ok {
		return g
	}
	spec, ok := h.known.Get(key)
	if !ok || len(spec.Members) == 0 && h.known.Revision() == 0 {
		// A starting box has the table before the endpoints. As home it would refuse
		// requests for want of engines.
		return nil
	}
	cfg := h.groupConfig(spec)
	cfg.Cautious = h.cfg.Watch != nil
	cfg.PacedWindows = h.cold.endedGrants
	g := &runningGroup{Group: schedule.New(cfg, h.start), spec: spec, lastNeeded: time.Now()}
	h.groups[key] = g
	h.watch(key, spec)
	h.cfg.Log.WithFields(log.Fields{"group": key, log.FieldGeneration: h.known.Table().Generation}).Info("home_started")
	return g
}

func (h *Homes) groupConfig(spec *table.Group) schedule.Config {
	t := h.known.Table()
	s, _ := t.Service(spec.Service)
	accounts := make(map[string]table.Account, len(t.Accounts))
	for _, a := range t.Accounts {
		accounts[a.Name] = a
	}
	return schedule.Config{
		Targets:       targets(s),
		Engines:       engineSpecs(t, spec),
		LinkRate:      t.LinkRate,
		AccountWeight: func(name string) int { return accounts[name].Weight },
		AccountLimit:  func(name string) int { return accounts[name].MaxInFlight },
		ColdLimit:     h.coldLimit(spec.Key, s),
		LimitShare:    h.limitShare(spec.Key),
		GrowingMemory: s.Engine != nil,
		Plain:         s.Kind == table.KindPlain,
		Policy:        h.cfg.Policy,
		Health:        h.cfg.Health,
		Seed:          h.cfg.Seed + xxhash.Sum64String(spec.Key),
	}
}

// plainWait is how long a call to a plain service may wait for a slot if the table sets no
// target.
const plainWait = 5 * time.Second

func targets(s table.Service) schedule.Targets {
	out := schedule.Targets{
		FirstToken:      time.Duration(s.FirstTokenMS) * time.Millisecond,
		FirstTokenPer1K: time.Duration(s.FirstTokenMSPer1K) * time.Millisecond,
		PerToken:        time.Duration(s.PerTokenMS) * time.Millisecond,
		WasteWeight:     s.WasteWeight,
	}
	if s.Kind == table.KindPlain {
		// A plain call has no tokens; only its slot is scheduled.
		out.FirstToken = max(out.FirstToken, plainWait)
		out.PerToken = plainWait
	}
	return out
}

// plainRate is the prefill rate of plain endpoints, in tokens per second: high enough that
// the prefill of a plain call costs nothing.
const plainRate = 1e12

func engineSpecs(t table.Table, spec *table.Group) []schedule.EngineSpec {
	out := make([]schedule.EngineSpec, 0, len(spec.Members))
	for _, m := range spec.Members {
		e := m.Endpoint
		rate := float64(e.PrefillTokensPerSecond)
		if !m.Model {
			rate = plainRate
		}
		out = append(out, schedule.EngineSpec{
			Name:            e.Name,
			Zone:            e.Zone,
			Prefill:         m.Prefill,
			Decode:          m.Decode,
			Slots:           m.Holds,
			KVTokens:        e.KVTokens,
			PrefillRate:     rate,
			StepBase:        time.Duration(e.StepBaseUS) * time.Microsecond,
			StepPerRequest:  time.Duration(e.StepPerRequestUS) * time.Microsecond,
			KVBytesPerToken: e.KVBytesPerToken,
			Leaving:         e.Leaving,
			Weight:          m.Weight,
			ColdUntil:       m.ColdUntil,
			SharedBy:        t.CountServices(e),
			Software:        e.Software,
		})
	}
	return out
}

// dropBox releases the grants of a dead box.
func (h *Homes) dropBox(box string) {
	for key, g := range h.groups {
		h.answer(key, g.DropBox(time.Now(), box))
	}
}

// dropBefore releases the grants of a box's processes that started before the given
// incarnation.
func (h *Homes) dropBefore(box string, start uint64) {
	for key, g := range h.groups {
		h.answer(key, g.DropBefore(time.Now(), box, start))
	}
}
