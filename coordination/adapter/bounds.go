// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package adapter

// MaxAnswerHead is the largest head of an answer that is read from an endpoint or the platform, in bytes.
const MaxAnswerHead = 64 << 10

// maxErrorText is how much of an error's text is kept, in bytes: it may quote what a peer sent.
const maxErrorText = 200

// shortError is an error whose text is cut.
type shortError struct{ error }

// Error returns the beginning of the error's text.
func (e shortError) Error() string { return e.error.Error()[:maxErrorText] + "..." }

// Unwrap returns the whole error.
func (e shortError) Unwrap() error { return e.error }

// Shorten returns an error with at most the beginning of its text.
func Shorten(err error) error {
	if err == nil || len(err.Error()) <= maxErrorText {
		return err
	}
	return shortError{err}
}
