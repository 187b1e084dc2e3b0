// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"io"
	"strconv"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/olekukonko/tablewriter"

	"runridge.example/runridge/transport/operatorhttp"
)

func addStages(p *flags.Parser) {
	addReport(p, "stages", "Show how engines are divided between prefill and decode",
		"Query boxes for the groups that they are home of: how many engines prefill, how many should, and the prompt work that this is based on.", printStages)
}

// printStages prints a row for each group at its home.
func printStages(w io.Writer, boxes []operatorhttp.Status) error {
	out := tablewriter.NewWriter(w)
	out.Header("group", "home", "engines", "prefill", "wanted", "changing", "mean work", "peak work", "observed")
	for _, b := range boxes {
		for _, s := range b.Stages {
			observed := time.Duration(s.ObservedMS) * time.Millisecond
			err := out.Append(s.Group, b.Box, strconv.Itoa(s.Engines), strconv.Itoa(s.Prefills), strconv.Itoa(s.Wanted),
				strconv.Itoa(s.Changing), formatWork(s.MeanWork), formatWork(s.PeakWork), observed.String())
			if err != nil {
				return err
			}
		}
	}
	return out.Render()
}

// formatWork formats an amount of work, in engines.
func formatWork(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }
