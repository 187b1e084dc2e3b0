// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"runridge.example/runridge/coordination/change"
	"runridge.example/runridge/modules/command"
	"runridge.example/runridge/modules/invalid"
	"runridge.example/runridge/state/example"
	"runridge.example/runridge/state/table"
)

// initCommand prints an example table.
type initCommand struct {
	Args struct {
		Name string `positional-arg-name:"bogota|kolkata" required:"true"`
	} `positional-args:"true"`
}

func addInit(p *flags.Parser) {
	command.Add(p, "init", "Print an example table", "Print an example table as JSON, to edit and apply.", &initCommand{})
}

// Execute runs the subcommand.
func (c *initCommand) Execute([]string) error {
	t, ok := example.Table(c.Args.Name)
	if !ok {
		return invalid.FieldError{Field: "example", Value: c.Args.Name, Allowed: strings.Join(example.Names(), ", ")}
	}
	return printJSON(t)
}

func printJSON(v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Println(string(data))
	return err
}

// maxTableBytes is the maximum size of a table file.
const maxTableBytes = 1 << 20

// readTable reads and validates a table file; "-" is standard input. An unknown field is an
// error, so that a misspelt field is not silently dropped.
func readTable(path string) (table.Table, error) {
	var t table.Table
	data, err := readInput(path)
	if err != nil {
		return t, err
	}
	if len(data) > maxTableBytes {
		return t, invalid.FieldError{Field: "table file", Value: fmt.Sprintf("%d bytes", len(data)), Allowed: fmt.Sprintf("at most %d", maxTableBytes)}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&t); err != nil {
		return t, fmt.Errorf("table file %s: %w", path, err)
	}
	if problems := t.Check(); len(problems) > 0 {
		return t, problems
	}
	return t, nil
}

func readInput(path string) ([]byte, error) {
	if path == "-" {
		path = os.Stdin.Name()
	}
	return os.ReadFile(path)
}

// checkCommand validates a table file.
type checkCommand struct {
	Args fileArg `positional-args:"true"`
}

type fileArg struct {
	File string `positional-arg-name:"FILE" required:"true" description:"table as JSON, - for standard input"`
}

func addCheck(p *flags.Parser) {
	command.Add(p, "check", "Check a table file", "Validate a whole table and print every invalid row and cell. Nothing is written.", &checkCommand{})
}

// Execute runs the subcommand.
func (c *checkCommand) Execute([]string) error {
	if _, err := readTable(c.Args.File); err != nil {
		return err
	}
	fmt.Println("table is valid")
	return nil
}

// getCommand prints the table stored in the platform.
type getCommand struct {
	platformOptions
}

func addGet(p *flags.Parser) {
	command.Add(p, "get", "Print the table", "Print the accepted table as JSON with its generation.", &getCommand{})
}

// Execute runs the subcommand.
func (c *getCommand) Execute([]string) error {
	ctx, client, end := c.open()
	defer end()
	d, err := change.Get(ctx, client)
	if err != nil {
		return err
	}
	return printJSON(d.Table)
}

// historyCommand lists the latest accepted changes.
type historyCommand struct {
	platformOptions
}

func addHistory(p *flags.Parser) {
	command.Add(p, "history", "List the last changes", "List who changed the table, when and why, newest last.", &historyCommand{})
}

// Execute runs the subcommand.
func (c *historyCommand) Execute([]string) error {
	ctx, client, end := c.open()
	defer end()
	d, err := change.Get(ctx, client)
	if err != nil {
		return err
	}
	for _, s := range d.Stamps {
		fmt.Printf("at=%s author=%q note=%q id=%s\n", s.At.Format(time.RFC3339), s.Author, s.Note, s.ID)
	}
	fmt.Printf("generation=%d\n", d.Generation)
	return nil
}
