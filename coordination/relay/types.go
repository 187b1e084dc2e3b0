// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"runridge.example/runridge/state/account"
	"runridge.example/runridge/state/locality"
	"runridge.example/runridge/state/pace"
)

// HeaderField is one HTTP header field.
type HeaderField struct{ Name, Value string }

// Endpoint is one incarnation of an endpoint of a routed service.
type Endpoint struct {
	Service string
	ID      string
	Address string
	// Born is the start time in Unix milliseconds; 0 if unknown.
	Born int64
}

// Prompt holds the sizes that a caller states for a model request.
type Prompt struct {
	// Tokens is the length of the prompt and Output the maximum number of generated tokens.
	Tokens, Output int
	// Hint is the caller's estimate of the output length in tokens; 0 if none was given.
	Hint int
	// Parts are the IDs of the parts of the prompt that other prompts may have too, in order.
	Parts []string
}

// Credential identifies the caller by the digest of its API key. The key itself is not kept
// after the request has been read.
type Credential struct {
	// Valid reports whether the caller sent exactly one well-formed key.
	Valid bool
	Key   account.Digest
	// Opaque holds the caller's credential headers unchanged. They are forwarded only if no
	// table of this process ever had accounts, because then they belong to the services.
	Opaque []HeaderField
}

// Request is an opaque request as received from a caller.
type Request struct {
	// ID is the caller's own ID of this attempt.
	ID string
	// Host, Path and Target come from the request line; Target includes the query.
	Host, Path, Target string
	Method             string
	Header             []HeaderField
	Credential         Credential
	Body               []byte
	// HasBody reports whether the request had a body, even an empty one.
	HasBody bool
	Prompt  Prompt
	// Wait is how long the caller waits for the answer, counted from Arrived; 0 if not stated.
	Wait time.Duration
	// LastEvent is the ID of the event after which a stream resumes; empty starts from the
	// beginning.
	LastEvent string
	// Resumes is the ID of the attempt that received the first event of a resumed stream; empty if
	// not stated.
	Resumes string
	Arrived time.Time
}

// Call is one request to an endpoint.
type Call struct {
	Endpoint  Endpoint
	Method    string
	Target    string
	Host      string
	RequestID string
	Header    []HeaderField
	Body      []byte
	HasBody   bool
	// Remaining is the time that the call may take, with that to connect to the endpoint; 0 means no limit.
	Remaining time.Duration
	// HasPriority reports whether Priority is sent; priority 0 is the most urgent.
	HasPriority bool
	Priority    int
	// Prefill requests only the KV cache of the prompt.
	Prefill bool
	// Source is the address from which the engine fetches the KV cache of the prompt.
	Source    string
	LastEvent string
	// Account is the client account of the request; empty if it has none.
	Account string
	// Repeatable reports whether the request may be sent to another endpoint after this call has
	// been interrupted.
	Repeatable bool
	// Allowed is the set of regions that the call may pass through besides those of this box and of
	// the endpoint.
	Allowed locality.Allowed
	// DirectOnly keeps the call from going through another box.
	DirectOnly bool
	// MaySend, if set, is asked once a connection to the endpoint is there; if it returns false, nothing is
	// sent, and the error is adapter.ErrNotRun.
	MaySend func() bool
	// Control marks a call that the box makes on its own behalf, without a caller's request or
	// request ID.
	Control bool
}

// Answer is an endpoint's answer after its header has been received.
type Answer struct {
	Status int
	Header []HeaderField
	// Length is the length of the body in bytes; -1 if unknown.
	Length int64
	// Unframed reports that the body has neither a length nor chunks and ends with its connection, so
	// that its end does not prove that it is whole.
	Unframed bool
	Body     io.ReadCloser
	// Via is the box through which the endpoint was reached; empty if it was directly.
	Via string
	// Signed reports whether the answer has the header that marks it as written by the
	// endpoint. Other answers may come from a proxy in between.
	Signed bool
	// NotRun reports that the endpoint states it did not run the request, AddressTaken that
	// another endpoint now has this address.
	NotRun, AddressTaken bool
	// Notice is the notice that came with the answer.
	Notice pace.Notice
	// Encoded reports whether the body has a content encoding, so that it is not as the
	// endpoint wrote it.
	Encoded bool
}

// Success reports whether the status is 2xx.
func (a *Answer) Success() bool { return a.Status/statusClass == successClass }

const (
	statusClass  = 100
	successClass = 2
	// maxDiscard limits how much of a body is read to make its connection reusable, in bytes.
	maxDiscard = 64 << 10
	// discardTime limits how long that takes: the rest of a short body usually came with its beginning.
	discardTime = 100 * time.Millisecond
)

// readDeadliner is a body whose reads can be given a deadline.
type readDeadliner interface{ SetReadDeadline(at time.Time) error }

// Discard reads the rest of a short body and closes it, so that the connection can be reused. A body that
// does not come at once is closed with its connection.
func (a *Answer) Discard() error {
	if body, ok := a.Body.(readDeadliner); ok {
		if err := body.SetReadDeadline(time.Now().Add(discardTime)); err != nil {
			return errors.Join(err, a.Body.Close())
		}
	}
	_, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxDiscard))
	if err != nil {
		return err
	}
	return a.Body.Close()
}

// Endpoints performs exchanges with endpoints. Its errors state whether the request may have
// run, like those of adapter.Engine.
type Endpoints interface {
	// Send sends a request once and returns when the header of the answer has been received.
	Send(ctx context.Context, call Call) (*Answer, error)
	// Unreached returns the endpoints of a service that a call which is allowed in the given regions
	// would not reach now.
	Unreached(service string, allowed locality.Allowed) []string
	// Free releases a prefill result that an engine keeps.
	Free(ctx context.Context, e Endpoint, handle string) error
}

// ErrSlowCaller is returned when the caller does not read its answer in time.
var ErrSlowCaller = errors.New("the caller does not read its answer")

// ErrBegun is returned when an answer is begun that has begun before.
var ErrBegun = errors.New("the answer has begun")

// Caller is the caller of one request and has received nothing of its answer. An answer begins once: what
// follows its head is sent by the Reply alone, which can't send another head or a refusal.
type Caller interface {
	// Begin sends the head of an answer; length is -1 if unknown. It returns ErrSlowCaller, or another error
	// if the caller has disconnected, and ErrBegun if the answer had begun.
	Begin(status int, header []HeaderField, length int64) (Reply, error)
	// Refuse answers on behalf of the box itself.
	Refuse(r Refusal)
	// Abort ends the connection without an answer.
	Abort()
}

// Reply is an answer whose head has been sent. Its methods return ErrSlowCaller, or another error if
// the caller has disconnected.
type Reply interface {
	// Write sends data to the caller without buffering.
	Write(p []byte) error
	// End completes the answer.
	End() error
	// Abort aborts the answer in a way that the caller cannot mistake for completion.
	Abort()
}

// Refusal is an answer on behalf of the box itself.
type Refusal struct {
	Status int
	Reason string
	// Challenge reports whether the caller has to authenticate with a key.
	Challenge bool
	// RetryAfter is how long the caller should wait before it retries a request that has not
	// run.
	RetryAfter time.Duration
}
