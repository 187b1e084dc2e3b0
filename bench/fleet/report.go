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

// Report holds the measurements of a fleet. Figures are per box unless stated otherwise.
type Report struct {
	Boxes     int `json:"boxes"`
	Endpoints int `json:"endpoints"`
	// StartSeconds is the CPU time of the start and of the quiet period's length after it.
	StartSeconds float64 `json:"start_seconds"`
	// StartCalls is the number of calls to the store in that time, and StartSent the bytes
	// sent to other boxes, by kind and distance.
	StartCalls float64            `json:"start_calls"`
	StartSent  map[string]float64 `json:"start_sent"`
	// Cores is the CPU time per second, including that of the store's stand-in, and
	// Switches the number of voluntary context switches per second.
	Cores    float64 `json:"cores"`
	Switches float64 `json:"switches"`
	HeapMB   float64 `json:"heap_mb"`
	StackMB  float64 `json:"stack_mb"`
	// Goroutines includes the box's share of the stand-in's goroutines.
	Goroutines float64 `json:"goroutines"`
	// Calls is the number of calls of all boxes to the store per second.
	Calls float64 `json:"calls"`
	// Sent is the bytes per second sent to other boxes, by kind and distance.
	Sent map[string]float64 `json:"sent"`
	// Start is the time until boxes are ready and know all boxes and endpoints. Change is
	// the time until they have a changed configuration, and Endpoint until they know that an
	// endpoint drains.
	Start    Reach `json:"start"`
	Change   Reach `json:"change"`
	Endpoint Reach `json:"endpoint"`
}

// Reach is how long it takes until half of the boxes, 99 % of them, and all of them know
// something.
type Reach struct {
	Half time.Duration `json:"half"`
	Most time.Duration `json:"most"`
	Last time.Duration `json:"last"`
}

const (
	pollInterval = 5 * time.Millisecond
	mostRatio    = 0.99
)

var errNotReached = errors.New("not all boxes know it")

// awaitAll waits until knows is true for all boxes and returns the times since a start. It
// errors if that takes longer than the bound.
func (f *testFleet) awaitAll(since time.Time, bound time.Duration, knows func(b *box.Box) bool) (Reach, error) {
	var out Reach
	pending := slices.Clone(f.boxes)
	for len(pending) > 0 {
		pending = slices.DeleteFunc(pending, knows)
		took := time.Since(since)
		reached := len(f.boxes) - len(pending)
		if out.Half == 0 && reached*2 >= len(f.boxes) {
			out.Half = took
		}
		if out.Most == 0 && float64(reached) >= mostRatio*float64(len(f.boxes)) {
			out.Most = took
		}
		out.Last = took
		if took > bound {
			return out, fmt.Errorf("%w within %s: %d of %d", errNotReached, bound, reached, len(f.boxes))
		}
		time.Sleep(pollInterval)
	}
	return out, nil
}

// Print writes a table with a column for each report.
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

// addKinds appends a row for each kind of message and distance.
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

// String formats the three times in milliseconds.
func (r Reach) String() string {
	return fmt.Sprintf("%d / %d / %d ms", r.Half.Milliseconds(), r.Most.Milliseconds(), r.Last.Milliseconds())
}
