// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/jessevdk/go-flags"
	"github.com/olekukonko/tablewriter"

	"runridge.example/runridge/transport/operatorhttp"
)

func addTraffic(p *flags.Parser) {
	addReport(p, "traffic", "Show what boxes send to each other",
		"Query boxes for the bytes that they have sent to other boxes since they started, and sum them by kind of message and distance, largest first.", printTraffic)
}

// flowKey is the key by which flows of several boxes are summed.
type flowKey struct{ distance, kind string }

// printTraffic prints a row for each kind of message and distance.
func printTraffic(w io.Writer, boxes []operatorhttp.Status) error {
	sums := make(map[flowKey]operatorhttp.Flow)
	for _, b := range boxes {
		for _, f := range b.Flows {
			key := flowKey{distance: f.Distance, kind: f.Kind}
			sum := sums[key]
			sum.Bytes += f.Bytes
			sum.Messages += f.Messages
			sums[key] = sum
		}
	}
	keys := slices.SortedFunc(maps.Keys(sums), func(a, b flowKey) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(sums[b].Bytes, sums[a].Bytes), cmp.Compare(a.kind, b.kind))
	})
	out := tablewriter.NewWriter(w)
	out.Header("distance", "kind", "bytes", "messages")
	for _, k := range keys {
		sum := sums[k]
		if err := out.Append(k.distance, k.kind, strconv.FormatUint(sum.Bytes, 10), strconv.FormatUint(sum.Messages, 10)); err != nil {
			return err
		}
	}
	return out.Render()
}
