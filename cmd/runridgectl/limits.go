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

func addLimits(p *flags.Parser) {
	addReport(p, "limits", "Show endpoints that name a limit",
		"Ask boxes for the endpoints of the groups that they are home of which name how many requests a second they take: the limit, the part of it that the box grants, and how long ago the endpoint was last heard.",
		printLimits)
}

// printLimits writes a row for each endpoint that names a limit at its home.
func printLimits(w io.Writer, boxes []operatorhttp.Status) error {
	number := func(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
	out := tablewriter.NewWriter(w)
	out.Header("endpoint", "group", "home", "limit per s", "granted per s", "heard ago")
	for _, b := range boxes {
		for _, e := range b.Limited {
			ago := time.Duration(e.HeardMS) * time.Millisecond
			if err := out.Append(e.Endpoint, e.Group, b.Box, number(e.PerSecond), number(e.Rate), ago.String()); err != nil {
				return err
			}
		}
	}
	return out.Render()
}
