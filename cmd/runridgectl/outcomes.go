// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"runridge.example/runridge/modules/command"
	"runridge.example/runridge/modules/timeline"
)

// outcomesCommand counts how requests ended.
type outcomesCommand struct {
	Args struct {
		Logs []string `positional-arg-name:"LOGFILE" required:"1" description:"logs of the boxes"`
	} `positional-args:"true"`
}

func addOutcomes(p *flags.Parser) {
	command.Add(p, "outcomes", "Count how requests ended", "Count the requests in the boxes' logs by service and by what kept them from being in time.", &outcomesCommand{})
}

// Execute runs the subcommand.
func (c *outcomesCommand) Execute([]string) error {
	lines, err := readLogs(c.Args.Logs)
	if err != nil {
		return err
	}
	for _, o := range timeline.Outcomes(lines) {
		fmt.Printf("outcomes service=%s cause=%s count=%d\n", o.Service, o.Cause, o.Count)
	}
	return nil
}
