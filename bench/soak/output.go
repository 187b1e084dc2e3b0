// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"io"

	"runridge.example/runridge/bench/soak/check"
)

// Print writes the counts of a run. The results of the checks are in the report.
func (r Result) Print(w io.Writer) {
	check.PrintCounts(w, "faults", r.Faults)
	check.PrintCounts(w, "requests", r.Statuses)
	_, _ = fmt.Fprintf(w, "soak skipped=%d machine_stalled=%s\n", r.Skipped, r.Stalled)
	for _, g := range r.Goodput {
		_, _ = fmt.Fprintf(w, "soak goodput fault=%s box=%s asked=%d answered=%d\n", g.Kind, g.Box, g.Asked, g.Success)
	}
}
