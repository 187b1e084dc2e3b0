// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"maps"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/state/position"
)

// missingGracePeriod is how long boxes that disappeared from the list, because the
// platform was restored from an older copy, still count as listed: they rewrite their
// entries, and a box without an entry counts as ended.
const missingGracePeriod = 20 * time.Second

// listed is the platform's list of boxes as this box uses it. It is an immutable value.
type listed struct {
	// boxes holds the entries of the list and, until missingUntil, those of missing.
	boxes map[string]adapter.Box
	// missing holds the entries listed before the platform was last restored.
	missing      map[string]adapter.Box
	missingUntil time.Time
	era          uint64
}

// withRead returns the list after a read by the box named self.
func (l listed) withRead(now time.Time, self string, list []adapter.Box) listed {
	next := listed{boxes: make(map[string]adapter.Box, len(list)), missing: l.missing, missingUntil: l.missingUntil, era: l.era}
	for _, b := range list {
		next.boxes[b.Name] = b
		next.era = max(next.era, position.Era(b.Version))
	}
	if next.era > l.era {
		next.missing, next.missingUntil = maps.Clone(l.boxes), now.Add(missingGracePeriod)
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
