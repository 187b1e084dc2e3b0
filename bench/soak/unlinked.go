// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"slices"
	"time"

	"runridge.example/runridge/bench/soak/check"
	"runridge.example/runridge/bench/soak/schedule"
)

// minServedRatio is the fraction of the other boxes' share of answered requests that boxes without
// links to endpoints must reach, from contactBound after they lost them.
const minServedRatio = 2.0 / 3

// minUnlinkedRequests is how many requests at boxes without links there have to be for them to be
// compared. It is below minRequests, since callers who wait for their timeout send few.
const minUnlinkedRequests = 11

// checkUnlinked compares the boxes that lost their links to endpoints with those that kept them.
func (r *run) checkUnlinked() {
	for i, f := range r.record.Faults {
		from := f.From.Add(contactBound)
		if f.Kind != string(schedule.EndpointsLost) || !from.Before(f.To) || r.record.Stalled(f.From, f.To) {
			continue
		}
		without, with := r.sharesOf(i, from)
		if without.Asked < minUnlinkedRequests || with.Asked < minRequests {
			continue
		}
		r.report.Count("served_without_links", without.Ratio() >= minServedRatio*with.Ratio(), "%v from %s to %s: %d of %d, the others %d of %d",
			f.Unlinked, from.Format(check.TimeFormat), f.To.Format(check.TimeFormat), without.Answered, without.Asked, with.Answered, with.Asked)
		if !r.overlapsOtherFault(i) {
			r.report.Count("others_served_as_before", with.Ratio() >= minGoodput, "while %v have lost their links: %d of %d",
				f.Unlinked, with.Answered, with.Asked)
		}
	}
}

// sharesOf counts the requests at boxes without and with links from a time to the end of the fault
// at an index. Requests at boxes that another fault affects are left out.
func (r *run) sharesOf(index int, from time.Time) (without, with check.Share) {
	f := r.record.Faults[index]
	for _, a := range r.record.Answers {
		if a.Begun.Before(from) || a.Begun.After(f.To) || !countsForGoodput(a) || r.boxDisturbed(index, a) {
			continue
		}
		s := &with
		if slices.Contains(f.Unlinked, a.Box) {
			s = &without
		}
		s.Add(a.Answered())
	}
	return without, with
}

// boxDisturbed reports whether a fault other than the one at an index affected the box of an answer
// while its request was open.
func (r *run) boxDisturbed(index int, a check.Answer) bool {
	for i, o := range r.record.Faults {
		if i != index && o.Overlaps(a.Begun, a.Ended) && (slices.Contains(o.Boxes, a.Box) || slices.Contains(o.Unlinked, a.Box)) {
			return true
		}
	}
	return false
}
