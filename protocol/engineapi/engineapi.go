// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package engineapi defines the HTTP API between runridge and an engine: JSON bodies,
// and one JSON line per token.
package engineapi

// Paths of the engine's HTTP API.
const (
	PathPrefill = "/engine/prefill"
	PathImport  = "/engine/import"
	PathDecode  = "/engine/decode"
	PathRelease = "/engine/release"
	PathHolds   = "/engine/holds"
	PathLoad    = "/engine/load"
	PathEvents  = "/engine/events"
	PathOrder   = "/engine/order"
)

// HeaderLimit is on answers of an engine, or of an endpoint of a plain service, that accepts a
// limited number of requests a second from all boxes together. Its value is that number.
const HeaderLimit = "Runridge-Limit"

// HeaderLeaving is on all answers of an engine, or of an endpoint of a plain service, that is
// about to shut down.
const HeaderLeaving = "Runridge-Leaving"

// HeaderSoftware is on answers to a DecodeOrder; its value is the version of the engine's software.
// What two versions write does not fit together.
const HeaderSoftware = "Runridge-Software"

// PrefillOrder asks the engine to compute a prompt's KV cache and keep it.
type PrefillOrder struct {
	Attempt string `json:"attempt"`
	Prompt  string `json:"prompt"`
	// Emitted is text that was generated before and now belongs to the prompt.
	Emitted string `json:"emitted,omitempty"`
	// Marks are the hashes that name the prompt's prefixes in cache events, and MarkBytes
	// the lengths of these prefixes in bytes.
	Marks     []uint64 `json:"marks,omitempty"`
	MarkBytes []int    `json:"mark_bytes,omitempty"`
	Priority  int      `json:"priority,omitempty"`
}

// PrefillResult answers a PrefillOrder: the engine keeps the result.
type PrefillResult struct {
	Attempt string `json:"attempt"`
	// Tokens is the length of the prompt, and Computed the part of it that was not found in
	// the cache.
	Tokens   int `json:"tokens"`
	Computed int `json:"computed"`
	// WorkedUS is the time that the engine worked on it, without waiting, in microseconds.
	WorkedUS int64 `json:"worked_us"`
	// ExpiresMS is how long the result is kept, in milliseconds.
	ExpiresMS int64 `json:"expires_ms"`
}

// ImportOrder asks a decode engine to fetch a prefill result from a prefill engine.
type ImportOrder struct {
	Attempt string `json:"attempt"`
	// Source is the attempt for which the result was computed.
	Source string `json:"source"`
	// From is the IP address and port of the prefill engine.
	From string `json:"from"`
	// OutputTokens is the memory to reserve for the answer, in tokens.
	OutputTokens int `json:"output_tokens"`
}

// ImportResult answers an ImportOrder: the decode engine has the prefill result.
type ImportResult struct {
	Attempt string `json:"attempt"`
	Tokens  int    `json:"tokens"`
}

// DecodeOrder asks a decode engine for the tokens from index EmittedCount on.
type DecodeOrder struct {
	Attempt      string `json:"attempt"`
	EmittedCount int    `json:"emitted_count"`
	// Emitted is the text of the tokens before EmittedCount.
	Emitted      string `json:"emitted,omitempty"`
	OutputTokens int    `json:"output_tokens"`
	Priority     int    `json:"priority,omitempty"`
	// Recompute carries the prompt if the decode engine has to compute the prefill itself.
	Recompute *PrefillOrder `json:"recompute,omitempty"`
}

// TokenLine is one line of the answer to a DecodeOrder.
type TokenLine struct {
	Attempt string `json:"a"`
	Index   int    `json:"i"`
	Text    string `json:"t"`
	Last    bool   `json:"l,omitempty"`
}

// ReleaseOrder asks the engine to free everything kept for an attempt and to refuse later
// orders of that attempt.
type ReleaseOrder struct {
	Attempt string `json:"attempt"`
}

// Holds lists the memory that the engine keeps for attempts.
type Holds struct {
	Holds []Hold `json:"holds"`
}

// Hold is one entry of Holds.
type Hold struct {
	Attempt string `json:"attempt"`
	Tokens  int    `json:"tokens"`
	// AgeMS is how long the engine has kept it.
	AgeMS int64 `json:"age_ms"`
}

// Load is the engine's load report, which may be seconds old.
type Load struct {
	// Held is the number of decode slots in use.
	Held int `json:"held"`
	// KVTokens is the memory in use, in tokens.
	KVTokens int `json:"kv_tokens"`
}

// Events is a page of cache events.
type Events struct {
	// Next is where the next page begins; Gap reports whether events before these were lost.
	Next   uint64  `json:"next"`
	Gap    bool    `json:"gap,omitempty"`
	Events []Event `json:"events"`
}

// Event reports that the engine evicted a prefix from its cache.
type Event struct {
	Evicted uint64 `json:"evicted"`
}

// Order is an order with a fencing token: to load a model, an adapter or a version, or to change
// the role.
type Order struct {
	Fence uint64 `json:"fence"`
	Kind  string `json:"kind"`
	Value string `json:"value"`
}

// Error is the body of an answer that is not 200.
type Error struct {
	Error string `json:"error"`
	// Code is one of the Code constants.
	Code string `json:"code"`
}

// Values of Error.Code.
const (
	// CodeNotAccepted means that the order was not accepted and nothing ran.
	CodeNotAccepted = "not_accepted"
	// CodeUnknownAttempt means that the engine no longer keeps what the order needs.
	CodeUnknownAttempt = "unknown_attempt"
	// CodeFailed means that the order was accepted and failed.
	CodeFailed = "failed"
	// CodeStaleFence means that the engine has seen a newer fencing token.
	CodeStaleFence = "stale_fence"
)
