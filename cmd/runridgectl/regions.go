// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/olekukonko/tablewriter"

	"runridge.example/runridge/transport/operatorhttp"
)

func addRegions(p *flags.Parser) {
	addReport(p, "regions", "Show regions, round trips between zones and homes of groups",
		"Query boxes for their zone and region, the round trips to other zones that they measured, and the home of each group.", printRegionsAndHomes)
}

// printRegionsAndHomes prints the boxes with their regions, then the groups with their
// homes.
func printRegionsAndHomes(w io.Writer, boxes []operatorhttp.Status) error {
	return errors.Join(printRegions(w, boxes), printHomes(w, boxes))
}

// printRegions prints a row for each box.
func printRegions(w io.Writer, boxes []operatorhttp.Status) error {
	out := tablewriter.NewWriter(w)
	out.Header("box", "zone", "region", "round trips")
	for _, b := range boxes {
		if err := out.Append(b.Box, b.Zone, b.Region, roundTrips(b.RoundTripsUS)); err != nil {
			return err
		}
	}
	return out.Render()
}

// roundTrips formats the round trips, sorted by zone.
func roundTrips(microseconds map[string]int64) string {
	parts := make([]string, 0, len(microseconds))
	for _, zone := range slices.Sorted(maps.Keys(microseconds)) {
		took := time.Duration(microseconds[zone]) * time.Microsecond
		parts = append(parts, fmt.Sprintf("%s:%v", zone, took))
	}
	return strings.Join(parts, " ")
}

// printHomes prints a row for each group and home. If boxes disagree on a group's home,
// each home has its own row.
func printHomes(w io.Writer, boxes []operatorhttp.Status) error {
	seen := make(map[operatorhttp.GroupHome]int)
	for _, b := range boxes {
		for _, g := range b.Homes {
			seen[g]++
		}
	}
	order := slices.SortedFunc(maps.Keys(seen), func(x, y operatorhttp.GroupHome) int {
		return strings.Compare(x.Group+" "+x.Home, y.Group+" "+y.Home)
	})
	out := tablewriter.NewWriter(w)
	out.Header("group", "zone", "region", "home", "home's zone", "home's region", "seen by")
	for _, g := range order {
		err := out.Append(g.Group, g.Zone, g.Region, g.Home, g.HomeZone, g.HomeRegion, fmt.Sprintf("%d/%d", seen[g], len(boxes)))
		if err != nil {
			return err
		}
	}
	return out.Render()
}
