// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package adapter is what the router asks of an engine and of the platform,
// whatever protocol they speak. Everything that is particular to one kind of
// engine stays behind Engine.
package adapter

import (
	"context"
	"errors"

	"github.com/joomcode/errorx"

	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/table"
)

// Prompt is what an engine computes a prefill from.
type Prompt struct {
	Text string
	// Emitted is the part of the answer that the caller already has.
	Emitted string
	// Marks and MarkBytes name the prompt's prefixes in cache events.
	Marks     []uint64
	MarkBytes []int
	Priority  int
}

// Prefilled is the outcome of a prefill.
type Prefilled struct {
	Tokens int
	// Computed is the part that was not found in the engine's cache.
	Computed int
	// WorkedUS is the engine's own time for it, in microseconds.
	WorkedUS int64
	// ExpiresMS is how long the result is kept.
	ExpiresMS int64
}

// Import says what to fetch.
type Import struct {
	// Source is the attempt that the result was computed under.
	Source lifecycle.AttemptID
	// OutputTokens is the memory to keep for the answer.
	OutputTokens int
}

// Decode asks for an answer from token Emitted on.
type Decode struct {
	Emitted int
	// Text is what was emitted so far.
	Text         string
	OutputTokens int
	Priority     int
	// Recompute carries the prompt when the engine computes the prefill.
	Recompute *Prompt
}

// Token is one token of an answer. Attempt is what the engine echoed.
type Token struct {
	Attempt string
	Index   int
	Text    string
	Last    bool
}

// Hold is something that an engine keeps.
type Hold struct {
	Attempt string
	AgeMS   int64
}

// Load is an engine's late report.
type Load struct {
	Held     int
	KVTokens int
}

// Events is a page of cache events.
type Events struct {
	Next    uint64
	Gap     bool
	Evicted []uint64
}

// Order is a fenced order.
type Order struct {
	Fence uint64
	Kind  string
	Value string
}

// Engine is the narrow surface of an engine. Calls end with their context;
// errors say through Ran what they prove.
type Engine interface {
	// Prefill computes a prompt and keeps the result. Once forbids the
	// transport to send the order a second time by itself.
	Prefill(ctx context.Context, e table.Endpoint, attempt lifecycle.AttemptID, p Prompt, once bool) (Prefilled, error)
	// Import makes an engine fetch a result from another.
	Import(ctx context.Context, to, from table.Endpoint, attempt lifecycle.AttemptID, i Import) error
	// Decode streams the tokens to each until the last or an error. Each
	// returns false to stop.
	Decode(ctx context.Context, e table.Endpoint, attempt lifecycle.AttemptID, d Decode, once bool, each func(Token) bool) error
	// Release frees what is kept for an attempt and bars its later orders.
	Release(ctx context.Context, e table.Endpoint, attempt string) error
	// Holds lists what is kept.
	Holds(ctx context.Context, e table.Endpoint) ([]Hold, error)
	// Load reads the load report.
	Load(ctx context.Context, e table.Endpoint) (Load, error)
	// Events reads cache events from a position on.
	Events(ctx context.Context, e table.Endpoint, after uint64) (Events, error)
	// Order gives a fenced order.
	Order(ctx context.Context, e table.Endpoint, o Order) error
}

// Namespace holds the errors of calls to engines.
var namespace = errorx.NewNamespace("engine")

// Types of failed calls: each says what the failure proves about the order.
var (
	// ErrNotRun is for orders that were proved not to have run.
	ErrNotRun = errorx.NewType(namespace, "not_run")
	// ErrMayHaveRun is for orders whose fate is not known.
	ErrMayHaveRun = errorx.NewType(namespace, "may_have_run")
	// ErrDidRun is for orders that the engine had taken.
	ErrDidRun = errorx.NewType(namespace, "did_run")
	// ErrFinal is for orders whose answer had begun to reach the caller, so
	// that no other attempt can take its place.
	ErrFinal = ErrDidRun.NewSubtype("final")
	// ErrGone is for orders that did not run because the engine does not keep
	// what they build on.
	ErrGone = ErrNotRun.NewSubtype("gone")
)

// RanOf says what an error proves; without a proof the order may have run.
func RanOf(err error) lifecycle.Ran {
	switch {
	case errorx.IsOfType(err, ErrNotRun):
		return lifecycle.NotRun
	case errorx.IsOfType(err, ErrDidRun):
		return lifecycle.DidRun
	default:
		return lifecycle.MayHaveRun
	}
}

// Object is a value in the platform's object API.
type Object struct {
	// Version is 0 when there is no such object.
	Version uint64
	// At is the position to wait from next; 0 is the version.
	At    uint64
	Value []byte
}

// Box is one entry of the platform's lagging list.
type Box struct {
	Name    string
	Address string
	Zone    string
	Leaving bool
	// Wire is the version of messages that the box reads; 0 is not told.
	Wire uint16
	// Version is that of the entry; it changes with each write.
	Version uint64
}

// ErrHistoryGone is returned for a wait from a position that the platform has
// forgotten: what is there now has to be read anew.
var ErrHistoryGone = errors.New("the platform has forgotten that position")

// ErrNotFound is returned for an object that is not there.
var ErrNotFound = errors.New("there is no such object")

// ErrConflict is returned when a conditional write met another version.
var ErrConflict = errors.New("object has another version")

// Platform is the platform's object API.
type Platform interface {
	// Get reads an object. With after above 0 it waits up to the context's
	// end for a version above it.
	Get(ctx context.Context, name string, after uint64) (Object, error)
	// Put writes an object if its version is still the given one; 0 creates.
	Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
	// Boxes reads the list of boxes.
	Boxes(ctx context.Context) ([]Box, error)
}
