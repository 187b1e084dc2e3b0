// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package command is shared by the entry points of the programs.
package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes of every program.
const (
	ExitDone    = 0
	ExitFailure = 1
)

// New returns a parser for a program's subcommands.
func New(name string) *flags.Parser {
	return flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
}

// Add registers a subcommand. It panics if the name is taken, which is a programming error.
func Add(parser *flags.Parser, name, short, long string, data any) {
	if _, err := parser.AddCommand(name, short, long, data); err != nil {
		panic(err)
	}
}

// Run parses the command line, runs the subcommand, prints its error and returns the exit
// code. If code is set, it maps an error to the exit code.
func Run(parser *flags.Parser, code func(error) int) int {
	_, err := parser.Parse()
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(err)
		return ExitDone
	}
	fmt.Fprintln(os.Stderr, err)
	if code != nil {
		return code(err)
	}
	return ExitFailure
}
