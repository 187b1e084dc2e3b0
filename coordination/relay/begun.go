// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"mime"
	"strings"
)

// begunAnswer is an answer whose head the caller has received, with the endpoint's answer that has this head.
type begunAnswer struct {
	Reply
	first *Answer
}

// begin sends the head of an endpoint's answer to the caller; length is -1 if unknown.
func (h *handler) begin(a *Answer, length int64) error {
	h.firstByteAt = h.relay.cfg.Now()
	reply, err := h.caller.Begin(a.Status, a.Header, length)
	if err != nil {
		return err
	}
	h.reply = &begunAnswer{Reply: reply, first: a}
	return nil
}

// abort ends the answer, or the connection if no answer has begun.
func (h *handler) abort() {
	if h.reply != nil {
		h.reply.Abort()
		return
	}
	h.caller.Abort()
}

// continuedBy reports whether the events of another endpoint's answer continue this one, whose head stays. An
// endpoint may leave its media type out.
func (b *begunAnswer) continuedBy(a *Answer) bool {
	begun, mediaType := b.first.mediaType(), a.mediaType()
	return a.Status == b.first.Status && (mediaType == begun || mediaType == "" || begun == "")
}

// reasonNotContinued is the reason why a stream did not go on with the answer of an endpoint.
const reasonNotContinued = "stream_not_continued"

// rejectContinuation drops an answer that does not continue the stream that the caller is receiving.
func (h *handler) rejectContinuation(id string, a *Answer) result {
	if err := a.Discard(); err == nil {
		h.noteAnswered(a)
	}
	return rejected(id, a, reasonNotContinued)
}

// mediaType returns the media type of the body without its parameters; empty if there is none.
func (a *Answer) mediaType() string {
	for _, f := range a.Header {
		if !strings.EqualFold(f.Name, "Content-Type") {
			continue
		}
		// An invalid parameter does not make the type itself unknown.
		found, _, _ := mime.ParseMediaType(f.Value)
		return found
	}
	return ""
}
