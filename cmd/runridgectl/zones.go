// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/olekukonko/tablewriter"

	"runridge.example/runridge/coordination/drain"
	"runridge.example/runridge/transport/operatorhttp"
)

func addZones(p *flags.Parser) {
	addReport(p, "zones", "Show drained availability zones",
		"Query boxes for the drained availability zones, since when and by which revision they are drained, and which boxes do not know the newest change yet.", printZones)
}

// newestZones returns the report of the box that knows the newest change.
func newestZones(boxes []operatorhttp.Status) drain.Status {
	var newest drain.Status
	for _, b := range boxes {
		if b.Zones != nil && b.Zones.Revision > newest.Revision {
			newest = *b.Zones
		}
	}
	return newest
}

// outdatedBoxes returns the boxes on which a zone's state differs from drained, its state
// by the newest change.
func outdatedBoxes(boxes []operatorhttp.Status, zone string, drained bool) []string {
	var out []string
	for _, b := range boxes {
		if b.Zones != nil && b.Zones.Has(zone) != drained {
			out = append(out, b.Box)
		}
	}
	slices.Sort(out)
	return out
}

// zoneNames returns the zones that are drained on any of the boxes.
func zoneNames(boxes []operatorhttp.Status) []string {
	var out []string
	for _, b := range boxes {
		if b.Zones == nil {
			continue
		}
		for _, z := range b.Zones.Drained {
			out = append(out, z.Zone)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// firstDrained returns the revision of a zone's drain, and when it first came into force on
// one of the boxes.
func firstDrained(boxes []operatorhttp.Status, zone string) (uint64, time.Time) {
	revision, first := uint64(0), time.Time{}
	for _, b := range boxes {
		if b.Zones == nil {
			continue
		}
		for _, z := range b.Zones.Drained {
			if z.Zone == zone && (first.IsZero() || z.Since.Before(first)) {
				revision, first = z.Revision, z.Since
			}
		}
	}
	return revision, first
}

// printZones prints a row for each zone that is drained, or that still is on some box.
func printZones(w io.Writer, boxes []operatorhttp.Status) error {
	newest := newestZones(boxes)
	out := tablewriter.NewWriter(w)
	out.Header("zone", "drained", "since", "written at", "newest change", "not yet in force on")
	for _, zone := range zoneNames(boxes) {
		drained := newest.Has(zone)
		revision, since := firstDrained(boxes, zone)
		err := out.Append(zone, strconv.FormatBool(drained), since.Format(time.RFC3339Nano), strconv.FormatUint(revision, 10),
			strconv.FormatUint(newest.Revision, 10), strings.Join(outdatedBoxes(boxes, zone, drained), " "))
		if err != nil {
			return err
		}
	}
	return out.Render()
}
