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

func addUnreadable(p *flags.Parser) {
	addReport(p, "unreadable", "Show objects of the platform that cannot be used",
		"Query boxes for the objects in the platform that they read and could not use, for example entries of endpoints that another writer has written: the kind, the name, the cause, how often and how long ago each was read. Only boxes that read the platform themselves list them.",
		printUnreadable)
}

// printUnreadable prints a row for each object that cannot be used, at each box that read it.
func printUnreadable(w io.Writer, boxes []operatorhttp.Status) error {
	out := tablewriter.NewWriter(w)
	out.Header("kind", "name", "cause", "box", "reads", "read ago")
	for _, b := range boxes {
		for _, o := range b.Unreadable {
			ago := time.Duration(o.LastMS) * time.Millisecond
			if err := out.Append(o.Kind, o.Name, o.Cause, b.Box, strconv.FormatUint(o.Reads, 10), ago.String()); err != nil {
				return err
			}
		}
	}
	return out.Render()
}
