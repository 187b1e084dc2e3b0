// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import "time"

// leavingFor is how long an engine counts as leaving after the last report from a box. Boxes
// repeat it with each ask while the engine leaves, so it expires by itself once the engine has
// restarted.
const leavingFor = 5 * time.Second

// noteLeaving records engines that a box reported as leaving.
func (g *Group) noteLeaving(t int64, engines []string) {
	for _, name := range engines {
		i, ok := g.index[name]
		if !ok {
			continue
		}
		g.leavingChanged = g.leavingChanged || !g.engines[i].isLeaving(t)
		g.engines[i].leavingUntil = t + int64(leavingFor)
	}
}

// isLeaving reports whether the engine gets no new requests because it is leaving.
func (e *engine) isLeaving(t int64) bool { return e.spec.Leaving || t < e.leavingUntil }
