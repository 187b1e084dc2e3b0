// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lifecycle

import "testing"

// TestPhaseOfALaterBuild checks that a phase which only a later build knows is reported
// as unknown and still has a name.
func TestPhaseOfALaterBuild(t *testing.T) {
	cases := map[string]struct {
		phase Phase
		known bool
	}{
		"the first":        {Received, true},
		"the last":         {Failed, true},
		"of a later build": {Failed + 1, false},
		"the highest":      {^Phase(0), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if c.phase.Known() != c.known || c.phase.String() == "" {
				t.Errorf("phase %d: known %v, called %q", c.phase, c.phase.Known(), c.phase)
			}
		})
	}
}
