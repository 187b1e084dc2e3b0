// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"runridge.example/runridge/bench"
	"runridge.example/runridge/modules/command"
)

// runCommand measures scheduling policies on the same arrivals.
type runCommand struct {
	Scenario []string  `long:"scenario" choice:"bogota" choice:"kolkata" choice:"replies" choice:"documents" default:"bogota" default:"kolkata" description:"user whose load is simulated; may be given more than once"`
	Policy   []string  `long:"policy" description:"policies to run; default: all (see --help of this command)"`
	Load     []float64 `long:"load" default:"0.7" default:"1.0" default:"1.3" default:"2.0" description:"offered load as a multiple of the engines' capacity"`
	Faults   string    `long:"faults" choice:"no" choice:"yes" choice:"both" default:"both" description:"run with faults"`
	Boxes    int       `long:"boxes" default:"8" description:"entry boxes"`
	Seconds  float64   `long:"seconds" default:"8" description:"length of each run"`
	Seed     uint64    `long:"seed" default:"1" description:"seed of the arrivals"`
	Parallel int       `long:"parallel" default:"2" description:"number of concurrent runs"`
	JSON     string    `long:"json" description:"file for the results as JSON"`
}

const (
	maxBoxes    = 16
	maxSeconds  = 120
	maxParallel = 4
)

func addRun(parser *flags.Parser) {
	long := "Run policies side by side on the same arrivals. Policies: " + bench.PolicyNames()
	command.Add(parser, "run", "Measure policies", long, &runCommand{})
}

// Execute runs the subcommand.
func (c *runCommand) Execute([]string) error {
	if c.Boxes < 1 || c.Boxes > maxBoxes {
		return fmt.Errorf("--boxes is %d, allowed: 1 to %d", c.Boxes, maxBoxes)
	}
	if c.Seconds <= 0 || c.Seconds > maxSeconds {
		return fmt.Errorf("--seconds is %g, allowed: above 0, up to %d", c.Seconds, maxSeconds)
	}
	if c.Parallel < 1 || c.Parallel > maxParallel {
		return fmt.Errorf("--parallel is %d, allowed: 1 to %d", c.Parallel, maxParallel)
	}
	plan, err := bench.Plan(bench.PlanConfig{
		Scenarios: c.Scenario, Policies: c.Policy, Loads: c.Load, Faults: c.Faults,
		Boxes: c.Boxes, Duration: time.Duration(c.Seconds * float64(time.Second)), Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	results, err := bench.RunAll(context.Background(), plan, c.Parallel, func(r bench.Result) {
		fmt.Fprintf(os.Stderr, "done %s %s load %.1f faults %v: %.1f good/s of %.1f\n", r.Scenario, r.Label, r.Load, r.Faults, r.Goodput, r.Bound)
	})
	if err != nil {
		return err
	}
	if err := bench.PrintTable(os.Stdout, results); err != nil {
		return err
	}
	if err := c.write(results); err != nil {
		return err
	}
	return bench.PrintLines(os.Stdout, results)
}

const resultFileMode = 0o644

func (c *runCommand) write(results []bench.Result) error {
	if c.JSON == "" {
		return nil
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, append(data, '\n'), resultFileMode)
}
