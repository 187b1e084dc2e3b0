// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bench

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// judge compares what callers saw with what the engines did.
func (c *campaign) judge() {
	held := awaitFree(c.fleet)
	work := c.fleet.Ledger.Requests()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.out.Requests = len(c.seen)
	c.count("no_hold_left", held > 0)
	for _, d := range c.out.OrphansGone {
		c.count("orphans_gone", d >= orphanBound)
	}
	for _, s := range c.seen {
		if s.Outcome == OutcomeFinished || s.Outcome == OutcomeWrong {
			c.count("whole_own_answer", s.Outcome == OutcomeWrong)
		}
		w, ran := work[s.Request]
		if s.Outcome == OutcomeNotRun && s.Request != "" {
			c.count("not_run_is_true", ran && (w.Started > 0 || w.Decoded > 0))
		}
		if s.once && s.Request != "" {
			c.count("once_runs_once", w.Started > 1 || w.Decoded > 1)
		}
		if s.Request != "" {
			c.count("answered_once", w.Finished > 1)
		}
	}
}

// Print writes the campaign's lines.
func (c Campaign) Print(w io.Writer) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
	total := 0
	var faults []string
	for name, n := range c.Faults {
		faults = append(faults, fmt.Sprintf("%s=%d", name, n))
		total += n
	}
	slices.Sort(faults)
	p("promises requests=%d faults=%d %s\n", c.Requests, total, strings.Join(faults, " "))
	var outcomes []string
	for name, n := range c.Outcomes {
		outcomes = append(outcomes, fmt.Sprintf("%s=%d", name, n))
	}
	slices.Sort(outcomes)
	p("promises outcomes %s\n", strings.Join(outcomes, " "))
	p("promises recovery orphans_gone_p50=%s p99=%s config_in_force_p50=%s p99=%s\n",
		quantile(c.OrphansGone, 0.5), quantile(c.OrphansGone, 0.99), quantile(c.InForce, 0.5), quantile(c.InForce, 0.99))
	slices.SortFunc(c.Promises, func(a, b Promise) int { return strings.Compare(a.Name, b.Name) })
	for _, promise := range c.Promises {
		p("promises name=%s trials=%d violations=%d\n", promise.Name, promise.Trials, promise.Violations)
	}
}

// Violations is the sum over all promises.
func (c Campaign) Violations() int {
	n := 0
	for _, p := range c.Promises {
		n += p.Violations
	}
	return n
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Round(time.Millisecond)
}
