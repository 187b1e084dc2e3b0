// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relayapi

import (
	"encoding/json"
	"fmt"

	"runridge.example/runridge/coordination/stages"
)

// OrderNames are the paths, fields and words of orders to engines.
type OrderNames struct {
	Path, ReportPath string
	// Operation is the field that says what to do, and ChangeStage its value for a
	// change of the stage.
	Operation, ChangeStage string
	// Stage is the field, in orders and reports, for a stage; Prefill and Decode
	// are its values.
	Stage, Prefill, Decode string
	Holder, Fence          string
	// Expected is the field for the count of orders that an engine must have
	// taken; Taken and Busy are those of a report that tell the count and that
	// an order is under way.
	Expected, Taken, Busy string
}

// Write is the body of an order.
func (n OrderNames) Write(o stages.Order) ([]byte, error) {
	stage := n.Decode
	if o.Prefill {
		stage = n.Prefill
	}
	return json.Marshal(map[string]any{
		n.Operation: n.ChangeStage, n.Stage: stage, n.Holder: o.Holder, n.Fence: o.Fence, n.Expected: o.Orders,
	})
}

// ParseReport reads an engine's report.
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
