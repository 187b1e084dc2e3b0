// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/olekukonko/tablewriter"

	"runridge.example/runridge/box"
)

// Report is what a fleet costs. Figures are those of one box, but where they say otherwise.
type Report struct {
	Boxes     int `json:"boxes"`
	Endpoints int `json:"endpoints"`
	// StartSeconds is the processor time of a start, and of the quiet time's length after it.
	StartSeconds float64 `json:"start_seconds"`
	// StartCalls are the calls to the store meanwhile, and StartSent the bytes to other boxes
	// by kind and distance.
	StartCalls float64            `json:"start_calls"`
	StartSent  map[string]float64 `json:"start_sent"`
	// Cores is the processor time of a second, with that of the store's stand-in, and
	// Switches how often a thread waited.
	Cores    float64 `json:"cores"`
	Switches float64 `json:"switches"`
	HeapMB   float64 `json:"heap_mb"`
	StackMB  float64 `json:"stack_mb"`
	// Goroutines are those of the box and of its part of the stand-in.
	Goroutines float64 `json:"goroutines"`
	// Calls are those of all boxes to the store, a second.
	Calls float64 `json:"calls"`
	// Sent is bytes a second to other boxes, by kind and distance.
	Sent map[string]float64 `json:"sent"`
	// Start is until a box is ready and knows all others and all endpoints, Change and
	// Endpoint until it has a changed configuration and an endpoint that drains.
	Start    Reach `json:"start"`
	Change   Reach `json:"change"`
	Endpoint Reach `json:"endpoint"`
}

// Reach is how long it takes until half of the boxes know something, 99 of 100, and the last.
type Reach struct {
	Half time.Duration `json:"half"`
	Most time.Duration `json:"most"`
	Last time.Duration `json:"last"`
}

const (
	reachLook = 5 * time.Millisecond
	mostShare = 0.99
)

var errNotReached = errors.New("not all boxes were reached")

// reach waits until all boxes know something.
func (f *fleet) reach(since time.Time, bound time.Duration, knows func(b *box.Box) bool) (Reach, error) {
	var out Reach
	open := slices.Clone(f.boxes)
	for len(open) > 0 {
		open = slices.DeleteFunc(open, knows)
		took := time.Since(since)
		reached := len(f.boxes) - len(open)
		if out.Half == 0 && reached*2 >= len(f.boxes) {
			out.Half = took
		}
		if out.Most == 0 && float64(reached) >= mostShare*float64(len(f.boxes)) {
			out.Most = took
		}
		out.Last = took
		if took > bound {
			return out, fmt.Errorf("%w within %s: %d of %d", errNotReached, bound, reached, len(f.boxes))
		}
		time.Sleep(reachLook)
	}
	return out, nil
}

// Print writes a table with a column for each fleet.
func Print(w io.Writer, reports []Report) error {
	out := tablewriter.NewWriter(w)
	head := []any{"a box"}
	for _, r := range reports {
		head = append(head, fmt.Sprintf("%d boxes, %d endpoints", r.Boxes, r.Endpoints))
	}
	out.Header(head...)
	rows := []struct {
		name string
		of   func(r Report) string
	}{
		{"processor of the start, ms", func(r Report) string { return fmt.Sprintf("%.0f", 1000*r.StartSeconds) }},
		{"calls to the store of the start", func(r Report) string { return fmt.Sprintf("%.1f", r.StartCalls) }},
		{"processor, % of a core", func(r Report) string { return fmt.Sprintf("%.2f", 100*r.Cores) }},
		{"waits of threads a second", func(r Report) string { return fmt.Sprintf("%.0f", r.Switches) }},
		{"heap, MB", func(r Report) string { return fmt.Sprintf("%.1f", r.HeapMB) }},
		{"stacks, MB", func(r Report) string { return fmt.Sprintf("%.1f", r.StackMB) }},
		{"goroutines", func(r Report) string { return fmt.Sprintf("%.0f", r.Goroutines) }},
		{"calls to the store a second, all boxes", func(r Report) string { return fmt.Sprintf("%.1f", r.Calls) }},
		{"start, half / 99 % / last", func(r Report) string { return r.Start.String() }},
		{"configuration", func(r Report) string { return r.Change.String() }},
		{"endpoint", func(r Report) string { return r.Endpoint.String() }},
	}
	for _, row := range rows {
		cells := []any{row.name}
		for _, r := range reports {
			cells = append(cells, row.of(r))
		}
		if err := out.Append(cells...); err != nil {
			return err
		}
	}
	if err := addKinds(out, "bytes of the start", reports, func(r Report) map[string]float64 { return r.StartSent }); err != nil {
		return err
	}
	if err := addKinds(out, "bytes a second, quiet", reports, func(r Report) map[string]float64 { return r.Sent }); err != nil {
		return err
	}
	return out.Render()
}

// addKinds writes a row for each kind of message and distance.
func addKinds(out *tablewriter.Table, name string, reports []Report, of func(r Report) map[string]float64) error {
	kinds := make(map[string]bool)
	for _, r := range reports {
		for kind := range of(r) {
			kinds[kind] = true
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		cells := []any{name + ": " + kind}
		for _, r := range reports {
			cells = append(cells, fmt.Sprintf("%.0f", of(r)[kind]))
		}
		if err := out.Append(cells...); err != nil {
			return err
		}
	}
	return nil
}

// String gives the three times in milliseconds.
func (r Reach) String() string {
	return fmt.Sprintf("%d / %d / %d ms", r.Half.Milliseconds(), r.Most.Milliseconds(), r.Last.Milliseconds())
}
