// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package relayapi is the shape of opaque requests on the wire: the headers by
// which a caller says what the box has to know of a request that it passes on
// unread, and those by which a box and an endpoint understand each other. The
// names are data, so that another protocol of the same shape needs no code.
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

// Names are the names of headers, paths and fields.
type Names struct {
	// RequestID is the caller's id of one attempt; endpoints echo it.
	RequestID string
	// Deadline is how long the caller will wait, in milliseconds. A box passes
	// on what is left.
	Deadline string
	// LastEvent is the id of the last event of a stream that is taken up again.
	LastEvent string
	// Tokens and LengthHint describe a model request: prompt and most output
	// tokens, and the caller's guess of the output tokens.
	Tokens, LengthHint string
	// Signature is on every answer that an endpoint stands for.
	Signature string
	// NotRun is on an endpoint's answer that did not run the request.
	NotRun string
	// Instance is the start of an endpoint that a request is meant for.
	Instance string
	// Priority is the rank at an engine, 0 the most urgent.
	Priority string
	// Stage asks an engine for a prefill; its value is StagePrefill.
	Stage, StagePrefill string
	// Source says where a decode engine fetches a prefill result.
	Source string
	// Account names the client account to an endpoint.
	Account string
	// Limit is on answers of an endpoint that takes only so many requests a second from
	// all boxes together.
	Limit string
	// Leaving is on all answers of an endpoint that is about to end; its value is
	// LeavingYes.
	Leaving string
	// Reserved are further headers that only a box may set.
	Reserved []string
	// FreePath, followed by a handle, is what frees a kept prefill result.
	FreePath string
	// HandleField and TokensField are in the answer to a prefill.
	HandleField, TokensField string
	// Orders are the names of orders to engines.
	Orders OrderNames
}

// Default are runridge's own names.
func Default() Names {
	return Names{
		RequestID:    "Runridge-Request-Id",
		Deadline:     "Runridge-Deadline-Ms",
		LastEvent:    "Last-Event-Id",
		Tokens:       "Runridge-Tokens",
		LengthHint:   "Runridge-Length-Hint",
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

// OwnedByBox says whether only a box may set the header, whatever a caller sent.
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

// ParseDeadline reads a deadline header; false is none or one that is no
// positive number.
func ParseDeadline(text string) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || ms <= 0 || ms > maxDeadlineMS {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// maxDeadlineMS is a day.
const maxDeadlineMS = 24 * 60 * 60 * 1000

// ParseTokens reads "prompt,output"; what cannot be read is 0.
func ParseTokens(text string) (prompt, output int) {
	first, second, _ := strings.Cut(text, ",")
	return count(first), count(second)
}

// ParseHint reads the guess of the output tokens; 0 is none.
func ParseHint(text string) int { return count(text) }

func count(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// ParseLimit reads the limit that an answer names; what cannot be read names none.
func ParseLimit(text string) pace.Limit {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil {
		return pace.Limit{}
	}
	return pace.LimitOf(perSecond)
}

// LeavingYes is the value of the header that says that an endpoint leaves.
const LeavingYes = "1"

// headerRetryAfter is when to come again after an answer, in seconds (RFC 9110, section
// 10.2.3). Dates, which it may have too, are passed over: clocks differ.
const headerRetryAfter = "Retry-After"

// ParseNotice reads what an answer says of its endpoint. Header gives the value of a field,
// empty if there is none.
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

// parseRest reads a time in seconds, fractions too; what cannot be read is none.
func parseRest(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRestSeconds) * float64(time.Second))
}

// maxRestSeconds is a day.
const maxRestSeconds = 24 * 60 * 60

// ParsePrefill reads an engine's answer to a prefill.
func (n Names) ParsePrefill(body []byte) (handle string, tokens int, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return "", 0, fmt.Errorf("answer to a prefill: %w", err)
	}
	if err := json.Unmarshal(fields[n.HandleField], &handle); err != nil || handle == "" {
		return "", 0, fmt.Errorf("answer to a prefill has no %s", n.HandleField)
	}
	// The count is of use for learning only.
	_ = json.Unmarshal(fields[n.TokensField], &tokens)
	return handle, tokens, nil
}
