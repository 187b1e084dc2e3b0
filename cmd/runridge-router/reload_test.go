// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/smartystreets/goconvey/convey"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/setting"
)

// reloadedSettings receives the settings that are applied.
type reloadedSettings chan setting.Box

func (t reloadedSettings) Reload(s setting.Box) { t <- s }

func validSettings() setting.Box {
	return setting.Box{
		Name: "box-1", Zone: "zone-a", CallerListen: "127.0.0.1:1", BoxListen: "127.0.0.1:2",
		OperatorListen: "127.0.0.1:3", Platform: "127.0.0.1:4",
	}
}

func writeSettings(t *testing.T, path string, s setting.Box) {
	t.Helper()
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	const mode = 0o600
	if err := os.WriteFile(path, data, mode); err != nil {
		t.Fatal(err)
	}
}

func TestReload(t *testing.T) {
	convey.Convey("SIGHUP applies changed settings, and invalid ones change nothing", t, func() {
		path := filepath.Join(t.TempDir(), "settings.json")
		writeSettings(t, path, validSettings())
		boxes := make(reloadedSettings, 1)
		logger := log.Discard()
		w := settingsWatch{path: path, current: validSettings(), box: boxes, log: logger}
		ctx, end := context.WithCancel(context.Background())
		defer end()
		hangups := make(chan os.Signal)
		go w.run(ctx, hangups)

		next := validSettings()
		next.LogLevel, next.StopSeconds = "debug", 4.5
		writeSettings(t, path, next)
		hangups <- syscall.SIGHUP
		convey.So((<-boxes).StopSeconds, convey.ShouldEqual, 4.5)

		bad := next
		bad.Zone = "NOT A ZONE"
		writeSettings(t, path, bad)
		hangups <- syscall.SIGHUP
		// The second signal is received only after the first has been handled.
		hangups <- syscall.SIGHUP
		convey.So(len(boxes), convey.ShouldEqual, 0)
		writeSettings(t, path, next)
		hangups <- syscall.SIGHUP
		convey.So((<-boxes).Zone, convey.ShouldEqual, "zone-a")
		convey.So(logger.GetLevel(), convey.ShouldEqual, logrus.DebugLevel)
	})
	convey.Convey("Settings that need a restart are distinguished from those that don't", t, func() {
		next := validSettings()
		next.StopSeconds = 9
		convey.So(next.NeedsRestart(validSettings()), convey.ShouldBeFalse)
		next.Platform = "127.0.0.1:9"
		convey.So(next.NeedsRestart(validSettings()), convey.ShouldBeTrue)
	})
}
