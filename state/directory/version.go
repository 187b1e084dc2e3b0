// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"maps"
	"slices"
	"time"

	"runridge.example/runridge/state/streams"
)

// Versions lists the software versions, sorted, that endpoints of a service have or had within the
// given time, at most streams.Keep. It leaves out unknown ones.
func (d Directory) Versions(service string, now time.Time, within time.Duration) []string {
	found := make(map[string]bool)
	d.each(func(w *Status) {
		if w.Service == service && !w.Gone && w.Version != "" {
			found[w.Version] = true
		}
	})
	for version, ended := range d.endedVersions[service] {
		if now.Sub(ended) <= within {
			found[version] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// KnownSince returns when the directory first received data of the platform; zero means never.
func (d Directory) KnownSince() time.Time { return d.since }

// withEndedVersions returns the directory that remembers the versions which endpoints cease to have
// by a change of their statuses.
func (d Directory) withEndedVersions(now time.Time, changed map[string]*Status) Directory {
	var ended map[string]map[string]time.Time
	for id, w := range changed {
		old, known := d.all().Get(id)
		if !known || old.Gone || old.Version == "" || !w.Gone && w.Version == old.Version {
			continue
		}
		if ended == nil {
			ended = make(map[string]map[string]time.Time, len(d.endedVersions)+1)
			for service, versions := range d.endedVersions {
				kept := maps.Clone(versions)
				maps.DeleteFunc(kept, func(_ string, at time.Time) bool { return now.Sub(at) > streams.Keep })
				ended[service] = kept
			}
		}
		if ended[old.Service] == nil {
			ended[old.Service] = make(map[string]time.Time)
		}
		ended[old.Service][old.Version] = now
	}
	if ended != nil {
		d.endedVersions = ended
	}
	return d
}
