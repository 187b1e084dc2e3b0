// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"runridge.example/runridge/modules/command"
	"runridge.example/runridge/modules/timeline"
)

// outcomesCommand counts how requests ended, from the boxes' logs.
type outcomesCommand struct {
	Args struct {
		Logs []string `positional-arg-name:"LOGFILE" required:"1" description:"logs of the boxes"`
	} `positional-args:"true"`
}

func addOutcomes(p *flags.Parser) {
	command.Add(p, "outcomes", "Count how requests ended", "Count the requests in the boxes' logs by service and by why they were not in time, and summarize what the callers of each service experienced, counted from their first try.", &outcomesCommand{})
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
	for _, a := range timeline.SummarizeCallers(lines) {
		fmt.Printf("callers service=%s asked=%d in_time=%d late=%d late_by=%v refused_at_once=%d refused_waiting=%d waited_in_vain=%v waited_p99=%v returned_served=%d returned_refused=%d gone=%d gone_running=%d failed=%d worth=%.3f\n",
			a.Service, a.Asked, a.InTime, a.Late, a.LateBy, a.RefusedAtOnce, a.RefusedWaiting, a.WaitedInVain, a.WaitedP99,
			a.ReturnedServed, a.ReturnedRefused, a.Gone, a.GoneRunning, a.Failed, a.Worth)
	}
	return nil
}
