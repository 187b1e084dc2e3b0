// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package enginehttp speaks to engines over HTTP. It uses the standard
// library's client because an order must be cut at once when its request
// ends, which that client ties to a context.
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
	// maxAnswer bounds an answer that is not a stream, in bytes.
	maxAnswer = 8 << 20
	// maxLine bounds one line of a stream.
	maxLine = 1 << 20
	// firstLine is the line buffer's size at the start.
	firstLine = 512
)

// Client is an adapter.Engine over HTTP.
type Client struct {
	clients httpcall.Clients
	notices *notice.Keeper
}

// Client does what the router asks of an engine.
var _ adapter.Engine = (*Client)(nil)

// New makes a client, which notes what engines say of themselves.
func New(notices *notice.Keeper) *Client {
	return &Client{clients: httpcall.New(), notices: notices}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.clients.Close()
}

// Prefill orders a prefill and waits for its end.
func (c *Client) Prefill(ctx context.Context, e table.Endpoint, attempt lifecycle.AttemptID, p adapter.Prompt, once bool) (adapter.Prefilled, error) {
	var out engineapi.PrefillResult
	if err := c.call(ctx, attempt.String(), once, e, engineapi.PathPrefill, prefillOrder(attempt, p), &out); err != nil {
		return adapter.Prefilled{}, err
	}
	if out.Attempt != attempt.String() {
		return adapter.Prefilled{}, crossed(attempt.String(), out.Attempt)
	}
	return adapter.Prefilled{
		Tokens:    out.Tokens,
		Computed:  out.Computed,
		WorkedUS:  out.WorkedUS,
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

// crossed is the failure for an answer that belongs to another attempt.
func crossed(want, got string) error {
	return adapter.ErrMayHaveRun.New("answer for attempt %q where %q was asked", got, want)
}

// Import orders a transfer and waits for its end.
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
		return crossed(attempt.String(), out.Attempt)
	}
	return nil
}

// Decode orders an answer and passes its tokens on.
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
	defer drop(resp)
	return readTokens(resp.Body, each)
}

// readTokens reads one JSON line per token. Whatever goes wrong here, the
// engine had taken the order.
func readTokens(body io.Reader, each func(adapter.Token) bool) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, firstLine), maxLine)
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

// Release frees an attempt's memory.
func (c *Client) Release(ctx context.Context, e table.Endpoint, attempt string) error {
	return c.call(ctx, attempt, false, e, engineapi.PathRelease, engineapi.ReleaseOrder{Attempt: attempt}, nil)
}

// Holds lists what the engine keeps.
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

// Load reads the engine's report.
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

// Order gives a fenced order.
func (c *Client) Order(ctx context.Context, e table.Endpoint, o adapter.Order) error {
	order := engineapi.Order{Fence: o.Fence, Kind: o.Kind, Value: o.Value}
	return c.call(ctx, "", true, e, engineapi.PathOrder, order, nil)
}

// call sends an order and reads its answer into out, if out is not nil.
func (c *Client) call(ctx context.Context, attempt string, once bool, e table.Endpoint, path string, in, out any) error {
	resp, err := c.send(ctx, attempt, once, e, path, in)
	if err != nil {
		return err
	}
	return readAnswer(resp, out)
}

func (c *Client) get(ctx context.Context, e table.Endpoint, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+path, nil)
	if err != nil {
		return fmt.Errorf("engine %s: %w", e.Name, err)
	}
	resp, err := c.clients.Shared.Do(req)
	if err != nil {
		return fmt.Errorf("engine %s: %w", e.Name, err)
	}
	if err := refusalOf(resp); err != nil {
		return err
	}
	return readAnswer(resp, out)
}

// send posts an order and returns the answer if the engine took the order.
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
		return nil, httpcall.TypeAfter(err).Wrap(err, "engine %s", e.Name)
	}
	c.notices.Answered(notice.Answered{
		Request: attempt, Endpoint: e.Name, Restarts: true,
		Notice: relayapi.Default().ParseNotice(resp.StatusCode, resp.Header.Get),
		// Other orders are no requests, and their answers may name no limit.
		Served: resp.StatusCode == http.StatusOK && (path == engineapi.PathPrefill || path == engineapi.PathDecode),
	})
	if err := refusalOf(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// refusalOf turns an answer that is not 200 into an error.
func refusalOf(resp *http.Response) error {
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	defer drop(resp)
	var body engineapi.Error
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&body); err != nil {
		body.Error = resp.Status
	}
	return typeOf(body.Code).New("engine answered %d: %s", resp.StatusCode, body.Error)
}

// typeOf says what an engine's own error code proves.
func typeOf(code string) *errorx.Type {
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

func readAnswer(resp *http.Response, out any) error {
	defer drop(resp)
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(out); err != nil {
		return adapter.ErrMayHaveRun.Wrap(err, "engine answer")
	}
	return nil
}

// maxDrain bounds what is read to keep a connection; a stream is cut instead.
const maxDrain = 4 << 10

// drop ends an answer. What is left of it is read if it is little, so that
// the connection can be used again.
func drop(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrain)
	_ = resp.Body.Close()
}
