// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"runridge.example/runridge/bench/fleet"
	"runridge.example/runridge/modules/command"
	"runridge.example/runridge/modules/log"
)

// fleetCommand measures what membership in a fleet costs a box.
type fleetCommand struct {
	Boxes     []int   `long:"boxes" default:"30" default:"100" description:"number of boxes; may be given more than once"`
	Endpoints int     `long:"endpoints" default:"10" description:"endpoints for each box"`
	Zones     int     `long:"zones" default:"5" description:"availability zones"`
	Seconds   float64 `long:"seconds" default:"10" description:"length of the time without requests"`
	Profile   string  `long:"profile" description:"file for a CPU profile of the time without requests; with several sizes, of the last"`
	Start     string  `long:"start-profile" description:"file for a CPU profile of the start"`
	JSON      string  `long:"json" description:"file for the results as JSON"`
	LogLevel  string  `long:"log-level" default:"error" description:"log level of the boxes"`
}

const maxFleet = 1000

func addFleet(parser *flags.Parser) {
	command.Add(parser, "fleet", "Measure what membership in a fleet costs a box",
		"Run real boxes in one process with a stand-in for the platform's store, and print what each uses while there are no requests: processor, memory, messages, calls to the store, and how long a start and changes take to reach all boxes.", &fleetCommand{})
}

// Execute runs the subcommand.
func (c *fleetCommand) Execute([]string) error {
	logger, err := log.New(log.Config{Level: c.LogLevel, Output: os.Stderr})
	if err != nil {
		return err
	}
	var reports []fleet.Report
	for _, n := range c.Boxes {
		if n < 1 || n > maxFleet {
			return fmt.Errorf("--boxes is %d, allowed: 1 to %d", n, maxFleet)
		}
		r, err := fleet.Run(fleet.Config{
			Boxes: n, Endpoints: n * c.Endpoints, Zones: c.Zones, Quiet: time.Duration(c.Seconds * float64(time.Second)),
			Profile: c.Profile, StartProfile: c.Start, Log: logger,
		})
		if err != nil {
			return fmt.Errorf("%d boxes: %w", n, err)
		}
		reports = append(reports, r)
	}
	if err := fleet.Print(os.Stdout, reports); err != nil || c.JSON == "" {
		return err
	}
	data, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, append(data, '\n'), resultFileMode)
}
