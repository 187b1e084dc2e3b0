// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command runridge-bench drives real boxes with fake engines: a demonstration,
// measurements of policies and a soak under faults.
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
