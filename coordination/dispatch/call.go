// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package dispatch handles the model requests that this box has accepted: it passes events to
// the lifecycle state machine of each request and performs the effects that the state machine
// returns.
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

// Request is a model request as received from a caller.
type Request struct {
	Service  string
	Account  string
	Priority int
	// Prompt is the complete prompt as one text.
	Prompt string
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	OutputTokens int
	// Deadline limits the time from arrival to the first token; 0 means the target of the
	// service.
	Deadline time.Duration
	// Once marks a request that must not be repeated.
	Once bool
	// Key is the idempotency key; empty if there is none. Repeats with the same key are handled
	// as one request.
	Key string
	// Zone is the availability zone in which the request arrived.
	Zone string
	// PoisonIdentity holds what identifies the request to the quarantine. A request with the
	// zero value is never taken for a poison request.
	PoisonIdentity poison.Request
	// Forward makes the exchange with the endpoint of a plain service; nil for a model. Its
	// errors state whether the request may have run, like those of an engine.
	Forward func(ctx context.Context, attempt lifecycle.AttemptID, e table.Endpoint) error
}

// Answer is the final outcome of a request.
type Answer struct {
	Phase  lifecycle.Phase
	Reason lifecycle.Reason
	// Ran states what is known about whether an engine ran the request.
	Ran        lifecycle.Ran
	RetryAfter time.Duration
	// Tokens is the number of tokens delivered.
	Tokens int
}

// tokenBuffer limits the tokens that wait to be read by the caller.
const tokenBuffer = 1024

// mailboxSize limits the events that wait for a request's driver.
const mailboxSize = 16

// Call is a request in flight.
type Call struct {
	ID lifecycle.RequestID
	// Tokens delivers the answer; it is closed when the request has ended.
	Tokens <-chan string

	tokens   chan string
	events   chan lifecycle.Event
	done     chan struct{}
	goneOnce sync.Once
	answer   Answer
	gone     chan struct{}
	// rehome is signaled when the request's home may have changed.
	rehome chan struct{}
}

// notifyRehome makes the driver look up the request's home again.
func (c *Call) notifyRehome() {
	select {
	case c.rehome <- struct{}{}:
	default:
	}
}

// CallerGone records that the caller has disconnected. It may be called at any time and more than
// once.
func (c *Call) CallerGone() {
	c.goneOnce.Do(func() { close(c.gone) })
}

// Done returns a channel that is closed when the request has ended.
func (c *Call) Done() <-chan struct{} {
	return c.done
}

// Answer waits for the final outcome. It errors when the context ends first.
func (c *Call) Answer(ctx context.Context) (Answer, error) {
	select {
	case <-c.done:
		return c.answer, nil
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
}

// post sends an event to the driver and blocks while the mailbox is full, so that no event is
// lost. It returns without effect when the request has ended.
func (c *Call) post(e lifecycle.Event) {
	select {
	case c.events <- e:
	case <-c.done:
	}
}

// callError returns what an engine's error proves about the run, and its text.
func callError(err error) (lifecycle.Ran, string) {
	return adapter.RanOf(err), err.Error()
}
