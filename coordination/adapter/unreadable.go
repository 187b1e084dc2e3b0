// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package adapter

import (
	"errors"
	"fmt"
)

// UnreadableError reports an object of the platform, or a whole answer, that cannot be read. Reading
// it again does not help until it is written anew.
type UnreadableError struct {
	// Kind is the kind of the object. Name is its name; it is empty for a whole answer, and for an
	// object whose name cannot be read either.
	Kind, Name string
	Err        error
}

// Error describes what cannot be read.
func (e *UnreadableError) Error() string {
	if e.Name == "" {
		return fmt.Sprintf("unreadable %s: %v", e.Kind, e.Err)
	}
	return fmt.Sprintf("unreadable %s %q: %v", e.Kind, e.Name, e.Err)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Err }

// IsUnreadable reports whether an error was caused by an UnreadableError.
func IsUnreadable(err error) bool {
	var unreadable *UnreadableError
	return errors.As(err, &unreadable)
}

// ObjectObserver receives what a client of the platform found in each object that it read.
type ObjectObserver interface {
	// ObjectRead is called with the cause for an object, or a whole answer with no name, that cannot
	// be read, and with nil for an object that can be read or is gone. It must not block.
	ObjectRead(kind, name string, err error)
}
