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

// exchange is a completions request and the state of its answer.
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

// complete serves a completions request of the chat or the text API.
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
		watch:   watchGone(ctx.Conn(), call.CallerGone),
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
	x.respond(ctx)
}

// finish stops the watch, releases the held body and ends the count as active.
func (x *exchange) finish() {
	x.watch.stop()
	x.hold.Close()
	x.s.active.Add(-1)
}

// outcome waits for the final answer. It doesn't wait forever: the dispatcher ends every request.
func (x *exchange) outcome() dispatch.Answer {
	a, err := x.call.Answer(context.Background())
	if err != nil {
		panic(err)
	}
	return a
}

// respond answers with one JSON document.
func (x *exchange) respond(ctx *fasthttp.RequestCtx) {
	var text strings.Builder
	for t := range x.call.Tokens {
		text.WriteString(t)
	}
	a := x.outcome()
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
		choice.Text, choice.Message = "", assistantMessage(text)
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

func assistantMessage(text string) *callerapi.Message {
	return &callerapi.Message{Role: "assistant", Content: text}
}

// envelope returns the fields that complete answers and stream chunks share.
func (x *exchange) envelope(object string, choice callerapi.Choice) callerapi.Completion {
	return callerapi.Completion{
		ID:      x.call.ID.String(),
		Object:  object,
		Created: x.created,
		Model:   x.body.Model,
		Choices: []callerapi.Choice{choice},
	}
}

// finishReason returns "length" for an answer that reached its token limit, otherwise "stop".
func finishReason(tokens, limit int) string {
	if tokens >= limit {
		return "length"
	}
	return "stop"
}

// stream answers with one event for each token. The status is sent only with the first token,
// so that a request without tokens gets a refusal instead of an empty stream.
func (x *exchange) stream(ctx *fasthttp.RequestCtx) {
	first, ok := <-x.call.Tokens
	if !ok {
		defer x.finish()
		x.refuse(ctx, x.outcome())
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer x.finish()
		x.writeEvents(w, first)
	})
}

// writeEvents writes the events of a stream. If the caller is gone, it still reads the tokens to
// the end.
func (x *exchange) writeEvents(w *bufio.Writer, first string) {
	ok := x.writeEvent(w, x.chunk(first, nil))
	for t := range x.call.Tokens {
		ok = ok && x.writeEvent(w, x.chunk(t, nil))
	}
	a := x.outcome()
	if !ok {
		return
	}
	if a.Phase != lifecycle.Finished {
		// The status has been sent already, so the error is the last event of the
		// stream, and [DONE] isn't sent.
		_, body := refusalFor(x.call.ID, a)
		x.writeEvent(w, callerapi.Refusal{Error: body})
		return
	}
	stop := finishReason(a.Tokens, x.request.OutputTokens)
	if x.writeEvent(w, x.chunk("", &stop)) {
		_, _ = w.WriteString("data: [DONE]\n\n")
		_ = w.Flush()
	}
}

// chunk returns the event for a token; stop is the finish reason, nil before the last event.
func (x *exchange) chunk(text string, stop *string) callerapi.Completion {
	choice, object := callerapi.Choice{Text: text, FinishReason: stop}, "text_completion"
	if x.chat {
		choice.Text, choice.Delta = "", assistantMessage(text)
		object = "chat.completion.chunk"
	}
	return x.envelope(object, choice)
}

// writeEvent sends one event and reports whether the caller is still connected.
func (x *exchange) writeEvent(w *bufio.Writer, v any) bool {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	if err := w.Flush(); err != nil {
		x.call.CallerGone()
		return false
	}
	return true
}
