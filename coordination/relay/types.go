// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"runridge.example/runridge/state/account"
	"runridge.example/runridge/state/pace"
)

// Field is one header.
type Field struct{ Name, Value string }

// Endpoint is one start of an endpoint of a routed service.
type Endpoint struct {
	Service string
	ID      string
	Address string
	// Born is the Unix millisecond of its start; 0 is not known.
	Born int64
}

// Prompt is what a caller says of a model request.
type Prompt struct {
	// Tokens is the prompt's length and Output the most that is generated.
	Tokens, Output int
	// Hint is the caller's guess of the output; 0 is none.
	Hint int
}

// Credential is what a caller shows for itself: the digest of its key. The key
// itself ends where the request was read.
type Credential struct {
	// Valid says that the caller showed one key in its proper form.
	Valid bool
	Key   account.Digest
	// Opaque are the caller's fields as they came. They are passed on only by a
	// table that never had accounts, where they belong to the services.
	Opaque []Field
}

// Request is one opaque request as it came from a caller.
type Request struct {
	// ID is the caller's own id of this attempt.
	ID string
	// Host, Path and Target are those of the request line; Target has the
	// query too.
	Host, Path, Target string
	Method             string
	Header             []Field
	Credential         Credential
	Body               []byte
	// HasBody says that the request had a body, if an empty one.
	HasBody bool
	Prompt  Prompt
	// Wait is how long the caller will wait from its arrival; 0 is not said.
	Wait time.Duration
	// LastEvent is the event after which a stream goes on; empty is its start.
	LastEvent string
	Arrived   time.Time
}

// Call is one order to an endpoint.
type Call struct {
	Endpoint  Endpoint
	Method    string
	Target    string
	Host      string
	RequestID string
	Header    []Field
	Body      []byte
	HasBody   bool
	// Left is how long the endpoint may work; 0 is no bound.
	Left time.Duration
	// Ranked says that Priority is sent, 0 the most urgent.
	Ranked   bool
	Priority int
	// Prefill asks for the prompt's KV cache alone.
	Prefill bool
	// Source is where the engine fetches the prompt's KV cache.
	Source    string
	LastEvent string
	// Account is the client account of the request; empty is none.
	Account string
	// Control marks a call that is no request of a caller's and has no id.
	Control bool
}

// Answer is an endpoint's answer whose head has come.
type Answer struct {
	Status int
	Header []Field
	// Length of the body, -1 if it is not known.
	Length int64
	Body   io.ReadCloser
	// Signed says that the endpoint stands for the answer.
	Signed bool
	// NotRun is the endpoint's word that it did not run the request; OtherHere
	// that another one has its address.
	NotRun, OtherHere bool
	// Notice is what the endpoint says of itself with it.
	Notice pace.Notice
	// Encoded marks a body that is not as the endpoint made it.
	Encoded bool
}

// Success says whether the answer is an endpoint's success.
func (a *Answer) Success() bool { return a.Status/statusClass == successClass }

const (
	statusClass  = 100
	successClass = 2
	// maxDiscard bounds the body that is read so that a connection can be
	// used again, in bytes.
	maxDiscard = 64 << 10
)

// Discard reads the rest of a short body, so that its connection can be used
// again.
func (a *Answer) Discard() error {
	_, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxDiscard))
	if err != nil {
		return err
	}
	return a.Body.Close()
}

// Endpoints makes exchanges with endpoints. Errors say what they prove, as
// those of adapter.Engine do.
type Endpoints interface {
	// Send sends a request once and returns when its answer's head is here.
	Send(ctx context.Context, call Call) (*Answer, error)
	// Free frees a prefill result that an engine keeps.
	Free(ctx context.Context, e Endpoint, handle string) error
}

// ErrSlowCaller ends an answer whose caller does not read it in time.
var ErrSlowCaller = errors.New("the caller does not read its answer")

// Caller takes the answer to one request. Its errors are ErrSlowCaller or tell that the
// caller has gone.
type Caller interface {
	// Head begins an answer; length -1 is not known.
	Head(status int, header []Field, length int64) error
	// Write passes a piece on at once.
	Write(p []byte) error
	// End ends a whole answer.
	End() error
	// Break ends an answer so that it cannot be taken for a whole one.
	Break()
	// Refuse answers in the box's own name.
	Refuse(r Refusal)
}

// Refusal is an answer in the box's own name.
type Refusal struct {
	Status int
	Reason string
	// Challenge says that the caller has to show a key.
	Challenge bool
	// RetryAfter is when to come again, for a request that has not run.
	RetryAfter time.Duration
}
