// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package relayapi defines the headers of requests whose bodies a box forwards
// without reading them: those in which a caller states what the box needs to know,
// and those between a box and an endpoint. The names are data, so that another
// protocol of the same shape needs no code.
package relayapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"runridge.example/runridge/protocol/engineapi"
	"runridge.example/runridge/state/pace"
)

// Names are the names of headers, paths and JSON fields.
type Names struct {
	// RequestID is the header with the caller's id of one attempt; endpoints echo it.
	RequestID string
	// Deadline is how long the caller will wait, in milliseconds. A box forwards
	// the remaining time.
	Deadline string
	// LastEvent is the id of the last event received, when a stream is resumed.
	LastEvent string
	// Resumes is the id of the attempt that received the first event, when a stream is resumed.
	Resumes string
	// Tokens and LengthHint describe a model request: its prompt tokens and maximum
	// output tokens, and the caller's estimate of the output tokens.
	Tokens, LengthHint string
	// Parts lists the parts of a prompt in order, as ID:TOKENS joined by commas; the last one belongs
	// to the request or its session alone.
	Parts string
	// Signature is on every answer that an endpoint vouches for as its own.
	Signature string
	// NotRun is on the answer of an endpoint that did not run the request.
	NotRun string
	// Instance identifies the endpoint process that a request is meant for.
	Instance string
	// Priority is the rank of a request at an engine; 0 is the most urgent.
	Priority string
	// Stage asks an engine for a prefill; its value is StagePrefill.
	Stage, StagePrefill string
	// Source is where a decode engine fetches the prefill result from.
	Source string
	// Account is the name of the client account, for endpoints.
	Account string
	// Limit is on answers of an endpoint that accepts a limited number of requests a second
	// from all boxes together.
	Limit string
	// Leaving is on all answers of an endpoint that is about to shut down; its value is
	// LeavingYes.
	Leaving string
	// Reserved are further headers that only a box may set.
	Reserved []string
	// FreePath, followed by a handle, is the path that frees a kept prefill result.
	FreePath string
	// HandleField and TokensField are fields of the answer to a prefill.
	HandleField, TokensField string
	// Orders are the names used in orders to engines.
	Orders OrderNames
}

// Default returns runridge's own names.
func Default() Names {
	return Names{
		RequestID:    "Runridge-Request-Id",
		Deadline:     "Runridge-Deadline-Ms",
		LastEvent:    "Last-Event-Id",
		Resumes:      "Runridge-Resumes",
		Tokens:       "Runridge-Tokens",
		LengthHint:   "Runridge-Length-Hint",
		Parts:        "Runridge-Parts",
		Signature:    "Runridge-Signature",
		NotRun:       "Runridge-Not-Run",
		Instance:     "Runridge-Instance",
		Priority:     "Runridge-Rank",
		Stage:        "Runridge-Stage",
		StagePrefill: "prefill",
		Source:       "Runridge-Source",
		Account:      "Runridge-Account",
		Limit:        engineapi.HeaderLimit,
		Leaving:      engineapi.HeaderLeaving,
		FreePath:     "/runridge/kept/",
		HandleField:  "handle",
		TokensField:  "tokens",
		Orders: OrderNames{
			Path: "/runridge/orders", ReportPath: "/runridge/report",
			Operation: "operation", ChangeStage: "stage", Stage: "stage", Prefill: "prefill", Decode: "decode",
			Holder: "holder", Fence: "fence", Expected: "expected", Taken: "taken", Busy: "busy",
		},
	}
}

// OwnedByBox reports whether only a box may set the header; a caller's value for it is not
// forwarded.
func (n Names) OwnedByBox(header string) bool {
	for _, own := range []string{n.Deadline, n.Instance, n.Priority, n.Stage, n.Source, n.Account} {
		if strings.EqualFold(own, header) {
			return true
		}
	}
	for _, own := range n.Reserved {
		if strings.EqualFold(own, header) {
			return true
		}
	}
	return false
}

// ParseDeadline parses a deadline header in milliseconds. It reports false if the header is
// missing, not a positive number, or more than a day.
func ParseDeadline(text string) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || ms <= 0 || ms > maxDeadlineMS {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// maxDeadlineMS is one day.
const maxDeadlineMS = 24 * 60 * 60 * 1000

// ParseTokens parses "prompt,output"; a missing or invalid number gives 0.
func ParseTokens(text string) (prompt, output int) {
	first, second, _ := strings.Cut(text, ",")
	return parseCount(first), parseCount(second)
}

// maxParts bounds the parts of a prompt that count, and maxPartID the length of the ID of each.
const (
	maxParts  = 16
	maxPartID = 64
)

// ParseSharedParts parses "ID:TOKENS,..." and returns the IDs of the parts that other prompts may
// have too: all but the last. Further and invalid parts are left out.
func ParseSharedParts(text string) []string {
	parts := strings.Split(text, ",")
	parts = parts[:min(len(parts)-1, maxParts)]
	var out []string
	for _, part := range parts {
		id, _, found := strings.Cut(strings.TrimSpace(part), ":")
		if found && id != "" && len(id) <= maxPartID {
			out = append(out, strings.ToLower(id))
		}
	}
	return out
}

// ParseHint parses the estimate of the output tokens; 0 means that there is none.
func ParseHint(text string) int { return parseCount(text) }

// parseCount parses a count; an invalid or negative one gives 0.
func parseCount(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// ParseLimit parses the limit header of an answer, in requests a second; an invalid one gives
// no limit.
func ParseLimit(text string) pace.Limit {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil {
		return pace.Limit{}
	}
	return pace.LimitOf(perSecond)
}

// LeavingYes is the value of the Leaving header of an endpoint that is about to shut down.
const LeavingYes = "1"

// headerRetryAfter is the delay before the next request, in seconds (RFC 9110, section 10.2.3).
// The RFC allows dates too; these are ignored, because clocks differ.
const headerRetryAfter = "Retry-After"

// ParseNotice returns what an endpoint says of itself in an answer with a status. The function
// header returns the value of a header field, empty if the answer has none. A rest counts only
// with status 503.
func (n Names) ParseNotice(status int, header func(name string) string) pace.Notice {
	out := pace.Notice{
		Limit:   ParseLimit(header(n.Limit)),
		Leaving: strings.TrimSpace(header(n.Leaving)) == LeavingYes,
	}
	if status == http.StatusServiceUnavailable {
		out.Rest = parseRest(header(headerRetryAfter))
	}
	return out
}

// parseRest parses a number of seconds, which may have a fraction, and caps it at a day. An
// invalid one gives 0.
func parseRest(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRestSeconds) * float64(time.Second))
}

// maxRestSeconds is one day.
const maxRestSeconds = 24 * 60 * 60

// ParsePrefill parses an engine's answer to a prefill. A missing handle is an error, a missing
// token count is not.
func (n Names) ParsePrefill(body []byte) (handle string, tokens int, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return "", 0, fmt.Errorf("answer to a prefill: %w", err)
	}
	if err := json.Unmarshal(fields[n.HandleField], &handle); err != nil || handle == "" {
		return "", 0, fmt.Errorf("answer to a prefill has no %s", n.HandleField)
	}
	// The count is only used to improve estimates, so an invalid one is ignored.
	_ = json.Unmarshal(fields[n.TokensField], &tokens)
	return handle, tokens, nil
}
