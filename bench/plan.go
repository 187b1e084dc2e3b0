// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bench

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"runridge.example/runridge/state/schedule"
)

// TableWeight as the waste weight of a run keeps that of the table.
const TableWeight = -1

// variant is a labelled policy that can be measured.
type variant struct {
	label  string
	policy schedule.Policy
	// wasteWeight keeps the table's weight by default; goodputOnly and wasteOnly are
	// the two extremes.
	wasteWeight wasteWeight
	// ablation marks variants of runridge with one decision or objective disabled.
	// Unless policies are chosen, these run at one load only.
	ablation bool
}

// wasteWeight is how a variant sets the service's waste weight.
type wasteWeight uint8

const (
	tableDefault wasteWeight = iota
	goodputOnly
	wasteOnly
)

// value returns the waste weight for a run's configuration.
func (w wasteWeight) value() float64 {
	switch w {
	case goodputOnly:
		return 0
	case wasteOnly:
		return 1
	default:
		return TableWeight
	}
}

var variants = []variant{
	{label: "goodput_only", wasteWeight: goodputOnly, ablation: true},
	{label: "waste_only", wasteWeight: wasteOnly, ablation: true},
	{label: schedule.PolicyRoundRobin, policy: schedule.Policy{Name: schedule.PolicyRoundRobin}},
	{label: schedule.PolicyLeastOutstanding, policy: schedule.Policy{Name: schedule.PolicyLeastOutstanding}},
	{label: schedule.PolicyRunridge},
	{label: "no_joint", policy: schedule.Policy{NoJoint: true}, ablation: true},
	{label: "no_prefix", policy: schedule.Policy{NoPrefix: true}, ablation: true},
	{label: "no_order", policy: schedule.Policy{NoOrder: true}, ablation: true},
	{label: "no_recompute", policy: schedule.Policy{NoRecompute: true}, ablation: true},
	{label: "no_early_refusal", policy: schedule.Policy{NoEarlyRefusal: true}, ablation: true},
	{label: "no_ejection", policy: schedule.Policy{NoEjection: true}, ablation: true},
	{label: "no_batch_target", policy: schedule.Policy{NoBatchTarget: true}, ablation: true},
	{label: "no_learning", policy: schedule.Policy{NoLearning: true}, ablation: true},
}

// ablationLoad is the load at which ablations run by default.
const ablationLoad = 1.3

// PolicyNames returns the labels of all variants, separated by commas.
func PolicyNames() string {
	names := make([]string, 0, len(variants))
	for _, v := range variants {
		names = append(names, v.label)
	}
	return strings.Join(names, ", ")
}

// PlanConfig selects the runs of a plan.
type PlanConfig struct {
	Scenarios []string
	// Policies are labels of variants; empty means all, with ablations at one load only.
	Policies []string
	Loads    []float64
	// Faults is "no", "yes" or "both".
	Faults   string
	Boxes    int
	Duration time.Duration
	Seed     uint64
}

// Plan returns the runs that a configuration selects. It errors for an unknown policy.
func Plan(cfg PlanConfig) ([]RunConfig, error) {
	for _, p := range cfg.Policies {
		if !slices.ContainsFunc(variants, func(v variant) bool { return v.label == p }) {
			return nil, fmt.Errorf("--policy is %q, allowed: %s", p, PolicyNames())
		}
	}
	faults := map[string][]bool{"no": {false}, "yes": {true}, "both": {false, true}}[cfg.Faults]
	var out []RunConfig
	for _, scenario := range cfg.Scenarios {
		for _, f := range faults {
			for _, load := range cfg.Loads {
				for _, v := range variants {
					if !cfg.includes(v, load) {
						continue
					}
					out = append(out, RunConfig{
						Scenario: scenario, Label: v.label, Policy: v.policy, Load: load, Faults: f,
						Boxes: cfg.Boxes, Duration: cfg.Duration, Seed: cfg.Seed, WasteWeight: v.wasteWeight.value(),
					})
				}
			}
		}
	}
	return out, nil
}

func (c PlanConfig) includes(v variant, load float64) bool {
	if len(c.Policies) > 0 {
		return slices.Contains(c.Policies, v.label)
	}
	return !v.ablation || load == ablationLoad
}

// RunAll executes all runs, at most parallel at once, and calls each with every result as soon
// as it is there. It returns the results in the order of the plan.
func RunAll(ctx context.Context, plan []RunConfig, parallel int, each func(Result)) ([]Result, error) {
	results := make([]Result, len(plan))
	var runs errgroup.Group
	runs.SetLimit(parallel)
	for i, cfg := range plan {
		runs.Go(func() error {
			r, err := Run(ctx, cfg)
			if err != nil {
				return err
			}
			results[i] = r
			each(r)
			return nil
		})
	}
	return results, runs.Wait()
}
