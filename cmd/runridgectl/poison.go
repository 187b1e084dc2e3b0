// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/olekukonko/tablewriter"

	"runridge.example/runridge/coordination/quarantine"
	"runridge.example/runridge/transport/operatorhttp"
)

func addPoison(p *flags.Parser) {
	addReport(p, "poison", "Show requests that terminate endpoints",
		"Query boxes for the requests that are kept from the endpoints because they terminate those that run them, how many endpoints terminated, and which boxes do not block the request yet.", printPoison)
}

// blockedAt is one poison request with the boxes that block it.
type blockedAt struct {
	// latest is the report of the box that saw the request last.
	latest quarantine.BlockedStatus
	boxes  []string
}

// blockedByFingerprint collects the poison requests of all boxes by fingerprint.
func blockedByFingerprint(boxes []operatorhttp.Status) map[string]blockedAt {
	out := make(map[string]blockedAt)
	for _, b := range boxes {
		for _, s := range b.Poison.Blocked {
			at, known := out[s.Fingerprint]
			if !known || s.SeenMS < at.latest.SeenMS {
				at.latest = s
			}
			at.boxes = append(at.boxes, b.Box)
			out[s.Fingerprint] = at
		}
	}
	return out
}

// printPoison prints a row for each poison request.
func printPoison(w io.Writer, boxes []operatorhttp.Status) error {
	out := tablewriter.NewWriter(w)
	out.Header("fingerprint", "endpoints ended", "last seen", "not known on")
	found := blockedByFingerprint(boxes)
	for _, fingerprint := range slices.Sorted(maps.Keys(found)) {
		at := found[fingerprint]
		var missing []string
		for _, b := range boxes {
			if !slices.Contains(at.boxes, b.Box) {
				missing = append(missing, b.Box)
			}
		}
		seen := time.Duration(at.latest.SeenMS) * time.Millisecond
		if err := out.Append(fingerprint, strconv.Itoa(at.latest.Ends), seen.String()+" ago", strings.Join(missing, " ")); err != nil {
			return err
		}
	}
	return out.Render()
}
