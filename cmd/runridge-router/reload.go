// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"runridge.example/runridge/modules/log"
	"runridge.example/runridge/modules/setting"
)

// pollInterval is how often the settings file is checked for changes without a signal.
const pollInterval = 2 * time.Second

// reloader applies changed settings.
type reloader interface {
	Reload(s setting.Box)
}

// settingsWatch applies changed settings while the box runs.
type settingsWatch struct {
	path    string
	current setting.Box
	box     reloader
	log     *logrus.Logger
	modTime time.Time
}

// run reloads the settings at each SIGHUP and when the file has changed, until the context
// ends.
func (w *settingsWatch) run(ctx context.Context, hangups <-chan os.Signal) {
	look := time.NewTicker(pollInterval)
	defer look.Stop()
	w.modified()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			w.reload("hangup")
		case <-look.C:
			if w.modified() {
				w.reload("file_changed")
			}
		}
	}
}

// modified reports whether the file's modification time differs from the last one seen.
func (w *settingsWatch) modified() bool {
	info, err := os.Stat(w.path)
	if err != nil || info.ModTime().Equal(w.modTime) {
		return false
	}
	w.modTime = info.ModTime()
	return true
}

// reload applies the settings that may change in a running box. Invalid settings change
// nothing.
func (w *settingsWatch) reload(cause string) {
	next, err := setting.Load(w.path)
	if err != nil {
		w.log.WithFields(log.Fields{log.FieldReason: cause}).WithError(err).Error("settings_rejected")
		return
	}
	changed := !reflect.DeepEqual(next, w.current)
	restart := next.NeedsRestart(w.current)
	w.current = next
	if level, err := logrus.ParseLevel(next.LogLevel); err == nil {
		w.log.SetLevel(level)
	}
	w.box.Reload(next)
	w.log.WithFields(log.Fields{log.FieldReason: cause, "changed": changed, "needs_restart": restart}).Info("settings_reloaded")
}
