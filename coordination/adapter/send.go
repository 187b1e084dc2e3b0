// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package adapter

import (
	"context"
	"errors"
)

// WithheldError is the error of an order that was not sent, though its endpoint may serve others.
type WithheldError struct {
	// Reason is why it was not sent.
	Reason string
}

// Error returns the reason.
func (e *WithheldError) Error() string { return "not sent: " + e.Reason }

// WithheldReason returns why the order of an error was withheld; empty if it was not.
func WithheldReason(err error) string {
	var withheld *WithheldError
	if errors.As(cause(err), &withheld) {
		return withheld.Reason
	}
	return ""
}

// sendCheckKey is the key of the check in a context.
type sendCheckKey struct{}

// WithSendCheck returns a context whose orders are sent only while withhold returns no reason. Clients ask it
// once they have connected, since that takes time.
func WithSendCheck(ctx context.Context, withhold func() string) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, withhold)
}

// CheckSend returns a WithheldError if the orders of a context must not be sent any more.
func CheckSend(ctx context.Context) error {
	withhold, ok := ctx.Value(sendCheckKey{}).(func() string)
	if !ok {
		return nil
	}
	if reason := withhold(); reason != "" {
		return &WithheldError{Reason: reason}
	}
	return nil
}
