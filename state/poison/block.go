// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package poison

import (
	"cmp"
	"slices"
	"time"
)

// endsToBlock is the number of endpoints that a request must end to be classified as a poison
// request. In simulations of ten seconds with some 330 other requests (BenchmarkEndsToBlock),
// three misclassifies none of the others; if one more endpoint per second ends for other
// reasons, it misclassifies one. Two would misclassify five, and four would cost one more
// endpoint.
const endsToBlock = 3

// findBlocked returns the poison requests among the suspects. Requests that ran next to a
// poison request saw the same endpoints end, so the ends are explained by as few requests as
// possible: the request with the most ends comes first, and the ends that it explains do not
// count against the others.
func findBlocked(suspects map[Fingerprint]Suspect, ends int) map[Fingerprint]bool {
	blocked := make(map[Fingerprint]bool)
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
		blocked[found.Fingerprint] = true
		explained = append(explained, found.Ends...)
		candidates = append(candidates[:at], candidates[at+1:]...)
	}
	return blocked
}

// evidence sums up what speaks against a suspect.
type evidence struct {
	// ends is the number of ends that no other request explains, and ran is how long the
	// request had run in total at the endpoints that ended.
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
// runs, while the requests next to it arrived earlier. The last comparison only makes all boxes
// agree.
func (e evidence) strongerThan(o evidence) bool {
	return cmp.Or(
		cmp.Compare(o.ends, e.ends),
		cmp.Compare(e.ran, o.ran),
		compareFingerprints(e.fingerprint, o.fingerprint),
	) < 0
}
