// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"slices"
	"time"
)

// youngBy is how much later than the median box one has to have started to
// count as young.
const youngBy = 5 * time.Second

// Established lists the names of the boxes that duties are best given to: all but
// those that started well after half of the others. A duty that went back to
// each box as it returns would move twice in every restart. Start is in
// milliseconds; a box whose start is not known yet counts as settled, or boxes
// that hear of each other in different orders would not agree.
func Established(boxes []Box) []string {
	middle := medianStart(boxes)
	out := make([]string, 0, len(boxes))
	for _, b := range boxes {
		if b.Start <= middle+uint64(youngBy.Milliseconds()) {
			out = append(out, b.Name)
		}
	}
	return out
}

// medianStart is the lower median of the starts that are known; 0 if none is.
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
