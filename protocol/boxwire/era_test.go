// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxwire

import (
	"testing"

	"runridge.example/runridge/state/directory"
	"runridge.example/runridge/state/drain"
	"runridge.example/runridge/state/position"
	"runridge.example/runridge/state/table"
)

// TestErasInMessages sends what has a position to a box that stands at one.
func TestErasInMessages(t *testing.T) {
	cases := map[string]struct {
		sent, stands uint64
		// untold strikes the era out, as a build without eras does not tell it.
		untold bool
		want   uint64
	}{
		"of the first era":                  {sent: 129, stands: position.Of(1, 24), want: 129},
		"of a later era":                    {sent: position.Of(2, 24), stands: 129, want: position.Of(2, 24)},
		"of a build without eras":           {sent: 30, stands: position.Of(1, 24), untold: true, want: position.Of(1, 30)},
		"of one, where none has come back":  {sent: 30, stands: 24, untold: true, want: 30},
		"of a box that knows nothing":       {stands: position.Of(1, 24)},
		"of one that knows nothing, no era": {stands: position.Of(1, 24), untold: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			update, err := FromUpdate(directory.Update{After: c.sent, At: c.sent}, table.Stamp{})
			if err != nil {
				t.Fatal(err)
			}
			pull := NewUpdatePull(c.sent)
			drained := FromDrained(drain.Update{At: c.sent, Revision: c.sent, Drained: []drain.Zone{{Name: "a", Revision: c.sent}}})
			member := Member{}.WithDrained(drain.Version{Revision: c.sent})
			if c.untold {
				update.Era, pull.Era, drained.Era, member.DrainedEra = 0, 0, 0, 0
			}
			if got, err := update.Open(c.stands); err != nil || got.At != c.want || got.After != c.want {
				t.Errorf("an update is at %d after %d (%v), want %d", got.At, got.After, err, c.want)
			}
			if got := pull.Position(c.stands); got != c.want {
				t.Errorf("a question is after %d, want %d", got, c.want)
			}
			if got := drained.Open(c.stands); got.At != c.want || got.Revision != c.want || got.Drained[0].Revision != c.want {
				t.Errorf("drained zones are %+v, want those of %d", got, c.want)
			}
			if got := member.DrainedVersion(c.stands); got.Revision != c.want {
				t.Errorf("a version is of %d, want %d", got.Revision, c.want)
			}
		})
	}
}
