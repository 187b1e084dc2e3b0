// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"runridge.example/runridge/modules/command"
	"runridge.example/runridge/modules/setting"
)

// checkCommand validates a settings file without starting the box.
type checkCommand struct {
	Settings string `long:"settings" short:"s" required:"true" description:"settings file (JSON)"`
}

func addCheck(parser *flags.Parser) {
	command.Add(parser, "check", "Check a settings file", "Validate a settings file and print every problem, without starting the box.", &checkCommand{})
}

// Execute runs the subcommand.
func (c *checkCommand) Execute([]string) error {
	if _, err := setting.Load(c.Settings); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}
