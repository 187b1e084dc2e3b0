// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package callerhttp

import (
	"encoding/json"
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"

	"runridge.example/runridge/coordination/dispatch"
	"runridge.example/runridge/coordination/held"
	"runridge.example/runridge/protocol/callerapi"
	"runridge.example/runridge/state/lifecycle"
)

// refuse writes a refusal as JSON, with Retry-After in whole seconds, rounded up.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, status int, body callerapi.RefusalBody) {
	data, err := json.Marshal(callerapi.Refusal{Error: body})
	if err != nil {
		panic(err)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	if body.RetryAfterMS > 0 {
		seconds := (body.RetryAfterMS + msPerSecond - 1) / msPerSecond
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
	ctx.SetBody(data)
}

const msPerSecond = 1000

// refuseField refuses an invalid request. It did not run.
func (s *Server) refuseField(ctx *fasthttp.RequestCtx, status int, err error) {
	s.refuse(ctx, status, callerapi.RefusalBody{
		Outcome: callerapi.OutcomeNotRun,
		Reason:  "bad_request",
		Message: err.Error(),
	})
}

// noRoomRetryMS is the retry time of a box that has no capacity for a body: by then slower
// bodies have been evicted.
const noRoomRetryMS = 1000

// refuseUnread refuses a request that is invalid or could not be read. It did not run.
func (s *Server) refuseUnread(ctx *fasthttp.RequestCtx, status int, err error) {
	if !errors.Is(err, held.ErrBudgetExhausted) {
		s.refuseField(ctx, status, err)
		return
	}
	ctx.SetConnectionClose()
	s.refuse(ctx, fasthttp.StatusServiceUnavailable, callerapi.RefusalBody{
		Outcome:      callerapi.OutcomeNotRun,
		Reason:       "no_room_for_body",
		Message:      "the box holds all the bytes that it may",
		RetryAfterMS: noRoomRetryMS,
	})
}

// refusalFor returns the status and body for a request that did not finish.
func refusalFor(id lifecycle.RequestID, a dispatch.Answer) (int, callerapi.RefusalBody) {
	body := callerapi.RefusalBody{Reason: string(a.Reason), Request: id.String()}
	switch a.Phase {
	case lifecycle.RefusedNotRun:
		body.Outcome = callerapi.OutcomeNotRun
		body.Message = "the request was not run"
		body.RetryAfterMS = max(int(a.RetryAfter.Milliseconds()), minRetryMS)
		switch a.Reason {
		case lifecycle.ReasonAccountLimit:
			return fasthttp.StatusTooManyRequests, body
		case lifecycle.ReasonKeyConflict:
			body.RetryAfterMS = 0
			return fasthttp.StatusUnprocessableEntity, body
		}
		return fasthttp.StatusServiceUnavailable, body
	case lifecycle.Unknown:
		body.Outcome = callerapi.OutcomeUnknown
		body.Message = "the request may have run; no answer was received"
		return fasthttp.StatusBadGateway, body
	default:
		body.Outcome = callerapi.OutcomeFailed
		body.Message = "the request ran and did not end well"
		return fasthttp.StatusInternalServerError, body
	}
}
