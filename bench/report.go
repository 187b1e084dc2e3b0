// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bench

import (
	"fmt"
	"io"
	"strings"

	"github.com/olekukonko/tablewriter"
)

// PrintTable writes results as a human-readable table.
func PrintTable(w io.Writer, results []Result) error {
	t := tablewriter.NewWriter(w)
	t.Header("scenario", "policy", "load", "faults", "offered", "good/s", "bound", "ceiling", "of bound", "of ceiling", "wasted", "ttft p50/p95 ms", "token p50/p95 ms", "refused", "unknown", "failed", "held", "wrong")
	for _, r := range results {
		row := []string{
			r.Scenario, r.Label,
			fmt.Sprintf("%.1f", r.Load),
			fmt.Sprintf("%v", r.Faults),
			fmt.Sprintf("%d", r.Offered),
			fmt.Sprintf("%.1f", r.Goodput),
			fmt.Sprintf("%.1f", r.Bound),
			fmt.Sprintf("%.1f", r.Ceiling),
			fmt.Sprintf("%.2f", ratio(r.Goodput, r.Bound)),
			fmt.Sprintf("%.2f", ratio(r.Goodput, r.Ceiling)),
			fmt.Sprintf("%.1f%%", 100*r.WastedShare),
			fmt.Sprintf("%.0f/%.0f", r.FirstTokenP50, r.FirstTokenP95),
			fmt.Sprintf("%.1f/%.1f", r.PerTokenP50, r.PerTokenP95),
			fmt.Sprintf("%d", r.Outcomes[string(OutcomeNotRun)]),
			fmt.Sprintf("%d", r.Outcomes[string(OutcomeUnknown)]),
			fmt.Sprintf("%d", r.Outcomes[string(OutcomeFailed)]+r.Outcomes[string(OutcomeBroken)]),
			fmt.Sprintf("%d", r.Held),
			fmt.Sprintf("%d", r.Wrong),
		}
		if err := t.Append(row); err != nil {
			return err
		}
	}
	return t.Render()
}

func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

// PrintLines writes each result as one line of key=value pairs for scripts.
func PrintLines(w io.Writer, results []Result) error {
	for _, r := range results {
		pairs := []string{
			"bench",
			"scenario=" + r.Scenario,
			"policy=" + r.Label,
			fmt.Sprintf("load=%.1f", r.Load),
			fmt.Sprintf("faults=%v", r.Faults),
			fmt.Sprintf("goodput=%.2f", r.Goodput),
			fmt.Sprintf("of_bound=%.3f", ratio(r.Goodput, r.Bound)),
			fmt.Sprintf("of_ceiling=%.3f", ratio(r.Goodput, r.Ceiling)),
			fmt.Sprintf("wasted=%.4f", r.WastedShare),
			fmt.Sprintf("first_token_p95_ms=%.1f", r.FirstTokenP95),
			fmt.Sprintf("per_token_p95_ms=%.2f", r.PerTokenP95),
			fmt.Sprintf("not_run=%d", r.Outcomes[string(OutcomeNotRun)]),
			fmt.Sprintf("unknown=%d", r.Outcomes[string(OutcomeUnknown)]),
			fmt.Sprintf("failed=%d", r.Outcomes[string(OutcomeFailed)]),
			fmt.Sprintf("held=%d", r.Held),
			fmt.Sprintf("wrong=%d", r.Wrong),
		}
		if _, err := fmt.Fprintln(w, strings.Join(pairs, " ")); err != nil {
			return err
		}
	}
	return nil
}
