// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"runridge.example/runridge/fakes/engine"
	"runridge.example/runridge/protocol/callerapi"
)

// Outcome is the outcome of one request as its caller saw it.
type Outcome string

// Outcomes: those of the caller API's refusals, and those that only a caller can tell.
const (
	OutcomeFinished  Outcome = "finished"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeNotRun            = Outcome(callerapi.OutcomeNotRun)
	OutcomeUnknown           = Outcome(callerapi.OutcomeUnknown)
	OutcomeFailed            = Outcome(callerapi.OutcomeFailed)
	// OutcomeBroken means that the connection ended before the answer was complete.
	OutcomeBroken Outcome = "broken"
	// OutcomeWrong means that the answer was not the full expected answer to this request.
	OutcomeWrong Outcome = "wrong"
)

// Seen is what a caller saw of one request.
type Seen struct {
	Request    string
	Outcome    Outcome
	Reason     string
	FirstToken time.Duration
	// PerToken is the mean time between tokens.
	PerToken time.Duration
	Tokens   int
	Started  time.Time
	Ended    time.Time
}

// Caller sends requests to boxes over shared connections.
type Caller struct {
	http *http.Client
}

const maxCallerConns = 2000

// NewCaller returns a Caller.
func NewCaller() *Caller {
	return &Caller{http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxCallerConns,
		DisableCompression:  true,
	}}}
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.http.CloseIdleConnections()
}

// Do sends one request to a box, reads the stream to its end and compares the answer with what
// the engines generate for that prompt.
func (c *Caller) Do(ctx context.Context, address, model string, a Arrival) Seen {
	if a.CancelAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, a.CancelAfter)
		defer cancel()
	}
	seen := Seen{Started: time.Now()}
	c.exchange(ctx, address, model, a, &seen)
	seen.Ended = time.Now()
	if ctx.Err() != nil && seen.Outcome == OutcomeBroken {
		seen.Outcome = OutcomeCancelled
	}
	return seen
}

func (c *Caller) exchange(ctx context.Context, address, model string, a Arrival, seen *Seen) {
	seen.Outcome = OutcomeBroken
	body, err := json.Marshal(callerapi.Body{Model: model, Prompt: a.Prompt, MaxTokens: a.OutputTokens, Stream: true})
	if err != nil {
		seen.Reason = err.Error()
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+callerapi.PathCompletions, bytes.NewReader(body))
	if err != nil {
		seen.Reason = err.Error()
		return
	}
	req.Header.Set(callerapi.HeaderAccount, a.Account)
	if a.Once {
		req.Header.Set(callerapi.HeaderOnce, "true")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		seen.Reason = err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	seen.Request = resp.Header.Get(callerapi.HeaderRequest)
	if resp.StatusCode != http.StatusOK {
		readRefusal(resp, seen)
		return
	}
	readStream(resp, a, seen)
}

func readRefusal(resp *http.Response, seen *Seen) {
	var refusal callerapi.Refusal
	if err := json.NewDecoder(resp.Body).Decode(&refusal); err != nil {
		seen.Reason = fmt.Sprintf("status %d: %v", resp.StatusCode, err)
		return
	}
	seen.Outcome = Outcome(refusal.Error.Outcome)
	seen.Reason = refusal.Error.Reason
}

// event is an event of a stream: a completion or an error.
type event struct {
	callerapi.Completion
	Error *callerapi.RefusalBody `json:"error"`
}

func readStream(resp *http.Response, a Arrival, seen *Seen) {
	var text strings.Builder
	var last time.Time
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			checkAnswer(a, text.String(), last, seen)
			return
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			seen.Reason = err.Error()
			return
		}
		if e.Error != nil {
			seen.Outcome = Outcome(e.Error.Outcome)
			seen.Reason = e.Error.Reason
			return
		}
		if len(e.Choices) == 0 || e.Choices[0].Text == "" {
			continue
		}
		last = time.Now()
		if seen.Tokens == 0 {
			seen.FirstToken = last.Sub(seen.Started)
		}
		seen.Tokens++
		text.WriteString(e.Choices[0].Text)
	}
}

// checkAnswer checks the answer of a stream that was ended by its end mark.
func checkAnswer(a Arrival, text string, last time.Time, seen *Seen) {
	seen.Outcome = OutcomeFinished
	if want := strings.Join(engine.Answer(a.Prompt, a.OutputTokens), ""); text != want {
		seen.Outcome = OutcomeWrong
		seen.Reason = fmt.Sprintf("answer of %d bytes where %d were expected", len(text), len(want))
		return
	}
	if seen.Tokens > 1 {
		seen.PerToken = last.Sub(seen.Started.Add(seen.FirstToken)) / time.Duration(seen.Tokens-1)
	}
}
