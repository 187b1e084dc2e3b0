// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relayapi

import (
	"encoding/json"
	"fmt"

	"runridge.example/runridge/coordination/stages"
)

// OrderNames are the paths, JSON fields and values of orders to engines and their reports.
type OrderNames struct {
	Path, ReportPath string
	// Operation is the field for the kind of the order, and ChangeStage its value for
	// a change of the engine's stage.
	Operation, ChangeStage string
	// Stage is the field for a stage, in orders and reports; Prefill and Decode are
	// its values.
	Stage, Prefill, Decode string
	// Holder is the field for the holder of the engine's lease, and Fence that for its
	// fencing token.
	Holder, Fence string
	// Expected is the field for the number of orders that the engine must have carried
	// out before. In a report, Taken is the field for that number, and Busy the one
	// that is true while an order is in progress.
	Expected, Taken, Busy string
}

// MarshalOrder returns the JSON body of an order.
func (n OrderNames) MarshalOrder(o stages.Order) ([]byte, error) {
	stage := n.Decode
	if o.Prefill {
		stage = n.Prefill
	}
	return json.Marshal(map[string]any{
		n.Operation: n.ChangeStage, n.Stage: stage, n.Holder: o.Holder, n.Fence: o.Fence, n.Expected: o.Orders,
	})
}

// ParseReport parses an engine's report. It returns an error if a field is missing or invalid.
func (n OrderNames) ParseReport(body []byte) (stages.Report, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return stages.Report{}, fmt.Errorf("report: %w", err)
	}
	var r stages.Report
	stage := ""
	if err := json.Unmarshal(fields[n.Stage], &stage); err != nil || stage != n.Prefill && stage != n.Decode {
		return r, fmt.Errorf("report has no %s", n.Stage)
	}
	r.Prefill = stage == n.Prefill
	if err := json.Unmarshal(fields[n.Taken], &r.Orders); err != nil {
		return r, fmt.Errorf("report has no %s: %w", n.Taken, err)
	}
	if err := json.Unmarshal(fields[n.Busy], &r.Changing); err != nil {
		return r, fmt.Errorf("report has no %s: %w", n.Busy, err)
	}
	return r, nil
}
