// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package adapter

import (
	"context"
	"errors"
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
	// BreakOther is anything else, such as bytes that aren't a valid answer.
	BreakOther Break = "other"
)

// Cut reports whether an exchange was interrupted by the endpoint or the network, so that
// the endpoint may have ended.
func (b Break) Cut() bool { return b == BreakReset || b == BreakClosed || b == BreakSilent }

// ErrStale marks an exchange on a connection that ended sooner than the endpoint could
// have answered.
var ErrStale = errors.New("connection had already ended")

// breaks maps errors to kinds of interruption; the first match counts.
var breaks = []struct {
	err  error
	kind Break
}{
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
	// A typed error hides its cause from errors.Is.
	for typed := errorx.Cast(err); typed != nil && typed.Cause() != nil; typed = errorx.Cast(err) {
		err = typed.Cause()
	}
	for _, b := range breaks {
		if errors.Is(err, b.err) {
			return b.kind
		}
	}
	return BreakOther
}
