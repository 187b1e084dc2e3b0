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

func addCold(p *flags.Parser) {
	addReport(p, "cold", "Show cold endpoints",
		"Query boxes for the cold endpoints of the groups that they are home of: the pace of each, until when it is cold, and what it was granted recently.",
		func(w io.Writer, boxes []operatorhttp.Status) error { return printCold(w, boxes, time.Now()) })
}

// printCold prints a row for each cold endpoint at its home.
func printCold(w io.Writer, boxes []operatorhttp.Status, now time.Time) error {
	out := tablewriter.NewWriter(w)
	out.Header("endpoint", "group", "home", "pace per s", "granted", "limit", "cold until")
	for _, b := range boxes {
		for _, e := range b.Cold {
			until := now.Add(time.Duration(e.WarmInMS) * time.Millisecond)
			err := out.Append(e.Endpoint, e.Group, b.Box, strconv.FormatFloat(e.Pace, 'g', -1, 64),
				strconv.Itoa(e.Counted), strconv.Itoa(e.Limit), until.UTC().Format(time.TimeOnly))
			if err != nil {
				return err
			}
		}
	}
	return out.Render()
}
