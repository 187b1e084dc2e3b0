// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command runridgectl is the operators' tool: it reads and changes the table in the
// platform and prints reports from boxes. Exit codes: 0 success, 1 invalid input or
// failure, 2 conflict with another operator's change.
package main

import (
	"context"
	"errors"
	"os"
	"os/user"
	"time"

	"runridge.example/runridge/coordination/change"
	"runridge.example/runridge/modules/command"
	"runridge.example/runridge/transport/platformhttp"
)

// exitConflict is the exit code if another operator's change came first.
const exitConflict = 2

func main() {
	parser := command.New("runridgectl")
	addInit(parser)
	addCheck(parser)
	addGet(parser)
	addSet(parser)
	addPlan(parser)
	addApply(parser)
	addDrain(parser)
	addHistory(parser)
	addExplain(parser)
	addOutcomes(parser)
	addAccounts(parser)
	addStages(parser)
	addTraffic(parser)
	addZones(parser)
	addRegions(parser)
	addAllowed(parser)
	addCold(parser)
	addLimits(parser)
	addPoison(parser)
	addBuilds(parser)
	addUnreadable(parser)
	os.Exit(command.Run(parser, exitCode))
}

// exitCode returns exitConflict for a conflict and ExitFailure for other errors.
func exitCode(err error) int {
	var conflict *change.ConflictError
	if errors.As(err, &conflict) {
		return exitConflict
	}
	return command.ExitFailure
}

// platformOptions are the platform's address and the timeout.
type platformOptions struct {
	Platform string        `long:"platform" env:"RUNRIDGE_PLATFORM" required:"true" description:"IP address and port of the object API"`
	Timeout  time.Duration `long:"timeout" default:"30s" description:"timeout of the whole command"`
}

// open creates a platform client and a context with the timeout; the returned function
// releases both.
func (o platformOptions) open() (context.Context, *platformhttp.Client, func()) {
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	client := platformhttp.New(o.Platform)
	return ctx, client, func() {
		cancel()
		client.Close()
	}
}

// writeOptions are the author of a change and the reason for it.
type writeOptions struct {
	Author string `long:"author" env:"RUNRIDGE_AUTHOR" description:"author of the change; default: the name of the current user"`
	Note   string `long:"note" description:"reason for the change, kept in the history"`
}

func (o writeOptions) author() string {
	if o.Author != "" {
		return o.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
