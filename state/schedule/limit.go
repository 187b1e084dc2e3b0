// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"time"

	"runridge.example/runridge/state/pace"
)

// engineLimitState is the limit that an engine announces, and the token bucket of what was
// granted of it.
type engineLimitState struct {
	pace.Limit
	// known is true if the group knows, as of seenAt, which limit the engine has or that it has
	// none.
	known  bool
	seenAt int64
	bucket pace.Bucket
}

// exhausted reports whether the limit allows no grant now.
func (l *engineLimitState) exhausted() bool { return l.Named && !l.bucket.Allows() }

// limitedCount returns the number of engines left out because of their own limit.
func (g *Group) limitedCount() int {
	n := 0
	for i := range g.engines {
		if g.view.Engines[i].Paced && g.engines[i].limit.exhausted() {
			n++
		}
	}
	return n
}

// consume counts one grant against the limit.
func (l *engineLimitState) consume() {
	if l.Named {
		l.bucket = l.bucket.WithTaken()
	}
}

// LimitChange reports a change of an engine's limit.
type LimitChange struct {
	Engine        string
	Before, After pace.Limit
	// Age is the time from the engine's announcement until the group received it.
	Age time.Duration
}

// UpdateLimits records what a box knows of engines' limits and returns the changes. Information
// that is older than what the group has is ignored.
func (g *Group) UpdateLimits(now time.Time, limits []EngineLimit) []LimitChange {
	t := sinceStart(g.start, now)
	var out []LimitChange
	for _, l := range limits {
		i, ok := g.index[l.Engine]
		if !ok {
			continue
		}
		e, seen := &g.engines[i], t-int64(l.Age)
		if e.limit.known && seen <= e.limit.seenAt {
			continue
		}
		before := e.limit.Limit
		if l.Limit.Named && !before.Named {
			e.limit.bucket = pace.NewBucket(time.Duration(t), g.unsentDecodes(i))
		}
		e.limit.Limit, e.limit.known, e.limit.seenAt = l.Limit, true, seen
		if before != l.Limit {
			out = append(out, LimitChange{Engine: l.Engine, Before: before, After: l.Limit, Age: l.Age})
		}
	}
	return out
}

// unsentDecodes returns the number of grants for a decode engine whose prefill is not done.
func (g *Group) unsentDecodes(i int) int {
	n := 0
	for _, gr := range g.grants {
		if gr.decode == i && gr.prefill != none && !gr.prefilled {
			n++
		}
	}
	return n
}

// limitRate returns how many requests per second this group may grant to an engine with a
// limit; 0 for an engine without one.
func (g *Group) limitRate(t int64, e *engine) float64 {
	if !e.limit.Named {
		return 0
	}
	return e.limit.Rate(g.limitShare(t) / float64(max(e.spec.SharedBy, 1)))
}

func (g *Group) limitShare(t int64) float64 {
	if g.cfg.LimitShare == nil {
		return 1
	}
	return g.cfg.LimitShare(g.start.Add(time.Duration(t)))
}

// fillBuckets refills the token buckets of engines with a limit up to now.
func (g *Group) fillBuckets(t int64) {
	for i := range g.engines {
		if e := &g.engines[i]; e.limit.Named {
			e.limit.bucket = e.limit.bucket.WithTime(time.Duration(t), g.limitRate(t, e))
		}
	}
}

// limitsFor returns the limits to send with a grant: those of its engines, and those for which
// its ask had other information.
func (g *Group) limitsFor(t int64, gr *grant) []EngineLimit {
	var out []EngineLimit
	for i := range g.engines {
		e := &g.engines[i]
		if !e.limit.known {
			continue
		}
		if e.limit.Named && (i == gr.prefill || i == gr.decode) || askHasOtherLimit(gr.ask, e) {
			out = append(out, EngineLimit{Engine: e.spec.Name, Limit: e.limit.Limit, Age: time.Duration(t - e.limit.seenAt)})
		}
	}
	return out
}

// askHasOtherLimit reports whether the ask has a limit for the engine that differs from the one
// known here, which is replaced only by newer information.
func askHasOtherLimit(a Ask, e *engine) bool {
	for _, l := range a.Limits {
		if l.Engine == e.spec.Name {
			return l.Limit != e.limit.Limit
		}
	}
	return false
}

// LimitedEngine is the status of an engine with a limit, for operators.
type LimitedEngine struct {
	Engine string
	Limit  pace.Limit
	// Rate is how many requests per second this group may grant.
	Rate float64
	// Since is the time since the engine last announced its limit.
	Since time.Duration
}

// LimitedEngines lists the engines of the group that have a limit.
func (g *Group) LimitedEngines(now time.Time) []LimitedEngine {
	t := sinceStart(g.start, now)
	var out []LimitedEngine
	for i := range g.engines {
		if e := &g.engines[i]; e.limit.Named {
			out = append(out, LimitedEngine{
				Engine: e.spec.Name, Limit: e.limit.Limit, Rate: g.limitRate(t, e), Since: time.Duration(t - e.limit.seenAt),
			})
		}
	}
	return out
}
