// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"runridge.example/runridge/bench"
	"runridge.example/runridge/modules/command"
)

// latencyCommand measures the latency that a box adds to a call.
type latencyCommand struct {
	Rate    float64 `long:"rate" default:"500" description:"calls a second, both directly and through a box"`
	Seconds float64 `long:"seconds" default:"8" description:"length of the run"`
}

func addLatency(parser *flags.Parser) {
	command.Add(parser, "latency", "Measure the latency that a box adds to a call", "Call a plain service directly and through a box, in turn, and print the times.", &latencyCommand{})
}

const maxRate = 5000

// Execute runs the subcommand.
func (c *latencyCommand) Execute([]string) error {
	if c.Rate <= 0 || c.Rate > maxRate {
		return fmt.Errorf("--rate is %g, allowed: above 0, up to %d", c.Rate, maxRate)
	}
	if c.Seconds <= 0 || c.Seconds > maxSeconds {
		return fmt.Errorf("--seconds is %g, allowed: above 0, up to %d", c.Seconds, maxSeconds)
	}
	l, err := bench.MeasureLatency(context.Background(), c.Rate, time.Duration(c.Seconds*float64(time.Second)))
	if err != nil {
		return err
	}
	l.Print(os.Stdout)
	return nil
}
