// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"io"
	"strconv"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/olekukonko/tablewriter"

	"runridge.example/runridge/transport/operatorhttp"
)

func addAllowed(p *flags.Parser) {
	addReport(p, "allowed", "Show allowed regions",
		"Query boxes for the routes and client accounts that may be served in some regions only, by the table in force on each box.", printAllowed)
}

// printAllowed prints, for each box, a row for each route and account that is bound to some
// regions.
func printAllowed(w io.Writer, boxes []operatorhttp.Status) error {
	out := tablewriter.NewWriter(w)
	out.Header("of", "name", "allowed regions", "box", "generation")
	for _, box := range boxes {
		for _, b := range box.Restrictions {
			err := out.Append(b.Of, b.Name, strings.Join(b.Regions, " "), box.Box, strconv.FormatUint(box.Generation, 10))
			if err != nil {
				return err
			}
		}
	}
	return out.Render()
}
