// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import (
	"time"

	"runridge.example/runridge/state/pace"
)

// limited is the limit that an engine names and what was granted of it.
type limited struct {
	pace.Limit
	// known says that the engine is known to name a limit, or none, as of seen.
	known  bool
	seen   int64
	bucket pace.Bucket
}

// spent says whether nothing may be granted now.
func (l *limited) spent() bool { return l.Named && !l.bucket.Allows() }

// limitedOut is the number of engines that are held back by their own limit.
func (g *Group) limitedOut() int {
	n := 0
	for i := range g.engines {
		if g.view.Engines[i].Paced && g.engines[i].limit.spent() {
			n++
		}
	}
	return n
}

// take counts a grant.
func (l *limited) take() {
	if l.Named {
		l.bucket = l.bucket.WithTaken()
	}
}

// LimitChange is an engine whose limit has changed.
type LimitChange struct {
	Engine        string
	Before, After pace.Limit
	// Age is how old the word was when it came.
	Age time.Duration
}

// NameLimits takes in what a box knows of engines' limits, and returns what that changes.
// What the group knows already from a later answer stays.
func (g *Group) NameLimits(now time.Time, limits []EngineLimit) []LimitChange {
	t := sinceStart(g.start, now)
	var out []LimitChange
	for _, l := range limits {
		i, ok := g.index[l.Engine]
		if !ok {
			continue
		}
		e, seen := &g.engines[i], t-int64(l.Age)
		if e.limit.known && seen <= e.limit.seen {
			continue
		}
		before := e.limit.Limit
		if l.Limit.Named && !before.Named {
			e.limit.bucket = pace.NewBucket(time.Duration(t), g.unsent(i))
		}
		e.limit.Limit, e.limit.known, e.limit.seen = l.Limit, true, seen
		if before != l.Limit {
			out = append(out, LimitChange{Engine: l.Engine, Before: before, After: l.Limit, Age: l.Age})
		}
	}
	return out
}

// unsent is how many requests were granted for a decode engine whose prefill is not done.
func (g *Group) unsent(i int) int {
	n := 0
	for _, gr := range g.grants {
		if gr.decode == i && gr.prefill != none && !gr.prefilled {
			n++
		}
	}
	return n
}

// limitRate is how many requests a second an engine may be granted here, if it names a
// limit.
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

// fillBuckets brings the buckets of the engines that name a limit up to now.
func (g *Group) fillBuckets(t int64) {
	for i := range g.engines {
		if e := &g.engines[i]; e.limit.Named {
			e.limit.bucket = e.limit.bucket.WithTime(time.Duration(t), g.limitRate(t, e))
		}
	}
}

// limitsFor are the limits that go with a grant: those of its engines, and those of which
// its ask knew something older.
func (g *Group) limitsFor(t int64, gr *grant) []EngineLimit {
	var out []EngineLimit
	for i := range g.engines {
		e := &g.engines[i]
		if !e.limit.known {
			continue
		}
		if e.limit.Named && (i == gr.prefill || i == gr.decode) || toldOlder(gr.ask, e) {
			out = append(out, EngineLimit{Engine: e.spec.Name, Limit: e.limit.Limit, Age: time.Duration(t - e.limit.seen)})
		}
	}
	return out
}

// toldOlder says whether an ask told another limit of an engine than is known here: what is
// told later replaces what is known.
func toldOlder(a Ask, e *engine) bool {
	for _, l := range a.Limits {
		if l.Engine == e.spec.Name {
			return l.Limit != e.limit.Limit
		}
	}
	return false
}

// LimitedEngine is what operators see of an engine that names a limit.
type LimitedEngine struct {
	Engine string
	Limit  pace.Limit
	// Rate is how many requests a second may be granted here.
	Rate float64
	// Since is how long ago the engine was last heard to name it.
	Since time.Duration
}

// LimitedEngines lists the engines of the group that name a limit.
func (g *Group) LimitedEngines(now time.Time) []LimitedEngine {
	t := sinceStart(g.start, now)
	var out []LimitedEngine
	for i := range g.engines {
		if e := &g.engines[i]; e.limit.Named {
			out = append(out, LimitedEngine{
				Engine: e.spec.Name, Limit: e.limit.Limit, Rate: g.limitRate(t, e), Since: time.Duration(t - e.limit.seen),
			})
		}
	}
	return out
}
