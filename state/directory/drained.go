// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"maps"
	"time"
)

// WithDrained returns the directory with another set of drained availability zones, which
// also applies to endpoints that appear later. The endpoints of a zone whose drain ended
// count as just started: without work they may have lost their caches, and their entries
// report it up to two seconds later.
func (d Directory) WithDrained(now time.Time, zones map[string]bool) Directory {
	d.drained = maps.Clone(zones)
	changed := make(map[string]*Status)
	d.each(func(w *Status) {
		if w.ZoneDrained == zones[w.Zone] {
			return
		}
		next := *w
		next.ZoneDrained = zones[w.Zone]
		if w.ZoneDrained {
			// It got no work during the drain, and its last report may be a heartbeat old.
			next = next.WithStart(now)
		}
		changed[w.ID] = &next
	})
	if len(changed) == 0 {
		return d
	}
	return d.with(changed)
}

// ZoneDrained reports whether an availability zone is drained.
func (d Directory) ZoneDrained(zone string) bool { return d.drained[zone] }
