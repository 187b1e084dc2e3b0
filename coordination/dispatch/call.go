// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package dispatch drives the requests that this box has taken: it feeds the
// life cycle of each with what happens and does what the life cycle asks for.
package dispatch

import (
	"context"
	"sync"
	"time"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/poison"
	"runridge.example/runridge/state/table"
)

// Request is one model request as it came from a caller.
type Request struct {
	Service  string
	Account  string
	Priority int
	// Prompt is the whole prompt as one text.
	Prompt string
	// PromptTokens is its estimated length.
	PromptTokens int
	OutputTokens int
	// Deadline bounds the first token from arrival; 0 is the service's target.
	Deadline time.Duration
	// Once marks a request that must not be repeated.
	Once bool
	// Key, if not empty, makes repeats of the request one request.
	Key string
	// Zone is where the caller's box is.
	Zone string
	// Asks is what makes another request the same as this one. The zero value is not
	// known: such a request is never taken for a poison request.
	Asks poison.Request
	// Forward, for a plain service, makes the exchange with the endpoint. Its
	// errors say what they prove, as those of an engine do.
	Forward func(ctx context.Context, attempt lifecycle.AttemptID, e table.Endpoint) error
}

// Answer is the final word on a request.
type Answer struct {
	Phase  lifecycle.Phase
	Reason lifecycle.Reason
	// Ran is what is known about whether an engine worked on it.
	Ran        lifecycle.Ran
	RetryAfter time.Duration
	// Tokens is the number of tokens delivered.
	Tokens int
}

// tokenBuffer bounds the tokens that wait for the caller to read them.
const tokenBuffer = 1024

// mailboxSize bounds the events that wait for a request's driver.
const mailboxSize = 16

// Call is a request under way.
type Call struct {
	ID lifecycle.RequestID
	// Tokens delivers the answer; it is closed when the final word stands.
	Tokens <-chan string

	tokens chan string
	events chan lifecycle.Event
	done   chan struct{}
	once   sync.Once
	answer Answer
	gone   chan struct{}
	// rehome is poked when the request's home may have changed.
	rehome chan struct{}
}

func (c *Call) lookAgain() {
	select {
	case c.rehome <- struct{}{}:
	default:
	}
}

// Gone tells that the caller's connection is gone. It may be called at any
// time and more than once.
func (c *Call) Gone() {
	c.once.Do(func() { close(c.gone) })
}

// Done is closed when the final word stands.
func (c *Call) Done() <-chan struct{} {
	return c.done
}

// Answer waits for the final word.
func (c *Call) Answer(ctx context.Context) (Answer, error) {
	select {
	case <-c.done:
		return c.answer, nil
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
}

// post hands an event to the driver, waiting for room as long as the driver
// lives: a full mailbox slows the sender down and loses nothing.
func (c *Call) post(e lifecycle.Event) {
	select {
	case c.events <- e:
	case <-c.done:
	}
}

// callError gives the parts of an engine's error that the life cycle needs.
func callError(err error) (lifecycle.Ran, string) {
	return adapter.RanOf(err), err.Error()
}
