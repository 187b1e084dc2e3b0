// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/olekukonko/tablewriter"

	"runridge.example/runridge/transport/operatorhttp"
)

func addAccounts(p *flags.Parser) {
	addReport(p, "accounts", "Show quotas and their use",
		"Query boxes for the accounts that they are home of: limit, use in the window, decisions, and how much is lent to each box.", printAccounts)
}

// printAccounts prints a row for each account at its home.
func printAccounts(w io.Writer, boxes []operatorhttp.Status) error {
	lent := make(map[string][]string)
	for _, b := range boxes {
		if b.Quotas == nil {
			continue
		}
		for _, p := range b.Quotas.Purses {
			lent[p.Account] = append(lent[p.Account], fmt.Sprintf("%s:%.0f", b.Box, p.Left))
		}
	}
	out := tablewriter.NewWriter(w)
	out.Header("account", "home", "stands in", "sees", "unit", "rate/s", "burst", "left", "used in window", "admitted", "refused", "lent to")
	for _, b := range boxes {
		if b.Quotas == nil {
			continue
		}
		for _, a := range b.Quotas.Accounts {
			slices.Sort(lent[a.Account])
			err := out.Append(a.Account, b.Box, strconv.FormatBool(a.StandsIn), fmt.Sprintf("%d/%d", b.Quotas.Sees, b.Quotas.Of),
				a.Unit, formatAmount(a.Rate), formatAmount(a.Burst), formatAmount(a.Level), formatAmount(a.Used),
				strconv.FormatUint(a.Admitted, 10), strconv.FormatUint(a.Refused, 10), strings.Join(lent[a.Account], " "))
			if err != nil {
				return err
			}
		}
	}
	return out.Render()
}

// formatAmount formats an amount without its fraction.
func formatAmount(v float64) string { return strconv.FormatFloat(v, 'f', 0, 64) }
