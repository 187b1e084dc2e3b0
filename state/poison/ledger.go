// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package poison

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Keep is how long a suspect is kept after it was last seen. Poison requests were retried
	// after at most 4 s, and callers wait 14 s at most; this is four times that.
	Keep = time.Minute
	// MaxSuspects bounds the number of suspects: sixteen endpoints that end at once with 64
	// requests each. With MaxEnds of each, they take 450 KB.
	MaxSuspects = 1024
	// MaxEnds bounds the ends kept of one suspect, far above the number that blocks it.
	MaxEnds = 16
	// MaxSent bounds the suspects sent to another box at once: with all their ends they take
	// some 42 KB, which fit into a message.
	MaxSent = 128
	// announceShare is the part of Keep after which a suspect is no longer announced, and
	// acceptShare the part after which it is no longer accepted from others. Boxes drop a
	// suspect at slightly different times, and must not keep restoring it on each other.
	announceShare = 0.8
	acceptShare   = 0.9
	// sameEndWithin is the maximum difference between the times at which two boxes notice the
	// same end of an endpoint. It is less than the several seconds that an endpoint takes to
	// come back: an end after that is the end of another start.
	sameEndWithin = 2 * time.Second
	// minSeenAdvance is how much later a suspect must have been seen for that to be announced.
	// With a poison request that is retried without pause, each box sends one message per
	// interval.
	minSeenAdvance = Keep / 16
)

// Update spreads suspects from one box to others.
type Update struct {
	// Origin is the box that announces them; empty in the answer to a query.
	Origin   string
	Suspects []Suspect
}

// End records that one start of an endpoint ended while it ran a request.
type End struct {
	// Endpoint identifies the start of the endpoint; EndpointOf computes it. If an endpoint
	// does not report when it started, only At distinguishes its starts.
	Endpoint uint64
	// At is when it ended, by the clock of the box that noticed first.
	At time.Time
	// Ran is how long after it was sent there the request broke off.
	Ran time.Duration
	// Cleared means that the request, or for a part one that has it, is answered by other endpoints.
	Cleared bool
	// Of identifies the request that broke off then; OfRequest computes it. Of several that have a part
	// in common it is the one that had run for the least time.
	Of uint32
}

// OfRequest returns the identification of a request in End.Of.
func OfRequest(f Fingerprint) uint32 { return binary.LittleEndian.Uint32(f[:]) }

// EndpointOf returns a hash that identifies one start of an endpoint: two starts with the same
// ID differ in their start times.
func EndpointOf(id string, started int64) uint64 {
	return xxhash.Sum64(binary.AppendVarint([]byte(id), started))
}

// Suspect is a request that was running at endpoints when they ended, or a part of the prompts of such
// requests.
type Suspect struct {
	Fingerprint Fingerprint
	// Ends lists each start of an endpoint once, ordered by Endpoint and At, and only the first
	// MaxEnds of them.
	Ends []End
	// Seen is when the request last arrived or an endpoint last ended while running it.
	Seen time.Time
}

func (e End) compare(o End) int {
	return cmp.Or(cmp.Compare(e.Endpoint, o.Endpoint), e.At.Compare(o.At))
}

// merge combines two records of the same end.
func (e End) merge(o End) End {
	e.Cleared = e.Cleared || o.Cleared
	if o.Ran < e.Ran || o.Ran == e.Ran && o.Of < e.Of {
		e.Ran, e.Of = o.Ran, o.Of
	}
	return e
}

// same reports whether two records describe the same end.
func (e End) same(o End) bool {
	return e.Endpoint == o.Endpoint && e.At.Sub(o.At).Abs() < sameEndWithin
}

// merge combines two records of one suspect. The result does not depend on the order in which
// records are merged, or on how often.
func (s Suspect) merge(o Suspect) Suspect {
	all := slices.Concat(s.Ends, o.Ends)
	slices.SortFunc(all, End.compare)
	var ends []End
	for _, e := range all {
		if n := len(ends); n > 0 && ends[n-1].same(e) {
			ends[n-1] = ends[n-1].merge(e)
			continue
		}
		ends = append(ends, e)
	}
	s.Ends = ends[:min(len(ends), MaxEnds)]
	if o.Seen.After(s.Seen) {
		s.Seen = o.Seen
	}
	return s
}

// hasNews reports whether the suspect has anything to announce that an older record lacks.
func (s Suspect) hasNews(old Suspect) bool {
	known := slices.EqualFunc(s.Ends, old.Ends, func(a, b End) bool { return a.same(b) && a.Cleared == b.Cleared && a.Of == b.Of })
	return !known || s.Seen.Sub(old.Seen) >= minSeenAdvance
}

// count returns the number of ends that are not cleared.
func (s Suspect) count() int {
	n := 0
	for _, e := range s.Ends {
		if !e.Cleared {
			n++
		}
	}
	return n
}

// Ledger holds the suspects that a box knows. It is an immutable value; the zero value holds
// none.
type Ledger struct {
	suspects map[Fingerprint]Suspect
	blocked  []group
}

// Len returns the number of suspects.
func (l Ledger) Len() int { return len(l.suspects) }

// Suspect returns a suspect by its fingerprint.
func (l Ledger) Suspect(f Fingerprint) (Suspect, bool) {
	s, ok := l.suspects[f]
	return s, ok
}

// BlockedBy returns what keeps a request from all endpoints: the fingerprint of the request itself, or
// those of parts of its prompt; nil if nothing does. Parts no longer do some time after the last end.
func (l Ledger) BlockedBy(now time.Time, retryParts time.Duration, request Fingerprint, parts []Fingerprint) []Fingerprint {
	for _, g := range l.blocked {
		if g.matches(request, parts) && (!g.members[0].IsPart() || now.Sub(g.lastEnd) < retryParts) {
			return g.members
		}
	}
	return nil
}

// AllBlocked lists the fingerprints of what keeps requests from all endpoints, in ascending order.
func (l Ledger) AllBlocked() []Fingerprint {
	var out []Fingerprint
	for _, g := range l.blocked {
		out = append(out, g.members...)
	}
	slices.SortFunc(out, compareFingerprints)
	return out
}

func compareFingerprints(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) }

// Announced lists the suspects that are announced to other boxes at a time, ordered by
// fingerprint.
func (l Ledger) Announced(now time.Time) []Suspect {
	var out []Suspect
	for _, s := range l.suspects {
		if now.Sub(s.Seen) < time.Duration(announceShare*float64(Keep)) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int { return compareFingerprints(a.Fingerprint, b.Fingerprint) })
	return out
}

// Digest returns a hash that is equal for boxes that announce the same suspects; 0 if there are
// none.
func (l Ledger) Digest(now time.Time) uint64 {
	sum := uint64(0)
	for _, s := range l.Announced(now) {
		starts := make(map[uint64]uint64, len(s.Ends))
		for _, e := range s.Ends {
			item := binary.AppendUvarint(s.Fingerprint[:], e.Endpoint)
			// Boxes may record slightly different times, but they agree on the order.
			starts[e.Endpoint]++
			item = binary.AppendUvarint(item, starts[e.Endpoint])
			item = binary.AppendUvarint(item, uint64(e.Of))
			if e.Cleared {
				item = append(item, 1)
			}
			// A sum does not depend on the order in which boxes learned of the ends.
			sum += xxhash.Sum64(item)
		}
	}
	return sum
}

// With returns the ledger after suspects were reported, by this box or another, and those of
// them that have news to announce. It drops suspects that have expired.
func (l Ledger) With(now time.Time, reported ...Suspect) (Ledger, []Suspect) {
	next := l.unexpired(now)
	var changed []Suspect
	for _, s := range reported {
		old, known := next[s.Fingerprint]
		if !known && now.Sub(s.Seen) >= time.Duration(acceptShare*float64(Keep)) {
			continue
		}
		merged := Suspect{Fingerprint: s.Fingerprint}.merge(old).merge(s)
		next[s.Fingerprint] = merged
		if merged.hasNews(old) {
			changed = append(changed, merged)
		}
	}
	return newLedger(next), changed
}

// WithAnswered returns the ledger after an endpoint has answered a request completely, and the
// suspect if that is news to announce. A poison request is never answered, so the endpoints
// that ended while running this request did so for another reason.
func (l Ledger) WithAnswered(now time.Time, f Fingerprint) (Ledger, []Suspect) {
	s, known := l.suspects[f]
	if !known || s.count() == 0 {
		return l, nil
	}
	cleared := Suspect{Fingerprint: f, Seen: s.Seen}
	for _, e := range s.Ends {
		e.Cleared = true
		cleared.Ends = append(cleared.Ends, e)
	}
	return l.With(now, cleared)
}

// WithSeen returns the ledger after a suspect arrived again, and the suspect if that is news to
// announce.
func (l Ledger) WithSeen(now time.Time, f Fingerprint) (Ledger, []Suspect) {
	s, known := l.suspects[f]
	if !known || now.Sub(s.Seen) < minSeenAdvance {
		return l, nil
	}
	return l.With(now, Suspect{Fingerprint: f, Seen: now})
}

// Without returns the ledger without the suspects that have expired.
func (l Ledger) Without(now time.Time) Ledger {
	next := l.unexpired(now)
	if len(next) == len(l.suspects) {
		return l
	}
	return newLedger(next)
}

// unexpired returns a copy of the suspects that have not expired.
func (l Ledger) unexpired(now time.Time) map[Fingerprint]Suspect {
	out := make(map[Fingerprint]Suspect, len(l.suspects))
	for f, s := range l.suspects {
		if now.Sub(s.Seen) < Keep {
			out[f] = s
		}
	}
	return out
}

// newLedger returns a ledger of at most MaxSuspects suspects. It evicts those with the fewest
// ends first, and among these the ones seen longest ago.
func newLedger(suspects map[Fingerprint]Suspect) Ledger {
	if excess := len(suspects) - MaxSuspects; excess > 0 {
		order := slices.SortedFunc(maps.Values(suspects), func(a, b Suspect) int {
			if n := a.count() - b.count(); n != 0 {
				return n
			}
			if n := a.Seen.Compare(b.Seen); n != 0 {
				return n
			}
			return compareFingerprints(a.Fingerprint, b.Fingerprint)
		})
		for _, s := range order[:excess] {
			delete(suspects, s.Fingerprint)
		}
	}
	return Ledger{suspects: suspects, blocked: findBlocked(suspects, endsToBlock)}
}
