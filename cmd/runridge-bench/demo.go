// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"runridge.example/runridge/bench"
	"runridge.example/runridge/modules/command"
	"runridge.example/runridge/state/example"
	"runridge.example/runridge/state/schedule"
)

// demoCommand demonstrates the router's main job in one process, in about 20 s.
type demoCommand struct{}

func addDemo(parser *flags.Parser) {
	command.Add(parser, "demo", "Show the router at work", "Start the platform, nine engines and four boxes in this process, serve both users' requests with and without faults, and print the measurements.", &demoCommand{})
}

const (
	demoBoxes    = 4
	demoDuration = 4 * time.Second
	demoLoad     = 0.7
)

// Execute runs the subcommand.
func (*demoCommand) Execute([]string) error {
	var results []bench.Result
	for _, scenario := range example.Names() {
		for _, faults := range []bool{false, true} {
			r, err := bench.Run(context.Background(), bench.RunConfig{
				Scenario: scenario, Label: schedule.PolicyRunridge, Load: demoLoad, Faults: faults,
				Boxes: demoBoxes, Duration: demoDuration, Seed: 1, WasteWeight: bench.TableWeight,
			})
			if err != nil {
				return err
			}
			results = append(results, r)
		}
	}
	if err := bench.PrintTable(os.Stdout, results); err != nil {
		return err
	}
	return checkDemo(results)
}

// checkDemo returns an error if a guarantee was violated during the demonstration, or if a
// run finished no request.
func checkDemo(results []bench.Result) error {
	for _, r := range results {
		if r.Wrong > 0 || r.Held > 0 || r.Outcomes[string(bench.OutcomeFinished)] == 0 {
			return fmt.Errorf("%s: %d wrong answers, %d holds left, outcomes %v", r.Scenario, r.Wrong, r.Held, r.Outcomes)
		}
	}
	if len(results) == 0 {
		return errors.New("no scenario was run")
	}
	fmt.Println("demo: every finished answer was complete and went to its own caller; no engine memory is still held")
	return nil
}
