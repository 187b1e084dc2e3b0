// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command runridge-router runs one entry box; every entry box runs the same program.
package main

import (
	"os"

	"runridge.example/runridge/modules/command"
)

func main() {
	parser := command.New("runridge-router")
	addServe(parser)
	addCheck(parser)
	addVersion(parser)
	os.Exit(command.Run(parser, nil))
}
