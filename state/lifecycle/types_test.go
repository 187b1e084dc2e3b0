// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lifecycle

import "testing"

// TestPhaseOfALaterBuild holds that a phase which another box's build has can be named here.
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
