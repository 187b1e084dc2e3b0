// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command runridge-bench runs real boxes with fake engines: a demonstration, measurements
// of policies and of costs, and a soak test under faults.
package main

import (
	"os"

	"runridge.example/runridge/modules/command"
)

func main() {
	parser := command.New("runridge-bench")
	addDemo(parser)
	addRun(parser)
	addLatency(parser)
	addSoak(parser)
	addSlopes(parser)
	addFleet(parser)
	os.Exit(command.Run(parser, nil))
}
