// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package check

import (
	"net/http"
	"slices"
	"time"
)

// Stream is a stream that its caller takes up at other boxes when it breaks off.
type Stream struct {
	Attempts []StreamAttempt
}

// StreamAttempt is one attempt of a stream as its caller saw it.
type StreamAttempt struct {
	ID, Box      string
	Begun, Ended time.Time
	Status       int
	// TakesUp is true if the caller had received events before.
	TakesUp bool
	// Events is the number of events received, and Versions the software version of each of them.
	Events   int
	Versions []string
}

// Serving is a time in which an engine of a software version served at a place.
type Serving struct {
	Place, Version string
	From, To       time.Time
}

const (
	// minTakenUp is how many streams must have been taken up for the share that goes on to be
	// compared, and minGoOn the least ratio of that share to the share of new streams that begin,
	// by the platform's specification.
	minTakenUp = 12
	minGoOn    = 0.5
	// minServing is how many engines of its version must serve for a stream to count.
	minServing = 2
)

// checkStreams checks that no stream holds events of two software versions, and that streams which
// callers take up go on about as often as new ones begin.
func (v *verifier) checkStreams() {
	var fresh, taken Share
	for _, s := range v.Streams {
		var versions []string
		for _, a := range s.Attempts {
			if v.inTouch(a) {
				v.countAttempt(a, versions, &fresh, &taken)
			}
			versions = append(versions, a.Versions...)
		}
		slices.Sort(versions)
		if versions = slices.Compact(versions); len(versions) > 0 {
			v.report.Count("one_software_version", len(versions) == 1, "%s, in %d attempts: %v", s.Attempts[0].ID, len(s.Attempts), versions)
		}
	}
	if taken.Asked < minTakenUp || fresh.Asked == 0 {
		return
	}
	v.report.Count("taken_up_go_on", taken.Ratio() >= minGoOn*fresh.Ratio(), "%d of %d that were taken up went on, %d of %d new ones began",
		taken.Answered, taken.Asked, fresh.Answered, fresh.Asked)
}

// countAttempt counts an attempt at a box in touch; versions are those of the events before.
func (v *verifier) countAttempt(a StreamAttempt, versions []string, fresh, taken *Share) {
	switch {
	case !a.TakesUp:
		fresh.Add(a.Events > 0)
	case len(versions) > 0 && v.serving(versions[0], a.Begun.Add(-v.bounds.Contact), a.Ended) >= minServing:
		taken.Add(a.Status == http.StatusOK && a.Events > 0)
	}
}

// inTouch reports whether no fault kept the box of an attempt, or the store, from serving it.
func (v *verifier) inTouch(a StreamAttempt) bool {
	from := a.Begun.Add(-v.bounds.Contact)
	return !v.faultOverlaps(a.Box, "", from, a.Ended) && !slices.ContainsFunc(v.Faults, func(f Fault) bool {
		return (f.Store || slices.Contains(f.TurnedAway, a.Box) || slices.Contains(f.Unlinked, a.Box)) && f.Overlaps(from, a.Ended)
	})
}

// serving returns how many engines of a software version served without a fault between two times.
func (v *verifier) serving(version string, from, to time.Time) int {
	n := 0
	for _, s := range v.Serving {
		if s.Version == version && s.From.Before(from) && s.To.After(to) && !v.faultOverlaps("", s.Place, from, to) {
			n++
		}
	}
	return n
}
