// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package check verifies the promises of the router from what callers and endpoints observed
// during a soak run.
package check

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Promise counts how often one promise was checked and how often it was violated.
type Promise struct {
	Trials, Violations int
	// Details describe the first violations.
	Details []string
}

// maxDetails is the number of violations of a promise whose details are kept.
const maxDetails = 20

// Report counts trials and violations by promise. Its zero value is an empty report.
type Report struct {
	mutex    sync.Mutex
	promises map[string]*Promise
}

// Count counts one trial of a promise. If it was not kept, it counts a violation too and
// formats a detail of it.
func (r *Report) Count(name string, kept bool, format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.promises == nil {
		r.promises = make(map[string]*Promise)
	}
	p := r.promises[name]
	if p == nil {
		p = &Promise{}
		r.promises[name] = p
	}
	p.Trials++
	if kept {
		return
	}
	p.Violations++
	if len(p.Details) < maxDetails {
		p.Details = append(p.Details, fmt.Sprintf(format, args...))
	}
}

// Trials returns the number of trials of all promises.
func (r *Report) Trials() int { return r.sum(func(p *Promise) int { return p.Trials }) }

// Violations returns the number of trials that violated a promise.
func (r *Report) Violations() int { return r.sum(func(p *Promise) int { return p.Violations }) }

func (r *Report) sum(count func(*Promise) int) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	total := 0
	for _, p := range r.promises {
		total += count(p)
	}
	return total
}

// Broken returns the number of violations of one promise.
func (r *Report) Broken(name string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if p := r.promises[name]; p != nil {
		return p.Violations
	}
	return 0
}

// Print writes a line for each promise and a line for each violation whose detail was kept.
func (r *Report) Print(w io.Writer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.promises)) {
		p := r.promises[name]
		_, _ = fmt.Fprintf(w, "soak promise=%s trials=%d violations=%d\n", name, p.Trials, p.Violations)
		for _, d := range p.Details {
			_, _ = fmt.Fprintf(w, "soak violation=%s %s\n", name, d)
		}
	}
}

// PrintCounts writes one line with the sum of counts, then each count by its name.
func PrintCounts[K cmp.Ordered](w io.Writer, what string, counts map[K]int) {
	total := 0
	var each strings.Builder
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(&each, " %v=%d", k, counts[k])
		total += counts[k]
	}
	_, _ = fmt.Fprintf(w, "soak %s=%d%s\n", what, total, each.String())
}
