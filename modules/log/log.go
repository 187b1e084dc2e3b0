// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package log writes each event as one line of key=value pairs.
package log

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Field names shared by all events, so that lines of several processes can be joined by
// key.
const (
	FieldBox         = "box"
	FieldIncarnation = "incarnation"
	FieldRequest     = "request"
	// FieldAsk is a box's own id of one attempt; the logs of homes identify requests by it.
	FieldAsk        = "ask"
	FieldAttempt    = "attempt"
	FieldEngine     = "engine"
	FieldGeneration = "generation"
	FieldReason     = "reason"
)

// Fields is a set of key=value pairs.
type Fields = logrus.Fields

// Logger writes events.
type Logger = logrus.FieldLogger

// Config configures a logger.
type Config struct {
	// Level is a logrus level name; empty means info.
	Level string
	// Output receives the lines.
	Output io.Writer
}

// New returns a logger that writes key=value lines. An unknown level is an error that names
// it.
func New(cfg Config) (*logrus.Logger, error) {
	name := cfg.Level
	if name == "" {
		name = logrus.InfoLevel.String()
	}
	level, err := logrus.ParseLevel(name)
	if err != nil {
		return nil, fmt.Errorf("log level %q: allowed are trace, debug, info, warn, error", name)
	}
	l := logrus.New()
	l.SetLevel(level)
	l.SetOutput(cfg.Output)
	l.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: time.RFC3339Nano,
	})
	l.AddHook(fieldLimit{})
	return l, nil
}

// maxField is the longest text of a field, in bytes: errors may quote what a peer sent.
const maxField = 2 << 10

// fieldLimit is a hook that cuts the texts of fields.
type fieldLimit struct{}

// Levels returns all levels.
func (fieldLimit) Levels() []logrus.Level { return logrus.AllLevels }

// Fire cuts the fields of an entry, which is a copy made for its line.
func (fieldLimit) Fire(e *logrus.Entry) error {
	for name, value := range e.Data {
		var text string
		switch v := value.(type) {
		case string:
			text = v
		case error:
			text = v.Error()
		default:
			continue
		}
		if len(text) > maxField {
			e.Data[name] = text[:maxField] + "..."
		}
	}
	return nil
}

// Discard returns a logger that drops every event; tests and benchmarks use it.
func Discard() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.PanicLevel)
	return l
}
