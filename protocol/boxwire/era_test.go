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

// TestErasInMessages checks which position a receiver gets from each message that carries one,
// depending on its own position and on whether the message states the era.
func TestErasInMessages(t *testing.T) {
	cases := map[string]struct {
		sent, receiverAt uint64
		// noEra clears the era, which builds without eras do not send.
		noEra bool
		want  uint64
	}{
		"of the first era":                            {sent: 129, receiverAt: position.Of(1, 24), want: 129},
		"of a later era":                              {sent: position.Of(2, 24), receiverAt: 129, want: position.Of(2, 24)},
		"of a build without eras":                     {sent: 30, receiverAt: position.Of(1, 24), noEra: true, want: position.Of(1, 30)},
		"of a build without eras, in the first era":   {sent: 30, receiverAt: 24, noEra: true, want: 30},
		"of a box that knows nothing, with an era":    {receiverAt: position.Of(1, 24)},
		"of a box that knows nothing, without an era": {receiverAt: position.Of(1, 24), noEra: true},
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
			if c.noEra {
				update.Era, pull.Era, drained.Era, member.DrainedEra = 0, 0, 0, 0
			}
			if got, err := update.Open(c.receiverAt); err != nil || got.At != c.want || got.After != c.want {
				t.Errorf("the update is at %d after %d (%v), want %d", got.At, got.After, err, c.want)
			}
			if got := pull.Position(c.receiverAt); got != c.want {
				t.Errorf("the pull is after %d, want %d", got, c.want)
			}
			if got := drained.Open(c.receiverAt); got.At != c.want || got.Revision != c.want || got.Drained[0].Revision != c.want {
				t.Errorf("drained zones are %+v, want revision %d", got, c.want)
			}
			if got := member.DrainedVersion(c.receiverAt); got.Revision != c.want {
				t.Errorf("the version has revision %d, want %d", got.Revision, c.want)
			}
		})
	}
}
