// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"runridge.example/runridge/coordination/change"
	"runridge.example/runridge/modules/command"
	"runridge.example/runridge/modules/invalid"
	"runridge.example/runridge/state/table"
)

// putTable writes a table that was made from a document, unless nothing differs, and prints
// the result.
func putTable(ctx context.Context, p change.Platform, base change.Document, next table.Table, o writeOptions) error {
	touched := table.Diff(base.Table, next).Names()
	if base.Generation > 0 && len(touched) == 0 {
		fmt.Printf("generation %d is already current; nothing to change\n", base.Generation)
		return nil
	}
	stamp := change.Stamp{ID: uuid.NewString(), Author: o.author(), Note: o.Note, At: time.Now().UTC()}
	generation, err := change.Put(ctx, p, base, next, stamp)
	if err != nil {
		return err
	}
	fmt.Printf("accepted as generation %d: %d objects changed\n", generation, len(touched))
	return nil
}

// setCommand changes one cell.
type setCommand struct {
	platformOptions
	writeOptions
	Args struct {
		Kind  string `positional-arg-name:"KIND" description:"zone, service, pool, endpoint, row, link or account"`
		Key   string `positional-arg-name:"KEY" description:"the object's name; a row's is service/pool"`
		Cell  string `positional-arg-name:"CELL" description:"the field, such as slots or weights.bog-a"`
		Value string `positional-arg-name:"VALUE"`
	} `positional-args:"true" required:"true"`
}

func addSet(p *flags.Parser) {
	command.Add(p, "set", "Change one cell", "Change one cell of the table, for example: set row lm-porta/lm-porta-decode weights.bog-a 50", &setCommand{})
}

// Execute runs the subcommand.
func (c *setCommand) Execute([]string) error {
	ctx, client, end := c.open()
	defer end()
	base, err := change.Get(ctx, client)
	if err != nil {
		return err
	}
	next, err := base.WithCell(c.Args.Kind, c.Args.Key, c.Args.Cell, c.Args.Value)
	if err != nil {
		return err
	}
	return putTable(ctx, client, base, next, c.writeOptions)
}

// drainCommand marks an endpoint as leaving, or with Undo clears the mark.
type drainCommand struct {
	platformOptions
	writeOptions
	Undo bool `long:"undo" description:"let the endpoint receive requests again"`
	Args struct {
		Endpoint string `positional-arg-name:"ENDPOINT" required:"true"`
	} `positional-args:"true"`
}

func addDrain(p *flags.Parser) {
	command.Add(p, "drain", "Stop sending new requests to an endpoint", "Mark an endpoint as leaving: it receives no new requests and finishes those in flight. With --undo it receives requests again.", &drainCommand{})
}

// Execute runs the subcommand.
func (c *drainCommand) Execute([]string) error {
	ctx, client, end := c.open()
	defer end()
	base, err := change.Get(ctx, client)
	if err != nil {
		return err
	}
	next, err := base.WithCell("endpoint", c.Args.Endpoint, "leaving", fmt.Sprint(!c.Undo))
	if err != nil {
		return err
	}
	return putTable(ctx, client, base, next, c.writeOptions)
}

// fileChange is a change given as a whole table file.
type fileChange struct {
	platformOptions
	Args fileArg `positional-args:"true"`
}

// load reads the file and the document that it would replace. The file's generation, as
// printed by get, is the one that it was made from; if the platform has another, load
// returns a ConflictError.
func (c fileChange) load(ctx context.Context, p change.Platform) (change.Document, table.Table, error) {
	next, err := readTable(c.Args.File)
	if err != nil {
		return change.Document{}, next, err
	}
	base, err := change.Get(ctx, p)
	if errors.Is(err, change.ErrNoTable) {
		return change.Document{}, next, nil
	}
	if err != nil {
		return base, next, err
	}
	if next.Generation == 0 {
		return base, next, invalid.FieldError{
			Field: "generation", Value: "0",
			Allowed: fmt.Sprintf("the generation that the file was made from; the current one is %d (see: runridgectl get)", base.Generation),
		}
	}
	if next.Generation != base.Generation {
		by := change.Stamp{}
		if len(base.Stamps) > 0 {
			by = base.Stamps[len(base.Stamps)-1]
		}
		return base, next, &change.ConflictError{
			Base: next.Generation, Current: base.Generation, By: by, Rows: table.Diff(base.Table, next).Names(),
		}
	}
	return base, next, nil
}

// planCommand prints what applying a file would change.
type planCommand struct {
	fileChange
}

func addPlan(p *flags.Parser) {
	command.Add(p, "plan", "Show what a table file would change", "Check a table file and list the objects that applying it would change. Nothing is written.", &planCommand{})
}

// Execute runs the subcommand.
func (c *planCommand) Execute([]string) error {
	ctx, client, end := c.open()
	defer end()
	base, next, err := c.load(ctx, client)
	if err != nil {
		return err
	}
	for _, name := range table.Diff(base.Table, next).Names() {
		fmt.Println("change", name)
	}
	return nil
}

// applyCommand writes a whole table file to the platform.
type applyCommand struct {
	fileChange
	writeOptions
}

func addApply(p *flags.Parser) {
	command.Add(p, "apply", "Apply a table file", "Write a whole table to the platform unless it was changed since the file's generation. A first table needs no generation.", &applyCommand{})
}

// Execute runs the subcommand.
func (c *applyCommand) Execute([]string) error {
	ctx, client, end := c.open()
	defer end()
	base, next, err := c.load(ctx, client)
	if err != nil {
		return err
	}
	return putTable(ctx, client, base, next, c.writeOptions)
}
