// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"runridge.example/runridge/modules/command"
	"runridge.example/runridge/modules/invalid"
	"runridge.example/runridge/modules/timeline"
)

// explainCommand prints the timeline of one request from the boxes' logs.
type explainCommand struct {
	Request string `long:"request" short:"r" required:"true" description:"the request's id"`
	Args    struct {
		Logs []string `positional-arg-name:"LOGFILE" required:"1" description:"logs of the boxes"`
	} `positional-args:"true"`
}

func addExplain(p *flags.Parser) {
	command.Add(p, "explain", "Show what happened to a request", "Merge the boxes' logs into the timeline of one request.", &explainCommand{})
}

// Execute runs the subcommand.
func (c *explainCommand) Execute([]string) error {
	lines, err := readLogs(c.Args.Logs)
	if err != nil {
		return err
	}
	found := timeline.ForRequest(c.Request, lines)
	if len(found) == 0 {
		return invalid.FieldError{Field: "request", Value: c.Request, Allowed: "an id that a line of these logs names"}
	}
	for _, l := range found {
		fmt.Println(l.Text)
	}
	return nil
}

// readLogs reads the lines of several logs.
func readLogs(paths []string) ([]timeline.Line, error) {
	var lines []timeline.Line
	for _, path := range paths {
		more, err := readLog(path)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

func readLog(path string) ([]timeline.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return timeline.Read(file)
}
