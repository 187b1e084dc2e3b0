// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package change writes a new table to the platform. It checks the table as a whole,
// writes it only over the version that it was made from, and finds out whether the write
// took effect even if the answer is lost.
package change

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/follow"
	"runridge.example/runridge/state/table"
)

// Platform is the part of the platform's object API that a writer uses.
type Platform interface {
	Get(ctx context.Context, name string, after uint64) (adapter.Object, error)
	Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
}

// Stamp records who wrote a table; it is stored in the object beside the table.
type Stamp struct {
	// ID is unique for each write, so that a writer recognizes its own.
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Note   string    `json:"note,omitempty"`
	At     time.Time `json:"at"`
}

// Document is the object's value: the table and the latest stamps.
type Document struct {
	table.Table
	// Stamps are the latest writes that led to this table, newest last.
	Stamps []Stamp `json:"stamps,omitempty"`
}

// maxStamps bounds the number of stamps kept. A writer whose answer is lost finds its
// stamp as long as fewer other writes have followed.
const maxStamps = 64

// ConflictError is returned if another operator's write came first.
type ConflictError struct {
	// Base is the generation that the change was made from, and Current the present one.
	Base, Current uint64
	// By is the stamp of the latest write.
	By Stamp
	// Rows are the objects in question: those that both writes have changed or, for a whole
	// file, those in which the file differs from the present table.
	Rows []string
}

// Error returns a message with the rows and the other writer.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d was written by %s at %s after generation %d, which this change was made from; objects in question: %v",
		e.Current, e.By.Author, e.By.At.Format(time.RFC3339), e.Base, e.Rows)
}

// ErrNoTable is returned if the platform has no table yet.
var ErrNoTable = errors.New("the platform has no table yet; put a first one with: runridgectl apply")

// Get reads the document from the platform.
func Get(ctx context.Context, p Platform) (Document, error) {
	o, err := p.Get(ctx, follow.ObjectName, 0)
	if err != nil {
		return Document{}, err
	}
	if o.Version == 0 {
		return Document{}, ErrNoTable
	}
	return decode(o)
}

func decode(o adapter.Object) (Document, error) {
	var d Document
	if err := json.Unmarshal(o.Value, &d); err != nil {
		return d, fmt.Errorf("table object version %d: %w", o.Version, err)
	}
	d.Generation = o.Version
	return d, nil
}

// Put checks a table that was made from the document base, writes it and returns its
// generation. If the answer to the write is lost, Put finds out whether the write took
// effect, even if others have written since.
func Put(ctx context.Context, p Platform, base Document, next table.Table, stamp Stamp) (uint64, error) {
	if problems := next.Check(); len(problems) > 0 {
		return 0, problems
	}
	value, err := json.Marshal(Document{Table: next, Stamps: appendStamp(base.Stamps, stamp)})
	if err != nil {
		return 0, err
	}
	version, err := p.Put(ctx, follow.ObjectName, base.Generation, value)
	if err == nil {
		return version, nil
	}
	if errors.Is(err, adapter.ErrConflict) {
		return 0, conflictError(ctx, p, base, next)
	}
	return resolveLostAnswer(ctx, p, base, next, stamp, err)
}

func appendStamp(old []Stamp, s Stamp) []Stamp {
	out := append(append([]Stamp{}, old...), s)
	return out[max(len(out)-maxStamps, 0):]
}

// resolveLostAnswer finds out whether a write whose answer was lost took effect: it did if
// its stamp is among those of the present document.
func resolveLostAnswer(ctx context.Context, p Platform, base Document, next table.Table, stamp Stamp, cause error) (uint64, error) {
	now, err := backoff.Retry(ctx, func() (Document, error) {
		d, err := Get(ctx, p)
		if errors.Is(err, ErrNoTable) {
			return Document{}, nil
		}
		return d, err
	}, backoff.WithMaxElapsedTime(lookupTimeout))
	if err != nil {
		return 0, fmt.Errorf("it is not known whether the change was accepted (stamp %s): %w", stamp.ID, errors.Join(cause, err))
	}
	for _, s := range now.Stamps {
		if s.ID == stamp.ID {
			return now.Generation, nil
		}
	}
	if now.Generation != base.Generation {
		return 0, conflictError(ctx, p, base, next)
	}
	return 0, fmt.Errorf("the change was not accepted: %w", cause)
}

// lookupTimeout bounds the search for a write whose answer was lost.
const lookupTimeout = 30 * time.Second

// conflictError returns a ConflictError with the rows that both writes change.
func conflictError(ctx context.Context, p Platform, base Document, next table.Table) error {
	now, err := Get(ctx, p)
	if err != nil {
		return errors.Join(adapter.ErrConflict, err)
	}
	out := &ConflictError{Base: base.Generation, Current: now.Generation}
	if len(now.Stamps) > 0 {
		out.By = now.Stamps[len(now.Stamps)-1]
	}
	theirs := table.Diff(base.Table, now.Table).Names()
	for _, name := range table.Diff(base.Table, next).Names() {
		for _, other := range theirs {
			if name == other {
				out.Rows = append(out.Rows, name)
			}
		}
	}
	return out
}
