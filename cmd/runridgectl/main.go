// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command runridgectl is the operators' program: it reads and changes the
// table in the platform. Exit codes: 0 done, 1 wrong input or failure, 2 the
// change met another operator's.
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

// exitConflict says that another operator's change came first.
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
	os.Exit(command.Run(parser, exitCode))
}

// exitCode tells a lost race from other failures.
func exitCode(err error) int {
	var conflict *change.ConflictError
	if errors.As(err, &conflict) {
		return exitConflict
	}
	return command.ExitFailure
}

// platformOptions say where the platform is.
type platformOptions struct {
	Platform string        `long:"platform" env:"RUNRIDGE_PLATFORM" required:"true" description:"object API's IP number and port"`
	Timeout  time.Duration `long:"timeout" default:"30s" description:"bound on the whole command"`
}

// open connects to the platform; the returned function ends it.
func (o platformOptions) open() (context.Context, *platformhttp.Client, func()) {
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	client := platformhttp.New(o.Platform)
	return ctx, client, func() {
		cancel()
		client.Close()
	}
}

// writeOptions say who changes the table and why.
type writeOptions struct {
	Author string `long:"author" env:"RUNRIDGE_AUTHOR" description:"who makes the change; default: the user's name"`
	Note   string `long:"note" description:"why, for the history"`
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
