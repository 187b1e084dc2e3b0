// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"runridge.example/runridge/box"
	"runridge.example/runridge/modules/command"
	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/setting"
	"runridge.example/runridge/modules/version"
	"runridge.example/runridge/platform"
)

// serveCommand runs the box until SIGTERM or SIGINT.
type serveCommand struct {
	Settings string `long:"settings" short:"s" required:"true" description:"settings file (JSON)"`
}

func addServe(parser *flags.Parser) {
	command.Add(parser, "serve", "Run this entry box", "Serve callers until SIGTERM or SIGINT, then finish the requests in flight.", &serveCommand{})
}

// Execute runs the subcommand.
func (c *serveCommand) Execute([]string) error {
	settings, err := setting.Load(c.Settings)
	if err != nil {
		return err
	}
	output := log.NewWriter(os.Stdout)
	defer output.Close()
	logger, err := log.New(log.Config{Level: settings.LogLevel, Output: output})
	if err != nil {
		return err
	}
	logger.WithFields(log.Fields{"settings": c.Settings, "version": version.Version}).Info("starting")
	options := box.Options{Log: logger}
	if settings.PlatformProtocol == setting.PlatformObjects {
		names := platform.Names()
		options.Platform = platform.New(settings.Platform)
		options.Names = &names
	}
	b, err := box.New(settings, options)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	w := settingsWatch{path: c.Settings, current: settings, box: b, log: logger}
	go w.run(ctx, hangups)
	return b.Run(ctx)
}
