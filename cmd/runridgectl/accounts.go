// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/olekukonko/tablewriter"

	"runridge.example/runridge/modules/command"
	"runridge.example/runridge/modules/invalid"
	"runridge.example/runridge/transport/operatorhttp"
)

// accountsCommand shows what the boxes know of the accounts' quotas.
type accountsCommand struct {
	boxesOptions
}

// boxesOptions say which boxes are asked for their status.
type boxesOptions struct {
	Timeout time.Duration `long:"timeout" default:"5s" description:"bound on the answer of each box"`
	Args    struct {
		Boxes []string `positional-arg-name:"IP:PORT" required:"1" description:"operator addresses of the boxes"`
	} `positional-args:"true"`
}

func addAccounts(p *flags.Parser) {
	command.Add(p, "accounts", "Show quotas and their use",
		"Ask boxes for the accounts that they are home of: limit, use in the window, decisions, and what is lent to which box.", &accountsCommand{})
}

// Execute runs the subcommand.
func (c *accountsCommand) Execute([]string) error {
	boxes, failed := c.statuses()
	return errors.Join(printAccounts(os.Stdout, boxes), failed)
}

// statuses asks boxes for their status. Those that do not answer are told as an
// error; the others may still tell what is looked for.
func (o boxesOptions) statuses() ([]operatorhttp.Status, error) {
	var boxes []operatorhttp.Status
	var failed error
	for _, address := range o.Args.Boxes {
		s, err := statusOf(address, o.Timeout)
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("box at %s: %w", address, err))
			continue
		}
		boxes = append(boxes, s)
	}
	return boxes, failed
}

// maxStatus bounds a box's status, in bytes.
const maxStatus = 4 << 20

// statusOf asks a box for its status.
func statusOf(address string, timeout time.Duration) (operatorhttp.Status, error) {
	var s operatorhttp.Status
	if _, err := netip.ParseAddrPort(address); err != nil {
		return s, invalid.FieldError{Field: "box", Value: address, Allowed: "an IP number and port"}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+operatorhttp.PathStatus, nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("answered %s", resp.Status)
	}
	return s, json.NewDecoder(io.LimitReader(resp.Body, maxStatus)).Decode(&s)
}

// printAccounts writes a row for each account at its home.
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
				a.Unit, units(a.Rate), units(a.Burst), units(a.Level), units(a.Used),
				strconv.FormatUint(a.Admitted, 10), strconv.FormatUint(a.Refused, 10), strings.Join(lent[a.Account], " "))
			if err != nil {
				return err
			}
		}
	}
	return out.Render()
}

// units writes an amount without its fraction.
func units(v float64) string { return strconv.FormatFloat(v, 'f', 0, 64) }
