// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"testing"
	"time"
)

// TestChangedByUpdates checks which updates about another box count as a change of the
// view.
func TestChangedByUpdates(t *testing.T) {
	other := Box{Name: "b", Address: "1", Start: 5, Incarnation: 5}
	cases := map[string]struct {
		change func(*Box)
		want   bool
	}{
		"the same update":                 {change: func(*Box) {}},
		"it clears a suspicion":           {change: func(b *Box) { b.Incarnation = 7 }},
		"it is suspected":                 {change: func(b *Box) { b.State = Suspect }},
		"it restarted":                    {change: func(b *Box) { b.Start, b.Incarnation = 9, 9 }, want: true},
		"it has another address":          {change: func(b *Box) { b.Address, b.Incarnation = "2", 6 }, want: true},
		"it is dead":                      {change: func(b *Box) { b.State = Dead }, want: true},
		"it leaves":                       {change: func(b *Box) { b.State, b.Incarnation = Leaving, 6 }, want: true},
		"an older update that it is dead": {change: func(b *Box) { b.State, b.Incarnation = Dead, 4 }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			v := New(Config{Self: Box{Name: "a", Start: 1, Incarnation: 1}}, now)
			v.merge(now, other)
			_ = v.Changed()
			update := other
			c.change(&update)
			v.merge(now, update)
			if v.Changed() != c.want {
				t.Errorf("changed: %v, want %v", !c.want, c.want)
			}
		})
	}
}
