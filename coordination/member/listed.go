// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"maps"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/state/position"
)

// missingFor is how long boxes that a platform which came back older does not list any more
// are taken for listed: they write their entries again, and a box without one counts as ended.
const missingFor = 20 * time.Second

// listed is the platform's list as this box takes it.
type listed struct {
	// boxes are those on the list, and those that are missing from it until missingUntil.
	boxes        map[string]adapter.Box
	missing      map[string]adapter.Box
	missingUntil time.Time
	era          uint64
}

// with returns the list after a reading by the box that is named.
func (l listed) with(now time.Time, self string, list []adapter.Box) listed {
	next := listed{boxes: make(map[string]adapter.Box, len(list)), missing: l.missing, missingUntil: l.missingUntil, era: l.era}
	for _, b := range list {
		next.boxes[b.Name] = b
		next.era = max(next.era, position.Era(b.Version))
	}
	if next.era > l.era {
		next.missing, next.missingUntil = maps.Clone(l.boxes), now.Add(missingFor)
		delete(next.missing, self)
	}
	if !now.Before(next.missingUntil) {
		next.missing = nil
	}
	for name, b := range next.missing {
		if _, found := next.boxes[name]; !found {
			next.boxes[name] = b
		}
	}
	return next
}
