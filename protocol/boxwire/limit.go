// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"time"

	"runridge.example/runridge/state/pace"
	"runridge.example/runridge/state/schedule"
)

// Limit is what the sender knows of the request rate that an engine accepts.
type Limit struct {
	Engine Ref
	// Named reports whether the engine states a limit. PerSecond is in requests a second.
	Named     bool
	PerSecond float64
	// AgeMS is how long ago the engine stated this.
	AgeMS int64
}

// Limits informs the home of a group of the limits that the sender knows.
type Limits struct {
	Group  Ref
	Limits []Limit
}

// Kind returns KindLimits.
func (*Limits) Kind() Kind { return KindLimits }

// FromLimits converts the limits of a group's engines to their message.
func FromLimits(group string, limits []schedule.EngineLimit) *Limits {
	return &Limits{Group: RefOf(group), Limits: fromLimits(limits)}
}

// EngineLimits converts the message back. It leaves out engines that are not in this box's
// table, and invalid limits.
func (l *Limits) EngineLimits(n *Names) []schedule.EngineLimit { return limitsOf(n, l.Limits) }

func fromLimits(limits []schedule.EngineLimit) []Limit {
	var out []Limit
	for _, l := range limits {
		out = append(out, Limit{
			Engine: RefOf(l.Engine), Named: l.Limit.Named, PerSecond: l.Limit.PerSecond, AgeMS: l.Age.Milliseconds(),
		})
	}
	return out
}

// limitsOf converts limits back. It leaves out those of engines that are not in this box's
// table, and those whose rate is invalid, even if Named is false.
func limitsOf(n *Names, limits []Limit) []schedule.EngineLimit {
	var out []schedule.EngineLimit
	for _, l := range limits {
		engine, known := n.Name(l.Engine)
		limit := pace.LimitOf(l.PerSecond)
		if !known || engine == "" || !limit.Named {
			continue
		}
		if !l.Named {
			limit = pace.Limit{}
		}
		out = append(out, schedule.EngineLimit{Engine: engine, Limit: limit, Age: time.Duration(max(l.AgeMS, 0)) * time.Millisecond})
	}
	return out
}
