// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package drain knows which availability zones are drained: their endpoints get
// nothing new until the operator takes the drain back. It is pure: positions are
// arguments and Zones is an immutable value.
package drain

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"runridge.example/runridge/state/position"
)

// Zone is one drained availability zone.
type Zone struct {
	Name string
	// Revision is the platform's revision of the operator's write.
	Revision uint64
}

// Change is one change on the platform.
type Change struct {
	Zone Zone
	// Ended says that the drain was taken back.
	Ended bool
}

// Zones are the drained zones as of a position of the platform.
type Zones struct {
	// at is the platform's revision at which the list was whole; 0 is never.
	at uint64
	// revision is that of the last change, as far as this box or another knows.
	revision uint64
	drained  []Zone
	// ended are drains that ended, as they were written.
	ended []Zone
}

// firstRevision is that of a list on which no zone was ever drained, as of a position: 0
// says that nothing is known.
func firstRevision(at uint64) uint64 { return position.Of(position.Era(at), 1) }

// Update is the drained zones on their way from one box to another.
type Update struct {
	// Origin is the box that read them from the platform; empty is an answer to
	// a question.
	Origin       string
	At, Revision uint64
	Drained      []Zone
}

// Known says whether the drained zones were ever heard.
func (z Zones) Known() bool { return z.at > 0 }

// At is the platform's revision at which the list was whole.
func (z Zones) At() uint64 { return z.at }

// Revision grows with each change that a box sees.
func (z Zones) Revision() uint64 { return z.revision }

// Version is what a box names to the others with each message: those that name the
// same one agree. The zero value knows nothing.
type Version struct {
	Revision uint64
	// Digest is that of the drained zones. Two boxes that have just started may
	// know different ones by the same revision, as neither saw what has ended.
	Digest uint64
}

// Version is that of the zones.
func (z Zones) Version() Version {
	hash := xxhash.New()
	for _, zone := range z.drained {
		// A hash takes all that it is given.
		_, _ = fmt.Fprintf(hash, "%q %d ", zone.Name, position.Revision(zone.Revision))
	}
	return Version{Revision: z.revision, Digest: hash.Sum64()}
}

// Misses says whether a box that names a version may know what is not known here.
func (z Zones) Misses(v Version) bool {
	return v.Revision > z.revision || v.Revision > 0 && v.Revision == z.revision && v.Digest != z.Version().Digest
}

// Drained lists the drained zones by name.
func (z Zones) Drained() []Zone { return slices.Clone(z.drained) }

// Names are the names of the drained zones, as a set.
func (z Zones) Names() map[string]bool {
	out := make(map[string]bool, len(z.drained))
	for _, zone := range z.drained {
		out[zone.Name] = true
	}
	return out
}

// Same says whether two boxes, or one at two times, know the same.
func (z Zones) Same(o Zones) bool {
	return z.revision == o.revision && slices.Equal(z.drained, o.drained)
}

// Update gives the zones the form in which they go to other boxes.
func (z Zones) Update(origin string) Update {
	return Update{Origin: origin, At: z.at, Revision: z.revision, Drained: z.Drained()}
}

// sorted copies zones in the order of their names.
func sorted(zones []Zone) []Zone {
	out := slices.Clone(zones)
	slices.SortFunc(out, func(a, b Zone) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// WithList returns the zones after a whole list as of a revision. An older list
// changes nothing.
func (z Zones) WithList(at uint64, list []Zone) Zones {
	if at < z.at {
		return z
	}
	list = sorted(list)
	revision := max(z.revision, firstRevision(at))
	switch {
	case slices.Equal(list, z.drained):
	case z.Known():
		revision = at
	default:
		for _, zone := range list {
			revision = max(revision, zone.Revision)
		}
	}
	return z.with(at, revision, list)
}

// with returns the zones as of a position with others drained, and remembers which ended.
func (z Zones) with(at, revision uint64, drained []Zone) Zones {
	ended := z.ended
	for _, zone := range z.drained {
		if indexOf(drained, zone.Name) < 0 {
			ended = append(without(ended, zone.Name), zone)
		}
	}
	return Zones{at: at, revision: revision, drained: drained, ended: ended}
}

func indexOf(zones []Zone, name string) int {
	return slices.IndexFunc(zones, func(z Zone) bool { return z.Name == name })
}

// without copies zones, but for one.
func without(zones []Zone, name string) []Zone {
	return slices.DeleteFunc(slices.Clone(zones), func(z Zone) bool { return z.Name == name })
}

// AtReturn returns the zones after the list of a platform that came back from an older copy.
// What was known to be drained is so still; what is on the list is drained too, unless it is
// a drain that is known to have ended.
func (z Zones) AtReturn(at uint64, list []Zone) Zones {
	if at < z.at {
		return z
	}
	drained := sorted(list)
	drained = slices.DeleteFunc(drained, func(zone Zone) bool {
		i := indexOf(z.ended, zone.Name)
		return i >= 0 && position.Revision(z.ended[i].Revision) == position.Revision(zone.Revision)
	})
	for _, zone := range z.drained {
		if indexOf(drained, zone.Name) < 0 {
			zone.Revision = position.Of(position.Era(at), position.Revision(zone.Revision))
			drained = append(drained, zone)
		}
	}
	drained = sorted(drained)
	revision := max(z.revision, firstRevision(at))
	if !maps.Equal(Zones{drained: drained}.Names(), z.Names()) {
		revision = at
	}
	return z.with(at, revision, drained)
}

// WithChanges returns the zones after changes up to a revision, in their order.
// Changes older than the zones change nothing.
func (z Zones) WithChanges(at uint64, changes []Change) Zones {
	if at < z.at {
		return z
	}
	list := slices.Clone(z.drained)
	for _, c := range changes {
		list = without(list, c.Zone.Name)
		if !c.Ended {
			list = append(list, c.Zone)
		}
	}
	return z.WithList(at, list)
}

// WithUpdate returns the zones after what another box knows. Of two lists that
// differ the one at the later position holds; a box that hears of the other then
// names a revision above both, so that those who know only the other ask it.
func (z Zones) WithUpdate(u Update) Zones {
	u.Drained = sorted(u.Drained)
	differ := !slices.Equal(z.drained, u.Drained)
	if u.At > z.at {
		revision := max(z.revision, u.Revision)
		if differ && u.Revision <= z.revision {
			revision = u.At
		}
		return z.with(u.At, revision, u.Drained)
	}
	if differ && u.Revision >= z.revision {
		z.revision = max(z.at, u.Revision)
	} else {
		z.revision = max(z.revision, u.Revision)
	}
	return z
}

// Corrects says whether what another box knows is older and differs.
func (z Zones) Corrects(u Update) bool {
	return z.at > u.At && !slices.Equal(z.drained, u.Drained)
}
