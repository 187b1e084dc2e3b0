// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"sync"
	"time"

	"runridge.example/runridge/coordination/dedup"
	"runridge.example/runridge/state/lifecycle"
)

const (
	// maxTranscriptBytes limits the size of the answers kept for repeats.
	maxTranscriptBytes = 4 << 20
	// transcriptOverhead is the size that an answer counts for in addition to its text, in
	// bytes.
	transcriptOverhead = 256
	// maxPieceTokens limits the tokens of one piece.
	maxPieceTokens = 512
)

// transcript is the answer of a request with an idempotency key.
type transcript struct {
	tokens []string
	bytes  int
	answer *Answer
	ended  time.Time
}

// transcripts keeps answers for repeats of their requests.
type transcripts struct {
	mutex  sync.Mutex
	window time.Duration
	byID   map[lifecycle.RequestID]*transcript
	order  []lifecycle.RequestID
	bytes  int
}

func newTranscripts(window time.Duration) *transcripts {
	return &transcripts{window: window, byID: make(map[lifecycle.RequestID]*transcript)}
}

// begin creates the transcript of a request.
func (t *transcripts) begin(id lifecycle.RequestID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(time.Now())
	t.byID[id] = &transcript{bytes: transcriptOverhead}
	t.order = append(t.order, id)
	t.bytes += transcriptOverhead
}

// add appends a token.
func (t *transcripts) add(id lifecycle.RequestID, token string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if s := t.byID[id]; s != nil {
		s.tokens = append(s.tokens, token)
		s.bytes += len(token)
		t.bytes += len(token)
	}
}

// end records the final outcome.
func (t *transcripts) end(id lifecycle.RequestID, a Answer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if s := t.byID[id]; s != nil {
		s.answer = &a
		s.ended = time.Now()
	}
}

// expire removes answers that are older than the window, and the oldest ones when the size
// limit is reached. The mutex must be held.
func (t *transcripts) expire(now time.Time) {
	for len(t.order) > 0 {
		id := t.order[0]
		s := t.byID[id]
		old := s.answer != nil && now.Sub(s.ended) > t.window
		if !old && t.bytes < maxTranscriptBytes {
			return
		}
		t.order = t.order[1:]
		delete(t.byID, id)
		t.bytes -= s.bytes
	}
}

// piece returns the part of an answer that another box asks for.
func (t *transcripts) piece(j dedup.Join) dedup.Piece {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p := dedup.Piece{Sequence: j.Sequence, From: j.From}
	s := t.byID[j.ID]
	if s == nil || j.From < 0 || j.From > len(s.tokens) {
		return p
	}
	p.Found = true
	p.Tokens = append(p.Tokens, s.tokens[j.From:min(j.From+maxPieceTokens, len(s.tokens))]...)
	if s.answer != nil && j.From+len(p.Tokens) == len(s.tokens) {
		p.Ended = true
		p.Phase, p.Ran, p.Reason = s.answer.Phase, s.answer.Ran, s.answer.Reason
		p.RetryAfterMS = int(s.answer.RetryAfter.Milliseconds())
	}
	return p
}
