// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package schedule

import "time"

// leavingFor is how long an engine counts as leaving after a box last told so. Boxes tell it
// with each question while the engine leaves, so that it ends by itself when the engine has
// started again.
const leavingFor = 5 * time.Second

// noteLeaving takes in which engines told a box that they leave.
func (g *Group) noteLeaving(t int64, engines []string) {
	for _, name := range engines {
		i, ok := g.index[name]
		if !ok {
			continue
		}
		g.stranded = g.stranded || !g.engines[i].leaves(t)
		g.engines[i].leavingUntil = t + int64(leavingFor)
	}
}

// leaves says whether the engine gets nothing new since it leaves.
func (e *engine) leaves(t int64) bool { return e.spec.Leaving || t < e.leavingUntil }
