// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package adapter defines the calls that the router makes to engines and to the platform,
// independent of the protocols that they use. Everything particular to one kind of engine
// is hidden behind Engine.
package adapter

import (
	"context"
	"errors"

	"github.com/joomcode/errorx"

	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/table"
)

// Prompt is the input from which an engine computes a prefill.
type Prompt struct {
	Text string
	// Emitted is the part of the answer that the caller already has.
	Emitted string
	// Marks and MarkBytes identify the prompt's prefixes in cache events.
	Marks     []uint64
	MarkBytes []int
	Priority  int
}

// Prefilled is the result of a prefill.
type Prefilled struct {
	Tokens int
	// Computed is the number of tokens that were not found in the engine's cache.
	Computed int
	// ComputeUS is the time in microseconds that the engine reports for the computation.
	ComputeUS int64
	// ExpiresMS is how long the engine keeps the result, in milliseconds.
	ExpiresMS int64
}

// Import identifies the prefill result to fetch.
type Import struct {
	// Source is the attempt that computed the result.
	Source lifecycle.AttemptID
	// OutputTokens is the number of tokens of memory to reserve for the answer.
	OutputTokens int
}

// Decode requests an answer from token Emitted on.
type Decode struct {
	Emitted int
	// Text is the text emitted so far.
	Text         string
	OutputTokens int
	Priority     int
	// Recompute is the prompt if the engine has to compute the prefill itself, and nil
	// otherwise.
	Recompute *Prompt
}

// Token is one token of an answer. Attempt is the attempt ID as the engine echoed it.
type Token struct {
	Attempt string
	Index   int
	Text    string
	Last    bool
	// Software is the software version of the engine that sent it; empty if the engine names none.
	Software string
}

// Hold is engine memory kept for an attempt.
type Hold struct {
	Attempt string
	AgeMS   int64
}

// Load is an engine's load report, which lags behind its state.
type Load struct {
	Held     int
	KVTokens int
}

// Events is a page of cache events. Next is the position to continue from, and Gap is set
// if events were lost.
type Events struct {
	Next    uint64
	Gap     bool
	Evicted []uint64
}

// Order is an order with a fencing number.
type Order struct {
	Fence uint64
	Kind  string
	Value string
}

// Engine makes calls to an engine. A call ends with its context; RanOf returns what its
// error proves about the order.
type Engine interface {
	// Prefill computes a prompt and keeps the result. With once the transport must not
	// repeat the order by itself.
	Prefill(ctx context.Context, e table.Endpoint, attempt lifecycle.AttemptID, p Prompt, once bool) (Prefilled, error)
	// Import makes an engine fetch a prefill result from another one.
	Import(ctx context.Context, to, from table.Endpoint, attempt lifecycle.AttemptID, i Import) error
	// Decode calls each for every token until the last one or an error. It stops when each
	// returns false.
	Decode(ctx context.Context, e table.Endpoint, attempt lifecycle.AttemptID, d Decode, once bool, each func(Token) bool) error
	// Release frees what an engine keeps for an attempt and makes it reject later orders of
	// that attempt.
	Release(ctx context.Context, e table.Endpoint, attempt string) error
	// Holds returns what an engine keeps.
	Holds(ctx context.Context, e table.Endpoint) ([]Hold, error)
	// Load reads the load report.
	Load(ctx context.Context, e table.Endpoint) (Load, error)
	// Events reads the cache events after a position.
	Events(ctx context.Context, e table.Endpoint, after uint64) (Events, error)
	// Order sends a fenced order.
	Order(ctx context.Context, e table.Endpoint, o Order) error
}

// namespace groups the errors of calls to engines.
var namespace = errorx.NewNamespace("engine")

// Types of failed calls. Each states what the failure proves about the order.
var (
	// ErrNotRun means that the order provably didn't run.
	ErrNotRun = errorx.NewType(namespace, "not_run")
	// ErrMayHaveRun means that it isn't known whether the order ran.
	ErrMayHaveRun = errorx.NewType(namespace, "may_have_run")
	// ErrDidRun means that the engine had accepted the order.
	ErrDidRun = errorx.NewType(namespace, "did_run")
	// ErrFinal means that the answer had begun to reach the caller, so that no other attempt
	// can replace it.
	ErrFinal = ErrDidRun.NewSubtype("final")
	// ErrGone means that the order didn't run because the engine no longer keeps what the
	// order depends on.
	ErrGone = ErrNotRun.NewSubtype("gone")
)

// RanOf returns what an error proves; without proof the order may have run.
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
	// Version is 0 if the object doesn't exist.
	Version uint64
	// At is the position from which to wait next; 0 stands for Version.
	At    uint64
	Value []byte
}

// Box is an entry of the platform's list of boxes, which lags behind their writes.
type Box struct {
	Name    string
	Address string
	Zone    string
	Leaving bool
	// Wire is the version of messages that the box reads; 0 means unknown.
	Wire uint16
	// Version is the version of the entry; it changes with each write.
	Version uint64
}

// ErrHistoryGone is returned for a wait from a position that is no longer in the
// platform's history: the current state has to be read again.
var ErrHistoryGone = errors.New("position is no longer in the platform's history")

// ErrNotFound is returned if an object doesn't exist.
var ErrNotFound = errors.New("object does not exist")

// ErrConflict is returned if a conditional write finds another version.
var ErrConflict = errors.New("object has another version")

// Platform is the platform's object API.
type Platform interface {
	// Get reads an object. If after is above 0 it waits until the context ends for a version
	// above it.
	Get(ctx context.Context, name string, after uint64) (Object, error)
	// Put writes an object if its version is still the given one, and returns the new
	// version; version 0 creates the object.
	Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
	// Boxes reads the list of boxes.
	Boxes(ctx context.Context) ([]Box, error)
}
