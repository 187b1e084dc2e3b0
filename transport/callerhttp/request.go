// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package callerhttp

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"runridge.example/runridge/coordination/dispatch"
	"runridge.example/runridge/coordination/held"
	"runridge.example/runridge/modules/invalid"
	"runridge.example/runridge/protocol/callerapi"
	"runridge.example/runridge/state/account"
	"runridge.example/runridge/state/poison"
	"runridge.example/runridge/state/table"
)

// hold opens the accounting of a request's body in the box's budget of held bytes. Eviction
// makes reads of the body time out.
func (s *Server) hold(ctx *fasthttp.RequestCtx) *held.Hold {
	conn := ctx.Conn()
	return s.cfg.Held.Open(held.Upload, ctx.RemoteAddr().String(), func() {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	})
}

// readBody reads a body of at most limit bytes. With an error it returns what it has read.
func readBody(ctx *fasthttp.RequestCtx, h *held.Hold, limit int) ([]byte, error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		if !h.Take(len(ctx.PostBody())) {
			return nil, held.ErrBudgetExhausted
		}
		// The library reuses its buffer after the handler has returned.
		return append([]byte{}, ctx.PostBody()...), nil
	}
	data, err := held.Read(stream, h, held.UnknownLength, limit)
	switch {
	case errors.Is(err, held.ErrTooLong), errors.Is(err, held.ErrBudgetExhausted):
		return data, err
	case err != nil:
		return data, invalid.FieldError{Field: "body", Value: "cut short", Allowed: "a whole body: " + err.Error()}
	}
	h.Complete()
	return data, nil
}

// maxDiscard is how many bytes of a body over the limit are read and discarded.
const maxDiscard = 8 << 20

// request reads and checks a completions request. With an error it returns the status of the
// refusal.
func (s *Server) request(ctx *fasthttp.RequestCtx, h *held.Hold, chat bool) (callerapi.Body, dispatch.Request, int, error) {
	if !ctx.IsPost() {
		return callerapi.Body{}, dispatch.Request{}, fasthttp.StatusMethodNotAllowed, invalid.FieldError{
			Field: "method", Value: string(ctx.Method()), Allowed: "POST",
		}
	}
	data, err := readBody(ctx, h, s.cfg.MaxBody)
	if errors.Is(err, held.ErrTooLong) {
		// Closing a connection with unread bytes resets it, and the caller may lose the answer.
		_, _ = io.CopyN(io.Discard, ctx.RequestBodyStream(), maxDiscard)
		return callerapi.Body{}, dispatch.Request{}, fasthttp.StatusRequestEntityTooLarge, invalid.FieldError{
			Field: "body", Value: "too large", Allowed: fmt.Sprintf("at most %d bytes", s.cfg.MaxBody),
		}
	}
	if err != nil {
		return callerapi.Body{}, dispatch.Request{}, fasthttp.StatusBadRequest, err
	}
	body, err := callerapi.ParseBody(data, chat)
	if err != nil {
		return body, dispatch.Request{}, fasthttp.StatusBadRequest, err
	}
	service, ok := s.cfg.Tables.Table().Service(body.Model)
	if !ok || service.Kind != table.KindModel {
		return body, dispatch.Request{}, fasthttp.StatusNotFound, invalid.FieldError{
			Field: "model", Value: body.Model, Allowed: s.models(),
		}
	}
	r, err := s.fill(ctx, body, service)
	r.PoisonIdentity = poisonRequest(ctx, r.Account, data)
	if err != nil {
		return body, r, fasthttp.StatusBadRequest, err
	}
	if status, err := s.authenticate(ctx, r.Account); err != nil {
		return body, r, status, err
	}
	return body, r, 0, nil
}

// poisonRequest returns the parts of a request by which repetitions of it are recognized as the
// same. The host is left out, since it is that of the box.
func poisonRequest(ctx *fasthttp.RequestCtx, account string, body []byte) poison.Request {
	return poison.Request{
		Method: string(ctx.Method()), Target: string(ctx.RequestURI()), Account: account, Body: body,
	}
}

// models lists the names of the model services, for refusals.
func (s *Server) models() string {
	var names []string
	for _, service := range s.cfg.Tables.Table().Services {
		if service.Kind == table.KindModel {
			names = append(names, service.Name)
		}
	}
	return strings.Join(names, ", ")
}

// fill checks a completions request against the service's limits and returns the dispatcher's
// request.
func (s *Server) fill(ctx *fasthttp.RequestCtx, body callerapi.Body, service table.Service) (dispatch.Request, error) {
	prompt := body.Text()
	tokens := max(int(float64(len(prompt))/s.cfg.BytesPerToken), 1)
	r := dispatch.Request{
		Service:      service.Name,
		Account:      string(ctx.Request.Header.Peek(callerapi.HeaderAccount)),
		Prompt:       prompt,
		PromptTokens: tokens,
		OutputTokens: service.MaxOutputTokens,
		Zone:         s.cfg.Zone,
	}
	if tokens > service.MaxPromptTokens {
		return r, invalid.FieldError{
			Field: "prompt", Value: fmt.Sprintf("about %d tokens", tokens),
			Allowed: fmt.Sprintf("at most %d tokens", service.MaxPromptTokens),
		}
	}
	if body.MaxTokens > service.MaxOutputTokens {
		return r, invalid.FieldError{
			Field: "max_tokens", Value: strconv.Itoa(body.MaxTokens),
			Allowed: fmt.Sprintf("at most %d", service.MaxOutputTokens),
		}
	}
	if body.MaxTokens > 0 {
		r.OutputTokens = body.MaxTokens
	}
	return r, s.parseHeaders(ctx, &r)
}

// parseHeaders sets the priority, deadline, once and idempotency key of r from the headers.
func (s *Server) parseHeaders(ctx *fasthttp.RequestCtx, r *dispatch.Request) error {
	priority, err := intHeader(ctx, callerapi.HeaderPriority, -callerapi.MaxPriority, callerapi.MaxPriority)
	if err != nil {
		return err
	}
	deadline, err := intHeader(ctx, callerapi.HeaderDeadline, 0, callerapi.MaxDeadlineMS)
	if err != nil {
		return err
	}
	r.Priority = priority
	r.Deadline = time.Duration(deadline) * time.Millisecond
	once := string(ctx.Request.Header.Peek(callerapi.HeaderOnce))
	if once != "" && once != "true" && once != "false" {
		return invalid.FieldError{Field: callerapi.HeaderOnce, Value: once, Allowed: "true, false"}
	}
	r.Once = once == "true"
	r.Key = string(ctx.Request.Header.Peek(callerapi.HeaderIdempotencyKey))
	if len(r.Key) > callerapi.MaxKeyLength {
		return invalid.FieldError{
			Field: callerapi.HeaderIdempotencyKey, Value: fmt.Sprintf("%d bytes long", len(r.Key)),
			Allowed: fmt.Sprintf("at most %d bytes", callerapi.MaxKeyLength),
		}
	}
	return nil
}

// intHeader returns the value of an integer header from low to high; 0 if it is missing.
func intHeader(ctx *fasthttp.RequestCtx, header string, low, high int) (int, error) {
	text := string(ctx.Request.Header.Peek(header))
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < low || n > high {
		return 0, invalid.FieldError{
			Field: header, Value: text, Allowed: fmt.Sprintf("a whole number from %d to %d", low, high),
		}
	}
	return n, nil
}

// authenticate checks the caller's key if the table has keys for the account. With an error it
// returns the status of the refusal. A table without accounts accepts every caller.
func (s *Server) authenticate(ctx *fasthttp.RequestCtx, name string) (int, error) {
	t := s.cfg.Tables.Table()
	if len(t.Accounts) == 0 {
		return 0, nil
	}
	a, ok := t.Account(name)
	if !ok {
		return fasthttp.StatusUnauthorized, invalid.FieldError{
			Field: callerapi.HeaderAccount, Value: name, Allowed: "an account of the table",
		}
	}
	if len(a.KeysSHA256) == 0 {
		return 0, nil
	}
	key := bytes.TrimPrefix(ctx.Request.Header.Peek("Authorization"), []byte("Bearer "))
	if !account.Holds(a, account.DigestOf(key)) {
		return fasthttp.StatusUnauthorized, invalid.FieldError{
			Field: "Authorization", Value: "a key that does not fit", Allowed: "Bearer and the key of account " + name,
		}
	}
	return 0, nil
}
