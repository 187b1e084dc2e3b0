// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"runridge.example/runridge/modules/command"
	"runridge.example/runridge/modules/version"
)

type versionCommand struct{}

func addVersion(parser *flags.Parser) {
	command.Add(parser, "version", "Print the version", "Print the version.", &versionCommand{})
}

// Execute runs the subcommand.
func (*versionCommand) Execute([]string) error {
	fmt.Println(version.Version)
	return nil
}
