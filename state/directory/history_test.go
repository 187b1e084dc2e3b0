// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestHistoryFillsGaps applies updates, some of which overlap or repeat earlier ones, to a
// directory and its history, and checks that the history's answer brings a directory at any
// earlier position to the same state.
func TestHistoryFillsGaps(t *testing.T) {
	now := time.Unix(0, 0)
	rapid.Check(t, func(t *rapid.T) {
		var d Directory
		var h History
		past := map[uint64]Directory{}
		for range rapid.IntRange(1, 30).Draw(t, "updates") {
			n := Update{After: d.At() - min(d.At(), uint64(rapid.IntRange(0, 3).Draw(t, "overlap")))}
			n.At = d.At() + uint64(rapid.IntRange(0, 3).Draw(t, "step"))
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				id := fmt.Sprintf("e%d", rapid.IntRange(0, 5).Draw(t, "endpoint"))
				n.Changes = append(n.Changes, Change{Entry: Entry{ID: id, Slots: int(n.At)}, Gone: rapid.Bool().Draw(t, "gone")})
			}
			if n.At == d.At() {
				// A position includes all changes up to it.
				n.Changes = nil
			}
			before := d.At()
			d = d.WithUpdate(now, n)
			if d.At() > before {
				h = h.With(n)
			}
			past[d.At()] = d
		}
		for at, old := range past {
			n, kept := h.Since(at)
			if !kept {
				continue
			}
			if !old.Fits(n) || n.At != d.At() {
				t.Fatalf("the answer to %d goes from %d to %d, the directory is at %d", at, n.After, n.At, d.At())
			}
			caughtUp := old.WithUpdate(now, n)
			for _, id := range d.IDs() {
				want, _ := d.Status(id)
				got, _ := caughtUp.Status(id)
				if want.Usable() != got.Usable() || want.Usable() && want.Slots != got.Slots {
					t.Fatalf("after the answer to %d endpoint %s is %+v, want %+v", at, id, got, want)
				}
			}
		}
	})
}

func TestHistoryIsBounded(t *testing.T) {
	var h History
	for at := range uint64(3 * maxHistory) {
		h = h.With(Update{After: at, At: at + 1, Changes: make([]Change, 1)})
	}
	if _, kept := h.Since(0); kept {
		t.Error("all changes are kept")
	}
	n, kept := h.Since(2*maxHistory + 1)
	if !kept || len(n.Changes) != maxHistory-1 {
		t.Errorf("kept %v, with %d changes", kept, len(n.Changes))
	}
	if _, kept := h.With(Update{Whole: true, At: 9}).Since(9); kept {
		t.Error("changes before a whole list are kept")
	}
}
