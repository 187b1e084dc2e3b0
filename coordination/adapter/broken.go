// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package adapter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"

	"github.com/joomcode/errorx"
)

// Break is the way in which an exchange with an endpoint was interrupted.
type Break string

// The kinds of interruption.
const (
	// BreakNone means that the exchange was not interrupted.
	BreakNone Break = ""
	// BreakRefused means that nothing listens at the endpoint's address.
	BreakRefused Break = "refused"
	// BreakReset means that the endpoint's machine reset the connection.
	BreakReset Break = "reset"
	// BreakClosed means that the endpoint closed the connection before its answer was
	// complete.
	BreakClosed Break = "closed"
	// BreakStale means that the connection had already ended before the request could have
	// arrived.
	BreakStale Break = "stale"
	// BreakSilent means that nothing came from the endpoint's machine in time.
	BreakSilent Break = "silent"
	// BreakOwn means that this box ended the exchange, because the caller disconnected or
	// the request's deadline had passed.
	BreakOwn Break = "own"
	// BreakPath means that the exchange ended with this box's path to the endpoint, which other
	// boxes reach.
	BreakPath Break = "path"
	// BreakShare means that no connection was opened, because this box has all those to the endpoint
	// that it may have.
	BreakShare Break = "share"
	// BreakOther is anything else, such as bytes that aren't a valid answer.
	BreakOther Break = "other"
)

// Cut reports whether an exchange was interrupted by the endpoint or the network, so that
// the endpoint may have ended.
func (b Break) Cut() bool { return b == BreakReset || b == BreakClosed || b == BreakSilent }

// ErrStale marks an exchange on a connection that ended sooner than the endpoint could
// have answered.
var ErrStale = errors.New("connection had already ended")

// ErrPathLost marks an exchange that ended with this box's path to the endpoint, which another box
// reaches.
var ErrPathLost = errors.New("path to the endpoint is lost")

// ErrShareUsed is returned when the box uses its whole share of connections to an endpoint.
var ErrShareUsed = errors.New("all connections to the endpoint are in use")

// UnreachedError is the error of a connection to an endpoint that could not be made, neither directly
// nor through other boxes.
type UnreachedError struct {
	// Others is the number of other boxes that did not reach the endpoint either.
	Others int
	// Known reports that nothing was tried, because a moment ago the endpoint was not reached.
	Known bool
	// Err is how the direct path failed.
	Err error
}

// Error describes how the connection failed.
func (e *UnreachedError) Error() string {
	if e.Known {
		return "endpoint was not reached a moment ago"
	}
	return fmt.Sprintf("endpoint not reached, nor by %d other boxes: %v", e.Others, e.Err)
}

// Unwrap returns how the direct path failed.
func (e *UnreachedError) Unwrap() error { return e.Err }

// UnreachedOf returns the UnreachedError that an error was caused by, or nil.
func UnreachedOf(err error) *UnreachedError {
	var unreached *UnreachedError
	if errors.As(cause(err), &unreached) {
		return unreached
	}
	return nil
}

// cause returns what a typed error was caused by: a typed error hides that from errors.Is.
func cause(err error) error {
	for typed := errorx.Cast(err); typed != nil && typed.Cause() != nil; typed = errorx.Cast(err) {
		err = typed.Cause()
	}
	return err
}

// breaks maps errors to kinds of interruption; the first match counts.
var breaks = []struct {
	err  error
	kind Break
}{
	{ErrPathLost, BreakPath},
	{ErrShareUsed, BreakShare},
	{ErrStale, BreakStale},
	{context.Canceled, BreakOwn},
	{context.DeadlineExceeded, BreakSilent},
	{syscall.ECONNREFUSED, BreakRefused},
	{syscall.ECONNRESET, BreakReset},
	{syscall.EPIPE, BreakReset},
	{syscall.ETIMEDOUT, BreakSilent},
	{os.ErrDeadlineExceeded, BreakSilent},
	{io.EOF, BreakClosed},
	{io.ErrUnexpectedEOF, BreakClosed},
}

// BreakOf returns how an exchange was interrupted, judging by its error.
func BreakOf(err error) Break {
	if err == nil {
		return BreakNone
	}
	err = cause(err)
	for _, b := range breaks {
		if errors.Is(err, b.err) {
			return b.kind
		}
	}
	return BreakOther
}
