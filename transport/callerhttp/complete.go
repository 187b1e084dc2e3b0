// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package callerhttp

import (
	"bufio"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"runridge.example/runridge/coordination/dispatch"
	"runridge.example/runridge/coordination/held"
	"runridge.example/runridge/protocol/callerapi"
	"runridge.example/runridge/state/lifecycle"
)

// exchange is one completions request being answered.
type exchange struct {
	s       *Server
	call    *dispatch.Call
	watch   *goneWatch
	body    callerapi.Body
	request dispatch.Request
	hold    *held.Hold
	chat    bool
	created int64
}

// complete answers a completions request.
func (s *Server) complete(ctx *fasthttp.RequestCtx, chat bool) {
	hold := s.hold(ctx)
	body, request, status, err := s.request(ctx, hold, chat)
	if err != nil {
		hold.Close()
		s.active.Add(-1)
		s.refuseUnread(ctx, status, err)
		return
	}
	call := s.cfg.Dispatcher.Submit(context.Background(), request)
	x := &exchange{
		s:       s,
		call:    call,
		watch:   watchGone(ctx.Conn(), call.Gone),
		body:    body,
		request: request,
		hold:    hold,
		chat:    chat,
		created: time.Now().Unix(),
	}
	ctx.Response.Header.Set(callerapi.HeaderRequest, call.ID.String())
	if body.Stream {
		x.stream(ctx)
		return
	}
	defer x.finish()
	x.whole(ctx)
}

// finish gives back what the exchange took.
func (x *exchange) finish() {
	x.watch.stop()
	x.hold.Close()
	x.s.active.Add(-1)
}

// final waits for the end; the dispatcher ends every request.
func (x *exchange) final() dispatch.Answer {
	a, err := x.call.Answer(context.Background())
	if err != nil {
		panic(err)
	}
	return a
}

// whole answers in one piece.
func (x *exchange) whole(ctx *fasthttp.RequestCtx) {
	var text strings.Builder
	for t := range x.call.Tokens {
		text.WriteString(t)
	}
	a := x.final()
	if a.Phase != lifecycle.Finished {
		x.refuse(ctx, a)
		return
	}
	data, err := json.Marshal(x.completion(text.String(), a))
	if err != nil {
		panic(err)
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func (x *exchange) refuse(ctx *fasthttp.RequestCtx, a dispatch.Answer) {
	status, body := refusalFor(x.call.ID, a)
	x.s.refuse(ctx, status, body)
}

func (x *exchange) completion(text string, a dispatch.Answer) callerapi.Completion {
	stop := finishReason(a.Tokens, x.request.OutputTokens)
	choice, object := callerapi.Choice{Text: text, FinishReason: &stop}, "text_completion"
	if x.chat {
		choice.Text, choice.Message = "", assistant(text)
		object = "chat.completion"
	}
	c := x.envelope(object, choice)
	c.Usage = &callerapi.Usage{
		PromptTokens:     x.request.PromptTokens,
		CompletionTokens: a.Tokens,
		TotalTokens:      x.request.PromptTokens + a.Tokens,
	}
	return c
}

func assistant(text string) *callerapi.Message {
	return &callerapi.Message{Role: "assistant", Content: text}
}

// envelope is what whole answers and pieces share.
func (x *exchange) envelope(object string, choice callerapi.Choice) callerapi.Completion {
	return callerapi.Completion{
		ID:      x.call.ID.String(),
		Object:  object,
		Created: x.created,
		Model:   x.body.Model,
		Choices: []callerapi.Choice{choice},
	}
}

// finishReason tells an answer that ended by itself from one at its bound.
func finishReason(tokens, most int) string {
	if tokens >= most {
		return "length"
	}
	return "stop"
}

// stream answers token by token. The status waits for the first token, so
// that a refusal is a refusal and not an empty stream.
func (x *exchange) stream(ctx *fasthttp.RequestCtx) {
	first, ok := <-x.call.Tokens
	if !ok {
		defer x.finish()
		x.refuse(ctx, x.final())
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer x.finish()
		x.write(w, first)
	})
}

// write sends the events of a stream.
func (x *exchange) write(w *bufio.Writer, first string) {
	ok := x.event(w, x.piece(first, nil))
	for t := range x.call.Tokens {
		ok = ok && x.event(w, x.piece(t, nil))
	}
	a := x.final()
	if !ok {
		return
	}
	if a.Phase != lifecycle.Finished {
		// The status is sent already; the error is the stream's last event,
		// and the end mark stays away.
		_, body := refusalFor(x.call.ID, a)
		x.event(w, callerapi.Refusal{Error: body})
		return
	}
	stop := finishReason(a.Tokens, x.request.OutputTokens)
	if x.event(w, x.piece("", &stop)) {
		_, _ = w.WriteString("data: [DONE]\n\n")
		_ = w.Flush()
	}
}

func (x *exchange) piece(text string, stop *string) callerapi.Completion {
	choice, object := callerapi.Choice{Text: text, FinishReason: stop}, "text_completion"
	if x.chat {
		choice.Text, choice.Delta = "", assistant(text)
		object = "chat.completion.chunk"
	}
	return x.envelope(object, choice)
}

// event sends one event and reports whether the caller is still there.
func (x *exchange) event(w *bufio.Writer, v any) bool {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	if err := w.Flush(); err != nil {
		x.call.Gone()
		return false
	}
	return true
}
