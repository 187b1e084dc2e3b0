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
	addReport(p, "limits", "Show endpoints that announce a limit",
		"Query boxes for the endpoints, in the groups that they are home of, that announce how many requests a second they accept: the limit, the part of it that the box grants, and the time since the endpoint last announced it.",
		printLimits)
}

// printLimits prints a row for each endpoint that announces a limit, at its home.
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
