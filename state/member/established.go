// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"slices"
	"time"
)

// youngThreshold is how much later than the median a box must have started to count
// as young.
const youngThreshold = 5 * time.Second

// Established lists the names of the boxes that are preferred for duties: all but
// those that started well after half of the others. If duties returned to each
// box after its restart, every restart would move them twice. A box whose start is
// not known yet counts as established; otherwise boxes that learn of each other in
// different orders would not agree. Box.Start is in milliseconds.
func Established(boxes []Box) []string {
	middle := medianStart(boxes)
	out := make([]string, 0, len(boxes))
	for _, b := range boxes {
		if b.Start <= middle+uint64(youngThreshold.Milliseconds()) {
			out = append(out, b.Name)
		}
	}
	return out
}

// medianStart returns the lower median of the known starts; 0 if none is known.
func medianStart(boxes []Box) uint64 {
	starts := make([]uint64, 0, len(boxes))
	for _, b := range boxes {
		if b.Start > 0 {
			starts = append(starts, b.Start)
		}
	}
	if len(starts) == 0 {
		return 0
	}
	slices.Sort(starts)
	return starts[(len(starts)-1)/2]
}
