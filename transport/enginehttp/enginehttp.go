// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package enginehttp is the HTTP client for engines. It uses the net/http client because an order
// must be canceled at once when its request ends, and that client does so through the context.
package enginehttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"

	"runridge.example/runridge/coordination/adapter"
	"runridge.example/runridge/coordination/notice"
	"runridge.example/runridge/protocol/engineapi"
	"runridge.example/runridge/protocol/relayapi"
	"runridge.example/runridge/state/lifecycle"
	"runridge.example/runridge/state/table"
	"runridge.example/runridge/transport/httpcall"
)

const (
	// maxAnswer limits an answer other than a stream, in bytes.
	maxAnswer = 8 << 20
	// maxLine limits one line of a stream, in bytes.
	maxLine = 1 << 20
	// lineBuffer is the initial size of the line buffer, in bytes.
	lineBuffer = 512
)

// Client is an adapter.Engine over HTTP.
type Client struct {
	clients httpcall.Clients
	notices *notice.Keeper
}

var _ adapter.Engine = (*Client)(nil)

// New returns a client that records the notices in engines' answers.
func New(notices *notice.Keeper) *Client {
	return &Client{clients: httpcall.New(), notices: notices}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.clients.Close()
}

// Prefill orders a prefill and waits for its result.
func (c *Client) Prefill(ctx context.Context, e table.Endpoint, attempt lifecycle.AttemptID, p adapter.Prompt, once bool) (adapter.Prefilled, error) {
	var out engineapi.PrefillResult
	if err := c.call(ctx, attempt.String(), once, e, engineapi.PathPrefill, prefillOrder(attempt, p), &out); err != nil {
		return adapter.Prefilled{}, err
	}
	if out.Attempt != attempt.String() {
		return adapter.Prefilled{}, errWrongAttempt(attempt.String(), out.Attempt)
	}
	return adapter.Prefilled{
		Tokens:    out.Tokens,
		Computed:  out.Computed,
		ComputeUS: out.WorkedUS,
		ExpiresMS: out.ExpiresMS,
	}, nil
}

func prefillOrder(attempt lifecycle.AttemptID, p adapter.Prompt) engineapi.PrefillOrder {
	return engineapi.PrefillOrder{
		Attempt:   attempt.String(),
		Prompt:    p.Text,
		Emitted:   p.Emitted,
		Marks:     p.Marks,
		MarkBytes: p.MarkBytes,
		Priority:  p.Priority,
	}
}

// errWrongAttempt returns the error for an answer that belongs to another attempt.
func errWrongAttempt(want, got string) error {
	return adapter.ErrMayHaveRun.New("answer for attempt %q, want %q", got, want)
}

// Import orders the transfer of a prefill result from another engine and waits for its end.
func (c *Client) Import(ctx context.Context, to, from table.Endpoint, attempt lifecycle.AttemptID, i adapter.Import) error {
	order := engineapi.ImportOrder{
		Attempt:      attempt.String(),
		Source:       i.Source.String(),
		From:         from.Address,
		OutputTokens: i.OutputTokens,
	}
	var out engineapi.ImportResult
	if err := c.call(ctx, attempt.String(), false, to, engineapi.PathImport, order, &out); err != nil {
		return err
	}
	if out.Attempt != attempt.String() {
		return errWrongAttempt(attempt.String(), out.Attempt)
	}
	return nil
}

// Decode orders a decode and passes its tokens to each until the stream ends or each returns
// false.
func (c *Client) Decode(ctx context.Context, e table.Endpoint, attempt lifecycle.AttemptID, d adapter.Decode, once bool, each func(adapter.Token) bool) error {
	order := engineapi.DecodeOrder{
		Attempt:      attempt.String(),
		EmittedCount: d.Emitted,
		Emitted:      d.Text,
		OutputTokens: d.OutputTokens,
		Priority:     d.Priority,
	}
	if d.Recompute != nil {
		p := prefillOrder(attempt, *d.Recompute)
		order.Recompute = &p
	}
	resp, err := c.send(ctx, attempt.String(), once, e, engineapi.PathDecode, order)
	if err != nil {
		return err
	}
	defer discard(resp)
	software := resp.Header.Get(engineapi.HeaderSoftware)
	return readTokens(resp.Body, func(t adapter.Token) bool {
		t.Software = software
		return each(t)
	})
}

// readTokens reads one JSON line per token. Its errors are adapter.ErrDidRun, since the engine
// had accepted the order.
func readTokens(body io.Reader, each func(adapter.Token) bool) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, lineBuffer), maxLine)
	for lines.Scan() {
		var t engineapi.TokenLine
		if err := json.Unmarshal(lines.Bytes(), &t); err != nil {
			return adapter.ErrDidRun.Wrap(err, "token line")
		}
		if !each(adapter.Token{Attempt: t.Attempt, Index: t.Index, Text: t.Text, Last: t.Last}) {
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return adapter.ErrDidRun.Wrap(err, "read tokens")
	}
	return nil
}

// Release frees what the engine holds for an attempt.
func (c *Client) Release(ctx context.Context, e table.Endpoint, attempt string) error {
	return c.call(ctx, attempt, false, e, engineapi.PathRelease, engineapi.ReleaseOrder{Attempt: attempt}, nil)
}

// Holds lists the engine's holds.
func (c *Client) Holds(ctx context.Context, e table.Endpoint) ([]adapter.Hold, error) {
	var out engineapi.Holds
	if err := c.get(ctx, e, engineapi.PathHolds, &out); err != nil {
		return nil, err
	}
	holds := make([]adapter.Hold, 0, len(out.Holds))
	for _, h := range out.Holds {
		holds = append(holds, adapter.Hold{Attempt: h.Attempt, AgeMS: h.AgeMS})
	}
	return holds, nil
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context, e table.Endpoint) (adapter.Load, error) {
	var out engineapi.Load
	err := c.get(ctx, e, engineapi.PathLoad, &out)
	return adapter.Load{Held: out.Held, KVTokens: out.KVTokens}, err
}

// Events reads cache events after a position.
func (c *Client) Events(ctx context.Context, e table.Endpoint, after uint64) (adapter.Events, error) {
	var out engineapi.Events
	path := engineapi.PathEvents + "?after=" + strconv.FormatUint(after, 10)
	if err := c.get(ctx, e, path, &out); err != nil {
		return adapter.Events{}, err
	}
	page := adapter.Events{Next: out.Next, Gap: out.Gap}
	for _, ev := range out.Events {
		page.Evicted = append(page.Evicted, ev.Evicted)
	}
	return page, nil
}

// Order sends a fenced order.
func (c *Client) Order(ctx context.Context, e table.Endpoint, o adapter.Order) error {
	order := engineapi.Order{Fence: o.Fence, Kind: o.Kind, Value: o.Value}
	return c.call(ctx, "", true, e, engineapi.PathOrder, order, nil)
}

// call sends an order and decodes its answer into out, if out is not nil.
func (c *Client) call(ctx context.Context, attempt string, once bool, e table.Endpoint, path string, in, out any) error {
	resp, err := c.send(ctx, attempt, once, e, path, in)
	if err != nil {
		return err
	}
	return readAnswer(resp, out)
}

// get reads a path of the engine and decodes the answer into out.
func (c *Client) get(ctx context.Context, e table.Endpoint, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+path, nil)
	if err != nil {
		return fmt.Errorf("engine %s: %w", e.Name, err)
	}
	resp, err := c.clients.Shared.Do(req)
	if err != nil {
		return fmt.Errorf("engine %s: %w", e.Name, err)
	}
	if err := checkStatus(resp); err != nil {
		return err
	}
	return readAnswer(resp, out)
}

// send posts an order and returns the answer if the engine accepted it. The error type tells
// whether the order may have run.
func (c *Client) send(ctx context.Context, attempt string, once bool, e table.Endpoint, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, adapter.ErrNotRun.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, adapter.ErrNotRun.Wrap(err, "engine %s", e.Name)
	}
	req.Header.Set("Content-Type", "application/json")
	if once {
		req.GetBody = nil
	}
	resp, err := c.clients.Pick(once).Do(req)
	if err != nil {
		return nil, httpcall.ErrorType(err).Wrap(err, "engine %s", e.Name)
	}
	c.notices.Answered(notice.Answer{
		Request: attempt, Endpoint: e.Name, Restarts: true,
		Notice: relayapi.Default().ParseNotice(resp.StatusCode, resp.Header.Get),
		// Only prefill and decode orders carry requests; answers to others may omit the
		// limit.
		Served: resp.StatusCode == http.StatusOK && (path == engineapi.PathPrefill || path == engineapi.PathDecode),
	})
	if err := checkStatus(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// checkStatus returns an error for an answer other than 200, whose body it closes.
func checkStatus(resp *http.Response) error {
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	defer discard(resp)
	var body engineapi.Error
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&body); err != nil {
		body.Error = resp.Status
	}
	return errorType(body.Code).New("engine answered %d: %s", resp.StatusCode, body.Error)
}

// errorType maps an engine's error code to what it proves about the order.
func errorType(code string) *errorx.Type {
	switch code {
	case engineapi.CodeNotAccepted, engineapi.CodeStaleFence:
		return adapter.ErrNotRun
	case engineapi.CodeUnknownAttempt:
		return adapter.ErrGone
	case engineapi.CodeFailed:
		return adapter.ErrDidRun
	default:
		return adapter.ErrMayHaveRun
	}
}

// readAnswer decodes an answer into out, if out is not nil, and closes it.
func readAnswer(resp *http.Response, out any) error {
	defer discard(resp)
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(out); err != nil {
		return adapter.ErrMayHaveRun.Wrap(err, "engine answer")
	}
	return nil
}

// maxDiscard is how much of an answer is read to reuse its connection, in bytes. The connection
// of a longer answer, such as a stream, is closed instead.
const maxDiscard = 4 << 10

// discard closes an answer. It first reads a short rest, so that the connection can be reused.
func discard(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscard)
	_ = resp.Body.Close()
}
