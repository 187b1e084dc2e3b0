// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"testing"
	"time"
)

// TestWhatChangesAView holds which words on another box those who follow the view
// have to take over.
func TestWhatChangesAView(t *testing.T) {
	other := Box{Name: "b", Address: "1", Start: 5, Incarnation: 5}
	cases := map[string]struct {
		change func(*Box)
		want   bool
	}{
		"the same word":                 {change: func(*Box) {}},
		"it clears a suspicion":         {change: func(b *Box) { b.Incarnation = 7 }},
		"it is suspected":               {change: func(b *Box) { b.State = Suspect }},
		"it started anew":               {change: func(b *Box) { b.Start, b.Incarnation = 9, 9 }, want: true},
		"it is elsewhere":               {change: func(b *Box) { b.Address, b.Incarnation = "2", 6 }, want: true},
		"it is dead":                    {change: func(b *Box) { b.State = Dead }, want: true},
		"it leaves":                     {change: func(b *Box) { b.State, b.Incarnation = Leaving, 6 }, want: true},
		"an older word that it is gone": {change: func(b *Box) { b.State, b.Incarnation = Dead, 4 }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			v := New(Config{Self: Box{Name: "a", Start: 1, Incarnation: 1}}, now)
			v.merge(now, other)
			_ = v.Changed()
			word := other
			c.change(&word)
			v.merge(now, word)
			if v.Changed() != c.want {
				t.Errorf("changed: %v, want %v", !c.want, c.want)
			}
		})
	}
}
