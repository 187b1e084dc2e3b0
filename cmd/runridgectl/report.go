// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/modules/command"
	"runridge.example/runridge/modules/httphead"
	"runridge.example/runridge/modules/invalid"
	"runridge.example/runridge/transport/operatorhttp"
)

// reportCommand queries boxes for their status and prints one report on it.
type reportCommand struct {
	Timeout time.Duration `long:"timeout" default:"5s" description:"timeout of the query to each box"`
	Args    struct {
		Boxes []string `positional-arg-name:"IP:PORT" required:"1" description:"operator addresses of the boxes"`
	} `positional-args:"true"`

	// report prints the report.
	report func(w io.Writer, boxes []operatorhttp.Status) error
}

// addReport adds a command that prints a report.
func addReport(p *flags.Parser, name, short, long string, report func(w io.Writer, boxes []operatorhttp.Status) error) {
	command.Add(p, name, short, long, &reportCommand{report: report})
}

// Execute runs the subcommand.
func (c *reportCommand) Execute([]string) error {
	boxes, failed := c.statuses()
	return errors.Join(c.report(os.Stdout, boxes), failed)
}

// statuses queries the boxes for their status. Boxes that do not answer are returned as an
// error, with the statuses of the others, which may still be enough.
func (c *reportCommand) statuses() ([]operatorhttp.Status, error) {
	var boxes []operatorhttp.Status
	var failed error
	for _, address := range c.Args.Boxes {
		s, err := statusOf(address, c.Timeout)
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("box at %s: %w", address, err))
			continue
		}
		boxes = append(boxes, s)
	}
	return boxes, failed
}

// maxStatusBytes is the maximum size of a box's status that is read.
const maxStatusBytes = 4 << 20

// statusOf queries a box for its status.
func statusOf(address string, timeout time.Duration) (operatorhttp.Status, error) {
	var s operatorhttp.Status
	if _, err := netip.ParseAddrPort(address); err != nil {
		return s, invalid.FieldError{Field: "box", Value: address, Allowed: "an IP number and port"}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+operatorhttp.PathStatus, nil)
	if err != nil {
		return s, err
	}
	client := http.Client{Transport: httphead.Check(&http.Transport{DisableKeepAlives: true}, adapter.MaxAnswerHead)}
	resp, err := client.Do(req)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("answered %s", resp.Status)
	}
	return s, json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s)
}
