// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package drain holds which availability zones are drained: their endpoints get no
// new work until the operator ends the drain. It does no I/O: positions are
// arguments, and Zones is an immutable value.
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
	// Revision is the platform's position of the operator's write.
	Revision uint64
}

// Change is one change on the platform.
type Change struct {
	Zone Zone
	// Ended means that the operator ended the drain.
	Ended bool
}

// Zones holds the drained zones as of a position of the platform.
type Zones struct {
	// at is the position up to which the list is complete; 0 means nothing is known.
	at uint64
	// revision is the position of the latest change that this box or another one knows of.
	revision uint64
	// drained lists the drained zones, sorted by name.
	drained []Zone
	// ended lists drains that have ended, with the revisions of their writes.
	ended []Zone
}

// firstRevision returns the revision of a list on which no zone was ever drained, as of a
// position. It is above 0, which means that nothing is known.
func firstRevision(at uint64) uint64 { return position.Of(position.Era(at), 1) }

// Update carries the drained zones from one box to another.
type Update struct {
	// Origin is the box that read them from the platform; empty on the answer to a
	// request for the zones.
	Origin string
	// At and Revision are those of the sender's Zones.
	At, Revision uint64
	Drained      []Zone
}

// Known reports whether the drained zones were ever received.
func (z Zones) Known() bool { return z.at > 0 }

// At returns the platform's position up to which the list is complete; 0 means nothing is known.
func (z Zones) At() uint64 { return z.at }

// Revision returns the revision, which rises with each change that the box learns of.
func (z Zones) Revision() uint64 { return z.revision }

// Version identifies a state of the zones. Boxes send it with each message, and those with
// the same version agree. The zero value stands for a box that knows nothing.
type Version struct {
	Revision uint64
	// Digest is a hash of the drained zones. Two boxes that have just started may know
	// different zones under the same revision, as neither has seen which drains ended.
	Digest uint64
}

// Version returns the version of the zones.
func (z Zones) Version() Version {
	hash := xxhash.New()
	for _, zone := range z.drained {
		// Writing to a hash never fails.
		_, _ = fmt.Fprintf(hash, "%q %d ", zone.Name, position.Revision(zone.Revision))
	}
	return Version{Revision: z.revision, Digest: hash.Sum64()}
}

// MayLack reports whether a box with another version may know something that is not known here.
func (z Zones) MayLack(v Version) bool {
	return v.Revision > z.revision || v.Revision > 0 && v.Revision == z.revision && v.Digest != z.Version().Digest
}

// Drained lists the drained zones, sorted by name.
func (z Zones) Drained() []Zone { return slices.Clone(z.drained) }

// Names returns the set of the drained zones' names.
func (z Zones) Names() map[string]bool {
	out := make(map[string]bool, len(z.drained))
	for _, zone := range z.drained {
		out[zone.Name] = true
	}
	return out
}

// Same reports whether two states have the same revision and drained zones.
func (z Zones) Same(o Zones) bool {
	return z.revision == o.revision && slices.Equal(z.drained, o.drained)
}

// Update returns the zones as an update for other boxes.
func (z Zones) Update(origin string) Update {
	return Update{Origin: origin, At: z.at, Revision: z.revision, Drained: z.Drained()}
}

// sortedByName returns a copy of zones, sorted by name.
func sortedByName(zones []Zone) []Zone {
	out := slices.Clone(zones)
	slices.SortFunc(out, func(a, b Zone) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// WithList returns the zones after a whole list as of a position. A list older than
// the zones changes nothing.
func (z Zones) WithList(at uint64, list []Zone) Zones {
	if at < z.at {
		return z
	}
	list = sortedByName(list)
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
	return z.withDrained(at, revision, list)
}

// withDrained returns the zones as of a position with another set of drained zones, and records
// which drains have ended.
func (z Zones) withDrained(at, revision uint64, drained []Zone) Zones {
	ended := z.ended
	for _, zone := range z.drained {
		if indexOf(drained, zone.Name) < 0 {
			ended = append(without(ended, zone.Name), zone)
		}
	}
	return Zones{at: at, revision: revision, drained: drained, ended: ended}
}

// indexOf returns the index of the zone with a name, or -1.
func indexOf(zones []Zone, name string) int {
	return slices.IndexFunc(zones, func(z Zone) bool { return z.Name == name })
}

// without returns a copy of zones that lacks the one with a name.
func without(zones []Zone, name string) []Zone {
	return slices.DeleteFunc(slices.Clone(zones), func(z Zone) bool { return z.Name == name })
}

// WithRestoredList returns the zones after the list of a platform that was restored from an
// older copy. Zones known to be drained stay drained. Those on the list are drained too, unless
// the listed drain is known to have ended.
func (z Zones) WithRestoredList(at uint64, list []Zone) Zones {
	if at < z.at {
		return z
	}
	drained := sortedByName(list)
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
	drained = sortedByName(drained)
	revision := max(z.revision, firstRevision(at))
	if !maps.Equal(Zones{drained: drained}.Names(), z.Names()) {
		revision = at
	}
	return z.withDrained(at, revision, drained)
}

// WithChanges returns the zones after changes up to a position, applied in order.
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

// WithUpdate returns the zones after another box's update. If the lists differ, the
// one at the later position wins, and the result's revision is raised so that boxes
// which know only the other list request this one.
func (z Zones) WithUpdate(u Update) Zones {
	u.Drained = sortedByName(u.Drained)
	differ := !slices.Equal(z.drained, u.Drained)
	if u.At > z.at {
		revision := max(z.revision, u.Revision)
		if differ && u.Revision <= z.revision {
			revision = u.At
		}
		return z.withDrained(u.At, revision, u.Drained)
	}
	if differ && u.Revision >= z.revision {
		z.revision = max(z.at, u.Revision)
	} else {
		z.revision = max(z.revision, u.Revision)
	}
	return z
}

// Supersedes reports whether another box's update is older than the zones and differs from
// them, so that the other box needs this one's list.
func (z Zones) Supersedes(u Update) bool {
	return z.at > u.At && !slices.Equal(z.drained, u.Drained)
}
