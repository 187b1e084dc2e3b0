// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"time"

	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/state/schedule"
)

// Limit is what is known of the limit that an engine names.
type Limit struct {
	Engine Ref
	// Named says that it names one, of so many requests a second.
	Named     bool
	PerSecond float64
	// AgeMS is how long ago it said so.
	AgeMS int64
}

// Limits tells the home of a group what its sender knows of limits.
type Limits struct {
	Group  Ref
	Limits []Limit
}

// Kind is KindLimits.
func (*Limits) Kind() Kind { return KindLimits }

// FromLimits converts limits of a group's engines to their message.
func FromLimits(group string, limits []schedule.EngineLimit) *Limits {
	return &Limits{Group: RefOf(group), Limits: fromLimits(limits)}
}

// Of converts the message back.
func (l *Limits) Of(n *Names) []schedule.EngineLimit { return limitsOf(n, l.Limits) }

func fromLimits(limits []schedule.EngineLimit) []Limit {
	var out []Limit
	for _, l := range limits {
		out = append(out, Limit{
			Engine: RefOf(l.Engine), Named: l.Limit.Named, PerSecond: l.Limit.PerSecond, AgeMS: l.Age.Milliseconds(),
		})
	}
	return out
}

// limitsOf converts limits back. Those of engines that are not known here, and those that
// are none, are left out.
func limitsOf(n *Names, limits []Limit) []schedule.EngineLimit {
	var out []schedule.EngineLimit
	for _, l := range limits {
		engine, known := n.Name(l.Engine)
		of := pace.LimitOf(l.PerSecond)
		if !known || engine == "" || !of.Named {
			continue
		}
		if !l.Named {
			of = pace.Limit{}
		}
		out = append(out, schedule.EngineLimit{Engine: engine, Limit: of, Age: time.Duration(max(l.AgeMS, 0)) * time.Millisecond})
	}
	return out
}
