// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package invalid describes what is wrong with input: which field, its value and what is
// allowed. Settings, tables and callers' requests share it.
package invalid

import (
	"fmt"
	"net/netip"
	"strings"
)

// FieldError reports a field whose value is not allowed.
type FieldError struct {
	// Field names the field, including the row or object that it belongs to.
	Field   string
	Value   string
	Allowed string
}

// Error returns the problem in one line.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s is %q, allowed: %s", e.Field, e.Value, e.Allowed)
}

// CheckAddress returns a FieldError for an address to which no connection can be opened.
func CheckAddress(field, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() {
		return FieldError{Field: field, Value: address, Allowed: "an IP number and port"}
	}
	return nil
}

// FieldErrors lists all problems of an input; it is an error if it is not empty.
type FieldErrors []FieldError

// Error returns the problems, one a line.
func (e FieldErrors) Error() string {
	lines := make([]string, 0, len(e))
	for _, one := range e {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}

// With returns the list with one more problem.
func (e FieldErrors) With(field string, value any, allowed string) FieldErrors {
	return append(e, FieldError{Field: field, Value: fmt.Sprint(value), Allowed: allowed})
}
