// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package callerapi defines the HTTP API for callers: the completions API that is
// common for language models, and typed refusals.
package callerapi

import (
	"encoding/json"
	"fmt"
	"strings"

	"runridge.example/runridge/modules/invalid"
)

// Paths of the API and of the health checks.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathHealth      = "/healthz"
	PathReady       = "/readyz"
)

// Request headers. All are optional.
const (
	HeaderAccount = "X-Runridge-Account"
	// HeaderPriority is an integer from -10 to 10; higher goes first.
	HeaderPriority = "X-Runridge-Priority"
	// HeaderDeadline is the time limit for the first token, in milliseconds from the
	// request's arrival.
	HeaderDeadline = "X-Runridge-Deadline-Ms"
	// HeaderIdempotencyKey identifies a request, so that repeats of it run only once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderOnce, when "true", marks a request that must not be repeated.
	HeaderOnce = "X-Runridge-Once"
	// HeaderRequest is the request id, in answers.
	HeaderRequest = "X-Runridge-Request"
)

// Bounds of header values.
const (
	MaxPriority   = 10
	MaxDeadlineMS = 600_000
	MaxKeyLength  = 128
)

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Body is the part of a completions request that the router reads. Other fields are
// not forwarded.
type Body struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// ParseBody parses the body of a chat completion if chat is true, otherwise that of a plain
// completion. The error is an invalid.FieldError, whose text is sent to the caller.
func ParseBody(data []byte, chat bool) (Body, error) {
	var b Body
	if err := json.Unmarshal(data, &b); err != nil {
		return b, invalid.FieldError{Field: "body", Value: snippet(data), Allowed: "a JSON object: " + err.Error()}
	}
	if b.Model == "" {
		return b, invalid.FieldError{Field: "model", Value: b.Model, Allowed: "the name of a service"}
	}
	if b.MaxTokens < 0 {
		return b, invalid.FieldError{Field: "max_tokens", Value: fmt.Sprint(b.MaxTokens), Allowed: "0 or more"}
	}
	if chat && len(b.Messages) == 0 {
		return b, invalid.FieldError{Field: "messages", Value: "[]", Allowed: "at least one message"}
	}
	if !chat && b.Prompt == "" {
		return b, invalid.FieldError{Field: "prompt", Value: "", Allowed: "a text that is not empty"}
	}
	return b, nil
}

// maxSnippet is how much of an invalid body is quoted in an error, in bytes.
const maxSnippet = 40

// snippet returns the beginning of data, for an error.
func snippet(data []byte) string {
	if len(data) > maxSnippet {
		return string(data[:maxSnippet]) + "..."
	}
	return string(data)
}

// Text returns the whole prompt as one text, with a "role: content" line for each message.
func (b Body) Text() string {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(m.Content)
		text.WriteByte('\n')
	}
	return text.String()
}

// Completion is a whole answer or, in a stream, one chunk of it.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the one choice that the router returns.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage is the number of tokens of a request and its answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Refusal is the body of every answer that is not a success.
type Refusal struct {
	Error RefusalBody `json:"error"`
}

// Outcome is what is known about a request that was not answered successfully.
type Outcome string

// Outcomes of requests.
const (
	// OutcomeNotRun means that the request certainly ran nowhere.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means that the request ran and failed.
	OutcomeFailed Outcome = "failed"
)

// RefusalBody says why a request was not answered successfully.
type RefusalBody struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
	Message string  `json:"message"`
	// RetryAfterMS is the delay before a retry, in milliseconds; set only with OutcomeNotRun.
	RetryAfterMS int    `json:"retry_after_ms,omitempty"`
	Request      string `json:"request,omitempty"`
}
