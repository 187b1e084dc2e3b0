// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package poison

import (
	"cmp"
	"slices"
	"time"
)

// endsToBlock is the number of endpoints that a request, or requests with a part in common, must end
// to be kept from all others.
const endsToBlock = 3

// group is what a request must have to be kept from all endpoints: the fingerprint of one request, or
// those of parts that came together at each end, so that any of them may be the cause.
type group struct {
	members []Fingerprint
	lastEnd time.Time
}

// matches reports whether a request has all that the group names.
func (g group) matches(request Fingerprint, parts []Fingerprint) bool {
	for _, f := range g.members {
		if f != request && !slices.Contains(parts, f) {
			return false
		}
	}
	return true
}

// findBlocked returns what is to be kept from the endpoints. Requests that ran next to a poison request
// saw the same endpoints end, so the ends are explained by as few suspects as possible: the one with
// the most ends comes first, and the ends that it explains do not count against the others.
func findBlocked(suspects map[Fingerprint]Suspect, ends int) []group {
	var blocked []group
	var candidates []Suspect
	for _, s := range suspects {
		if s.count() >= ends {
			candidates = append(candidates, s)
		}
	}
	var explained []End
	for len(candidates) > 0 {
		best, at := evidenceAgainst(candidates[0], explained), 0
		for i, s := range candidates[1:] {
			if e := evidenceAgainst(s, explained); e.strongerThan(best) {
				best, at = e, i+1
			}
		}
		if best.ends < ends {
			break
		}
		found := candidates[at]
		g := group{members: []Fingerprint{found.Fingerprint}, lastEnd: found.lastEnd()}
		for _, s := range candidates {
			if s.alwaysWith(found) {
				g.members = append(g.members, s.Fingerprint)
			}
		}
		slices.SortFunc(g.members, compareFingerprints)
		blocked = append(blocked, g)
		explained = append(explained, found.Ends...)
		candidates = append(candidates[:at], candidates[at+1:]...)
	}
	return blocked
}

// lastEnd returns when the last end that counts against a suspect came.
func (s Suspect) lastEnd() time.Time {
	var last time.Time
	for _, e := range s.uncleared() {
		if e.At.After(last) {
			last = e.At
		}
	}
	return last
}

// alwaysWith reports whether two parts came in the same requests at all ends that count against them.
func (s Suspect) alwaysWith(o Suspect) bool {
	if s.Fingerprint == o.Fingerprint || !s.Fingerprint.IsPart() || !o.Fingerprint.IsPart() {
		return false
	}
	return slices.EqualFunc(s.uncleared(), o.uncleared(), func(a, b End) bool { return a.same(b) && a.Of == b.Of })
}

// uncleared returns the ends that count against a suspect.
func (s Suspect) uncleared() []End {
	return slices.DeleteFunc(slices.Clone(s.Ends), func(e End) bool { return e.Cleared })
}

// evidence sums up what speaks against a suspect.
type evidence struct {
	// ends is the number of ends that nothing else explains, and ran is how long the request had run
	// in total at the endpoints that ended.
	ends        int
	ran         time.Duration
	fingerprint Fingerprint
}

func evidenceAgainst(s Suspect, explained []End) evidence {
	w := evidence{fingerprint: s.Fingerprint}
	for _, e := range s.Ends {
		if !e.Cleared && !slices.ContainsFunc(explained, e.same) {
			w.ends++
			w.ran += e.Ran
		}
	}
	return w
}

// strongerThan reports whether the evidence e is stronger than o: more endpoints ended, or they
// ended sooner after the request reached them. A poison request ends its endpoint as soon as it
// runs, while the requests next to it arrived earlier. A request that always came whole is itself the
// cause rather than its parts. The last comparison only makes all boxes agree.
func (e evidence) strongerThan(o evidence) bool {
	return cmp.Or(
		cmp.Compare(o.ends, e.ends),
		cmp.Compare(e.ran, o.ran),
		compareBool(e.fingerprint.IsPart(), o.fingerprint.IsPart()),
		compareFingerprints(e.fingerprint, o.fingerprint),
	) < 0
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
