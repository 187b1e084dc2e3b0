// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package engineapi is the shape of what runridge says to an engine over HTTP
// and of what the engine answers: JSON bodies, and one JSON line per token.
package engineapi

// Paths of the engine's HTTP surface.
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

// HeaderLimit is on answers of an engine, or of a plain service, that takes only so many
// requests a second from all boxes together.
const HeaderLimit = "Runridge-Limit"

// HeaderLeaving is on all answers of an engine, or of a plain service, that is about to end.
const HeaderLeaving = "Runridge-Leaving"

// PrefillOrder asks the engine to compute a prompt's KV cache and keep it.
type PrefillOrder struct {
	Attempt string `json:"attempt"`
	Prompt  string `json:"prompt"`
	// Emitted is text that was generated already and belongs to the prompt.
	Emitted string `json:"emitted,omitempty"`
	// Marks names the prompt's prefixes in cache events; MarkBytes their lengths.
	Marks     []uint64 `json:"marks,omitempty"`
	MarkBytes []int    `json:"mark_bytes,omitempty"`
	Priority  int      `json:"priority,omitempty"`
}

// PrefillResult says that the result is kept.
type PrefillResult struct {
	Attempt string `json:"attempt"`
	// Tokens is the prompt's length, Computed the part not found in the cache.
	Tokens   int `json:"tokens"`
	Computed int `json:"computed"`
	// WorkedUS is the engine's time for it without waiting, in microseconds.
	WorkedUS int64 `json:"worked_us"`
	// ExpiresMS is how long the result is kept, in milliseconds.
	ExpiresMS int64 `json:"expires_ms"`
}

// ImportOrder asks a decode engine to fetch a result from a prefill engine.
type ImportOrder struct {
	Attempt string `json:"attempt"`
	// Source is the attempt that the result was computed under.
	Source string `json:"source"`
	// From is the prefill engine's address, an IP number and port.
	From string `json:"from"`
	// OutputTokens is the memory to keep for the answer.
	OutputTokens int `json:"output_tokens"`
}

// ImportResult says that the decode engine has the result.
type ImportResult struct {
	Attempt string `json:"attempt"`
	Tokens  int    `json:"tokens"`
}

// DecodeOrder asks for tokens from index Emitted on.
type DecodeOrder struct {
	Attempt      string `json:"attempt"`
	EmittedCount int    `json:"emitted_count"`
	// Emitted is the text of the tokens before EmittedCount.
	Emitted      string `json:"emitted,omitempty"`
	OutputTokens int    `json:"output_tokens"`
	Priority     int    `json:"priority,omitempty"`
	// Recompute carries the prompt when the engine has to compute the prefill.
	Recompute *PrefillOrder `json:"recompute,omitempty"`
}

// TokenLine is one line of a decode answer.
type TokenLine struct {
	Attempt string `json:"a"`
	Index   int    `json:"i"`
	Text    string `json:"t"`
	Last    bool   `json:"l,omitempty"`
}

// ReleaseOrder frees everything kept for an attempt and refuses any order of
// that attempt that comes later.
type ReleaseOrder struct {
	Attempt string `json:"attempt"`
}

// Holds lists what the engine keeps.
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

// Load is the engine's load report; it may be seconds old.
type Load struct {
	// Held is the number of decode slots in use.
	Held int `json:"held"`
	// KVTokens is the memory in use, in tokens.
	KVTokens int `json:"kv_tokens"`
}

// Events is a page of cache events.
type Events struct {
	// Next is where to read on; Gap says that events before these were lost.
	Next   uint64  `json:"next"`
	Gap    bool    `json:"gap,omitempty"`
	Events []Event `json:"events"`
}

// Event says that the engine dropped a prefix from its cache.
type Event struct {
	Evicted uint64 `json:"evicted"`
}

// Order is a fenced order: load a model, adapter or version, or change role.
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

// Codes of Error.
const (
	// CodeNotAccepted: the order was not taken; nothing ran.
	CodeNotAccepted = "not_accepted"
	// CodeUnknownAttempt: what the order builds on is not kept any more.
	CodeUnknownAttempt = "unknown_attempt"
	// CodeFailed: the order was taken and failed.
	CodeFailed = "failed"
	// CodeStaleFence: a newer fence has been seen.
	CodeStaleFence = "stale_fence"
)
