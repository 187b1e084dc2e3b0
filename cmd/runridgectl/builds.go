// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/olekukonko/tablewriter"

	"runridge.example/runridge/transport/operatorhttp"
)

func addBuilds(p *flags.Parser) {
	addReport(p, "builds", "Show which builds run",
		"Query boxes for their build, the version of messages that they read, how many boxes of each version have greeted them, and the messages that they received but do not know. An upgrade is complete when all boxes have the same build.", printBuilds)
}

// printBuilds prints a row for each box, sorted by name.
func printBuilds(w io.Writer, boxes []operatorhttp.Status) error {
	out := tablewriter.NewWriter(w)
	out.Header("box", "build", "reads", "greeted by", "not known")
	sorted := slices.SortedFunc(slices.Values(boxes), func(a, b operatorhttp.Status) int { return strings.Compare(a.Box, b.Box) })
	for _, b := range sorted {
		var peers, unknown []string
		for _, version := range slices.Sorted(maps.Keys(b.Peers)) {
			peers = append(peers, fmt.Sprintf("%d of version %d", b.Peers[version], version))
		}
		for _, kind := range slices.Sorted(maps.Keys(b.Unknown)) {
			unknown = append(unknown, fmt.Sprintf("%s: %d", kind, b.Unknown[kind]))
		}
		err := out.Append(b.Box, b.Build, strconv.Itoa(int(b.Wire)), strings.Join(peers, ", "), strings.Join(unknown, ", "))
		if err != nil {
			return err
		}
	}
	return out.Render()
}
